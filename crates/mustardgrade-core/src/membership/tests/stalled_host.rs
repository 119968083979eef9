//! Tests of a host that stalls, or that knows less than it believes.

use super::super::steps::JoinStep;
use super::*;

/// Interval between two ticks of a running host.
const TICK: Duration = Duration::from_millis(100);

/// Address of the only peer.
const PEER_ADDRESS: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

/// `TestHost` is the controller of host 1 with its clock, and a peer that sends it digests.
struct TestHost {
    controller: HostController,
    now: Duration,
    peer_sequence: u64,
    outputs: Vec<ControllerOutput>,
}

impl TestHost {
    /// Returns a host that has the rules and the placement in force and is at `join_step`.
    fn at_step(join_step: JoinStep) -> Self {
        let now = Duration::from_secs(1);
        let mut host =
            Self { controller: controller(), now, peer_sequence: 0, outputs: Vec::new() };
        let placement = PlacementMap { generation: 7, rules_revision: 4, tables: Vec::new() };
        host.handle(ControllerInput::RulesReceived(stored_rules(4, &[4])));
        host.handle(ControllerInput::PlacementReceived(Arc::new(placement)));
        host.handle(ControllerInput::SnapshotInstalled { generation: 7, rules_revision: 4 });
        host.controller.join_step = join_step;
        host.controller.has_all_exceptions = join_step == JoinStep::Joined;
        host
    }

    fn handle(&mut self, input: ControllerInput) {
        self.controller.handle(input, self.now, &mut self.outputs);
    }

    /// Handles a digest of the peer with this settled generation; the peer sees both hosts.
    fn hear_peer(&mut self, settled_generation: u64) {
        self.peer_sequence += 1;
        let peer = HostDigest {
            generation: 7,
            rules_revision: 4,
            settled_generation,
            ..digest(2, 1, self.peer_sequence)
        };
        self.handle(ControllerInput::DigestReceived(peer));
        let view_hash = self.controller.digest().view_hash;
        self.peer_sequence += 1;
        let peer = HostDigest { view_hash, sequence: self.peer_sequence, ..peer };
        self.handle(ControllerInput::DigestReceived(peer));
    }

    /// Runs for a time; the peer sends a digest every 500 ms if it has a settled generation.
    fn run_for(&mut self, duration: Duration, peer_settled: Option<u64>) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            self.handle(ControllerInput::Tick);
            let digest_due = self.now.as_millis().is_multiple_of(500);
            if let Some(settled_generation) = peer_settled.filter(|_| digest_due) {
                self.hear_peer(settled_generation);
            }
        }
    }

    /// Returns the last confirmation of the tables since the last call.
    fn take_confirmation(&mut self) -> Option<Duration> {
        let confirmation = |output: &ControllerOutput| match output {
            ControllerOutput::SetTablesConfirmedAt(at) => Some(*at),
            _ => None,
        };
        let last = self.outputs.iter().filter_map(confirmation).next_back();
        self.outputs.clear();
        last
    }

    fn has_fetched_exceptions(&self) -> bool {
        self.outputs.contains(&ControllerOutput::FetchAllExceptions(PEER_ADDRESS))
    }
}

#[test]
fn host_that_stalled_does_not_confirm_its_tables_by_digests_that_waited_for_it() {
    let mut host = TestHost::at_step(JoinStep::Joined);
    host.run_for(Duration::from_secs(2), Some(7));
    assert_eq!(host.take_confirmation(), Some(host.now));
    host.now += Duration::from_secs(5);
    host.hear_peer(7);
    host.run_for(Duration::from_millis(300), None);
    assert_eq!(host.take_confirmation(), Some(Duration::ZERO));
    host.run_for(Duration::from_secs(2), Some(7));
    assert!(host.has_fetched_exceptions(), "flows may have been placed without this host");
    assert_eq!(host.take_confirmation(), Some(Duration::ZERO));
    let fetched = ControllerInput::AllExceptionsFetched { peer: PEER_ADDRESS, generation: 7 };
    host.handle(fetched);
    host.run_for(TICK, None);
    assert_eq!(host.take_confirmation(), Some(host.now));
}

#[test]
fn host_that_stalled_while_it_joined_fetches_the_exceptions_again() {
    let mut host = TestHost::at_step(JoinStep::AwaitingConvergence(Duration::ZERO));
    host.run_for(Duration::from_millis(200), Some(7));
    host.now += Duration::from_secs(5);
    host.run_for(Duration::from_secs(1), Some(7));
    assert!(host.has_fetched_exceptions());
    assert_eq!(host.controller.state(), HostState::Joining);
}

#[test]
fn joining_host_does_not_take_peers_that_are_behind_for_peers_without_exceptions() {
    let mut host = TestHost::at_step(JoinStep::FetchingExceptions(Duration::ZERO));
    host.run_for(Duration::from_secs(4), Some(6));
    assert!(matches!(host.controller.join_step, JoinStep::FetchingExceptions(_)));
    host.run_for(Duration::from_secs(1), Some(7));
    assert!(host.has_fetched_exceptions());
}
