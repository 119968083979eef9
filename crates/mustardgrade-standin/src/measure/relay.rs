//! Packets a second through one entry host against a bare relay of the same batch size.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use mustardgrade_core::flow::{FlowOptions, SnapshotInputs, build_snapshot};
use mustardgrade_core::identity::{HostId, HostIncarnation};
use mustardgrade_core::placement::{
    ClusterProgress, PlacementMap, PlacementPlanner, PlannerOptions, WARM_WEIGHT_PER_SLOT,
};
use mustardgrade_core::rule::parse_rules;
use mustardgrade_node::clock::UnixClock;
use mustardgrade_node::metrics::HostMetrics;
use mustardgrade_node::settings::PortSettings;
use mustardgrade_node::traffic::{
    SharedTrafficState, TrafficThreadChannels, TrafficThreadSettings, bind_udp,
    spawn_traffic_thread,
};
use mustardgrade_wire::gue;
use mustardgrade_wire::peer::{FleetKey, FleetKeys};
use tokio::sync::{mpsc, watch};

/// Datagrams that the bare relay reads at a time; equal to that of traffic threads.
const BATCH: usize = 64;

/// Length of one round.
const ROUND: Duration = Duration::from_secs(2);

/// Rounds of each kind, in turn; the median ratio is reported.
const ROUNDS: usize = 5;

/// Bytes of payload of each packet; small ones show the cost of a packet, not of its bytes.
const PAYLOAD: usize = 64;

/// `RelayResult` is the outcome of the comparison.
#[derive(Debug, Clone, Copy)]
pub struct RelayResult {
    /// Median packets a second of the bare relay.
    pub bare: f64,
    /// Median packets a second of the host's traffic thread.
    pub host: f64,
    /// Median of the ratios of neighbouring rounds.
    pub ratio: f64,
}

