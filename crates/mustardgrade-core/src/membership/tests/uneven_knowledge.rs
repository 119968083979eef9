//! Tests of a host that knows less than its peers: rules, placement, exceptions or records.

use std::net::SocketAddrV4;

use super::super::steps::JoinStep;
use super::*;
use crate::flow::{
    BindingRecord, FlowKey, FlowOptions, FlowPacket, FlowRouter, FlowVerdict, SegmentFlags,
};
use crate::identity::{ServiceId, UpstreamId};
use crate::placement::{BucketPhase, BucketPlacement, PlacementTable};
use crate::rule::parse_rules;

const NOW: Duration = Duration::from_secs(1);

const RULES_OF_ONE_UPSTREAM: &str = "\
data-centre lac in  # ops: opening
service desk 203.0.113.10:443 class=flow tenant=bureau  # amel: rounds
upstream desk-1 service=desk at=127.0.0.9 data-centre=lac slots=4  # amel: rounds
";

const SECOND_UPSTREAM: &str =
    "upstream desk-2 service=desk at=127.0.0.10 data-centre=lac slots=4  # amel: rounds\n";

fn parsed_rules(revision: u64, text: &str) -> StoredRules {
    let rule_set = Arc::new(parse_rules(text).expect("the rules are valid"));
    StoredRules { revision, recent_edits: vec![revision], rule_set }
}

fn placement(generation: u64, rules_revision: u64, upstreams: &[&str]) -> Arc<PlacementMap> {
    let steady =
        BucketPlacement { source_upstream: 0, target_upstream: 0, phase: BucketPhase::Steady };
    let table = PlacementTable {
        service: ServiceId::from_name("desk"),
        upstreams: upstreams.iter().map(|name| UpstreamId::from_name(name)).collect(),
        buckets: vec![steady; 256],
    };
    Arc::new(PlacementMap { generation, rules_revision, tables: vec![table] })
}

fn open_flow_packet() -> FlowPacket {
    FlowPacket {
        key: FlowKey {
            caller: SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 40_000),
            service: SocketAddrV4::new(Ipv4Addr::new(203, 0, 113, 10), 443),
        },
        flags: SegmentFlags { syn: false, ack: true, fin: false, rst: false },
        sequence: 1,
        acknowledgement: 1,
        payload_length: 0,
    }
}

/// `RoutingHost` is a host that routes by the snapshots of its controller.
struct RoutingHost {
    controller: HostController,
    router: FlowRouter,
}

impl RoutingHost {
    fn new() -> Self {
        let router = FlowRouter::new(HostId(1), FlowOptions::default());
        Self { controller: controller(), router }
    }

    fn handle(&mut self, input: ControllerInput) {
        let mut outputs = Vec::new();
        self.controller.handle(input, NOW, &mut outputs);
        for output in outputs {
            if let ControllerOutput::InstallSnapshot(snapshot) = output {
                self.router.install(snapshot);
            }
        }
    }

    /// Routes a packet of the flow while the tables count as confirmed.
    fn route(&mut self) -> FlowVerdict {
        self.router.set_tables_confirmed_at(NOW);
        self.router.route(&open_flow_packet(), NOW)
    }
}

#[test]
fn placement_that_is_ahead_of_the_rules_resets_no_flow_of_a_new_upstream() {
    let mut host = RoutingHost::new();
    let newer_rules = format!("{RULES_OF_ONE_UPSTREAM}{SECOND_UPSTREAM}");
    host.handle(ControllerInput::RulesReceived(parsed_rules(4, RULES_OF_ONE_UPSTREAM)));
    host.handle(ControllerInput::PlacementReceived(placement(7, 4, &["desk-1"])));
    host.handle(ControllerInput::PlacementRead(Some(placement(8, 5, &["desk-1", "desk-2"]))));
    let fingerprint = open_flow_packet().key.fingerprint(FlowOptions::default().fingerprint_seed);
    let exception = BindingRecord { fingerprint, upstream: 1 };
    host.router.install_exceptions(ServiceId::from_name("desk"), &[exception]);
    let before_the_rules = host.route();
    host.handle(ControllerInput::DigestReceived(digest(2, 1, 1)));
    host.handle(ControllerInput::RulesReceived(parsed_rules(5, &newer_rules)));
    let after_the_rules = host.route();
    assert!(matches!(before_the_rules, FlowVerdict::Drop(_)), "{before_the_rules:?}");
    let FlowVerdict::Tunnel { upstream, .. } = after_the_rules else {
        panic!("not delivered: {after_the_rules:?}");
    };
    assert_eq!(upstream, UpstreamId::from_name("desk-2"));
}

/// Returns a placement with all buckets at `phase` of a move from the first upstream to the second.
fn moving_placement(generation: u64, phase: BucketPhase) -> Arc<PlacementMap> {
    let mut map = (*placement(generation, 5, &["desk-1", "desk-2"])).clone();
    let source_upstream = u16::from(phase == BucketPhase::Steady);
    map.tables[0].buckets.fill(BucketPlacement { source_upstream, target_upstream: 1, phase });
    Arc::new(map)
}

#[test]
fn host_that_missed_the_exceptions_of_an_ended_move_does_not_route_by_its_end_unfenced() {
    let mut host = RoutingHost::new();
    let rules = format!("{RULES_OF_ONE_UPSTREAM}{SECOND_UPSTREAM}");
    host.handle(ControllerInput::RulesReceived(parsed_rules(5, &rules)));
    host.handle(ControllerInput::PlacementReceived(moving_placement(7, BucketPhase::Settling)));
    host.controller.join_step = JoinStep::Joined;
    host.controller.has_all_exceptions = true;
    let mut outputs = Vec::new();
    let ended = ControllerInput::PlacementReceived(moving_placement(8, BucketPhase::Steady));
    host.controller.handle(ended, NOW, &mut outputs);
    let revocation = ControllerOutput::SetTablesConfirmedAt(Duration::ZERO);
    let position =
        |is_wanted: &dyn Fn(&ControllerOutput) -> bool| outputs.iter().position(is_wanted);
    let revoked = position(&|output| *output == revocation);
    let installed = position(&|output| matches!(output, ControllerOutput::InstallSnapshot(_)));
    assert!(revoked.is_some() && revoked < installed, "{revoked:?}, {installed:?}");
}