/// Measures a traffic thread against a bare relay, in turn, with `flows` known flows.
///
/// # Errors
///
/// Fails if a socket cannot be bound.
pub fn measure_relay(flows: u32) -> std::io::Result<RelayResult> {
    let packets = build_packets(flows);
    let mut bare = Vec::new();
    let mut host = Vec::new();
    let mut ratios = Vec::new();
    for _ in 0..ROUNDS {
        let one = run_round(&packets, Ipv4Addr::new(127, 91, 1, 1), start_bare)?;
        let other = run_round(&packets, Ipv4Addr::new(127, 91, 2, 1), start_lane)?;
        bare.push(one);
        host.push(other);
        ratios.push(other / one);
    }
    Ok(RelayResult { bare: median(bare), host: median(host), ratio: median(ratios) })
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Address of the receiving end.
const SINK: Ipv4Addr = Ipv4Addr::new(127, 91, 3, 1);

fn build_packets(flows: u32) -> Vec<Vec<u8>> {
    (0..flows)
        .map(|flow| {
            let caller = Ipv4Addr::from(0xC633_6401 + flow / 50_000);
            let builder = etherparse::PacketBuilder::ipv4(caller.octets(), [203, 0, 113, 1], 64)
                .tcp(10_000 + (flow % 50_000) as u16, 7_000, 1, 512)
                .ack(1);
            let mut packet = Vec::new();
            builder.write(&mut packet, &[0; PAYLOAD]).expect("a vector takes every packet");
            let mut datagram = Vec::new();
            gue::encapsulate(&packet, &mut datagram);
            datagram
        })
        .collect()
}

/// `RelayUnderTest` ends when its sender is dropped.
struct RelayUnderTest {
    stop: watch::Sender<bool>,
    thread: std::thread::JoinHandle<()>,
    _keep: Option<mpsc::Receiver<Vec<u8>>>,
    _commands: Option<mpsc::Sender<mustardgrade_node::traffic::TrafficCommand>>,
}

/// Runs one round and returns the packets a second that came through.
fn run_round(
    packets: &[Vec<u8>],
    address: Ipv4Addr,
    start: fn(Ipv4Addr) -> std::io::Result<RelayUnderTest>,
) -> std::io::Result<f64> {
    let relay = start(address)?;
    let running = Arc::new(AtomicBool::new(true));
    let received = Arc::new(AtomicU64::new(0));
    let sink = std::net::UdpSocket::bind((SINK, PortSettings::default().gue))?;
    sink.set_read_timeout(Some(Duration::from_millis(50)))?;
    let counter = Arc::clone(&received);
    let counting = Arc::clone(&running);
    let sink_thread = std::thread::spawn(move || {
        let mut buffer = [0; 2_048];
        while counting.load(Ordering::Relaxed) {
            if sink.recv(&mut buffer).is_ok() {
                counter.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    let source = std::net::UdpSocket::bind((Ipv4Addr::new(127, 91, 4, 1), 0))?;
    let to = SocketAddr::from((address, PortSettings::default().gue));
    let started = Instant::now();
    let mut next = 0;
    while started.elapsed() < ROUND {
        for _ in 0..BATCH {
            let _sent = source.send_to(&packets[next], to);
            next = (next + 1) % packets.len();
        }
    }
    let rate = received.load(Ordering::Relaxed) as f64 / started.elapsed().as_secs_f64();
    running.store(false, Ordering::Relaxed);
    relay.stop.send_replace(true);
    let _joined = relay.thread.join();
    let _joined = sink_thread.join();
    Ok(rate)
}

/// Starts a relay that only forwards datagrams.
fn start_bare(address: Ipv4Addr) -> std::io::Result<RelayUnderTest> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let entered = runtime.enter();
    let socket = bind_udp(address, PortSettings::default().gue)?;
    drop(entered);
    let (stop, mut stopped) = watch::channel(false);
    let to = SocketAddr::from((SINK, PortSettings::default().gue));
    let thread = std::thread::spawn(move || {
        runtime.block_on(async move {
            let mut buffer = [0; 2_048];
            loop {
                tokio::select! {
                    _ = stopped.changed() => return,
                    _ = socket.readable() => {
                        for _ in 0..BATCH {
                            let Ok((length, _)) = socket.try_recv_from(&mut buffer) else { break };
                            let _sent = socket.try_send_to(&buffer[..length], to);
                        }
                    }
                }
            }
        });
    });
    Ok(RelayUnderTest { stop, thread, _keep: None, _commands: None })
}

/// Starts a traffic thread with one upstream, the sink.
fn start_lane(address: Ipv4Addr) -> std::io::Result<RelayUnderTest> {
    let rules = parse_rules(&format!(
        "data-centre one in # x\nservice feed 203.0.113.1:7000 class=flow tenant=t # x\n\
         upstream u service=feed at={SINK} data-centre=one slots=4 # x\n"
    ));
    let rules = rules.map_err(std::io::Error::other)?;
    let planner = PlacementPlanner::new(PlannerOptions::default());
    let echo = ClusterProgress {
        applied_generation: 0,
        settled_generation: 0,
        has_silent_listed_host: false,
    };
    let weight = |_: &mustardgrade_core::rule::UpstreamRule| WARM_WEIGHT_PER_SLOT;
    let book = planner
        .propose(&PlacementMap::default(), &rules, 1, &weight, echo, Duration::ZERO)
        .unwrap_or_default();
    let shared = SharedTrafficState::new();
    shared.routing_snapshot.store(Arc::new(build_snapshot(SnapshotInputs {
        rules: &rules,
        rules_revision: 1,
        rules_applied_by_all: true,
        placement: &book,
        members: &[],
        unreachable_data_centres: &[],
        views_converged: true,
        guards_enabled: true,
    })));
    let clock = UnixClock::new();
    shared
        .tables_confirmed_at
        .set(mustardgrade_core::clock::Clock::now(&clock) + Duration::from_secs(60));
    let key = FleetKey::derive(b"the secret of a measurement").map_err(std::io::Error::other)?;
    let settings = TrafficThreadSettings {
        local_incarnation: HostIncarnation { host: HostId(1), incarnation: 1 },
        address,
        fabric_return: SocketAddrV4::new(SINK, 1),
        ports: PortSettings::default(),
        keys: FleetKeys { current: key, previous: None },
        options: FlowOptions::default(),
    };
    let (stop, stopped) = watch::channel(false);
    let (commands_sender, commands) = mpsc::channel(1);
    let (requests, requests_seen) = mpsc::channel(1);
    let (transfers, _) = mpsc::channel(1);
    let channels = TrafficThreadChannels {
        commands,
        request_packets: requests,
        transfers,
        stop_requested: stopped,
    };
    let thread = spawn_traffic_thread(settings, shared, HostMetrics::new(1), clock, channels)?;
    Ok(RelayUnderTest {
        stop,
        thread,
        _keep: Some(requests_seen),
        _commands: Some(commands_sender),
    })
}
