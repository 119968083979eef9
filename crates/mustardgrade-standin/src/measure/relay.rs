//! Packet rate of a traffic thread relative to that of a bare UDP relay with the same batch size.

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

/// Maximum number of datagrams that the bare relay reads per wake-up; equal to the batch size of
/// traffic threads, so that the two are comparable.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// Time for which packets are sent in one round.
const ROUND_DURATION: Duration = Duration::from_secs(2);

/// Number of rounds for each of the two relays, the bare one and the traffic thread. Their rounds
/// alternate, and medians over the rounds are reported.
const ROUNDS_PER_RELAY: usize = 5;

/// Payload of each packet. It is small so that the cost per packet dominates the cost per byte.
const PAYLOAD_BYTES: usize = 64;

/// `RelayThroughput` is the throughput of a traffic thread and of a bare relay.
#[derive(Debug, Clone, Copy)]
pub struct RelayThroughput {
    /// Median packet rate of the bare relay.
    pub bare_relay_packets_per_sec: f64,
    /// Median packet rate of the traffic thread.
    pub traffic_thread_packets_per_sec: f64,
    /// Median ratio of the traffic thread's rate to that of the bare relay in the round before.
    pub median_ratio: f64,
}

/// Measures a bare relay and a traffic thread in alternating rounds, with packets of `flows` flows.
///
/// # Errors
///
/// Fails if a socket cannot be bound, or if a relay cannot be started.
pub fn measure_relay_throughput(flows: u32) -> std::io::Result<RelayThroughput> {
    let packets = build_packets(flows);
    let mut bare_relay_rates = Vec::new();
    let mut traffic_thread_rates = Vec::new();
    let mut ratios = Vec::new();
    for _ in 0..ROUNDS_PER_RELAY {
        let bare_relay_rate = run_round(&packets, Ipv4Addr::new(127, 91, 1, 1), start_bare_relay)?;
        let traffic_thread_rate =
            run_round(&packets, Ipv4Addr::new(127, 91, 2, 1), start_traffic_thread)?;
        bare_relay_rates.push(bare_relay_rate);
        traffic_thread_rates.push(traffic_thread_rate);
        ratios.push(traffic_thread_rate / bare_relay_rate);
    }
    Ok(RelayThroughput {
        bare_relay_packets_per_sec: median(bare_relay_rates),
        traffic_thread_packets_per_sec: median(traffic_thread_rates),
        median_ratio: median(ratios),
    })
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Address that both relays forward to.
const SINK_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 91, 3, 1);

fn build_packets(flows: u32) -> Vec<Vec<u8>> {
    (0..flows)
        .map(|flow| {
            let caller_address = Ipv4Addr::from(0xC633_6401 + flow / 50_000);
            let builder =
                etherparse::PacketBuilder::ipv4(caller_address.octets(), [203, 0, 113, 1], 64)
                    .tcp(10_000 + (flow % 50_000) as u16, 7_000, 1, 512)
                    .ack(1);
            let mut packet = Vec::new();
            builder
                .write(&mut packet, &[0; PAYLOAD_BYTES])
                .expect("writing to a vector does not fail");
            let mut datagram = Vec::new();
            gue::encapsulate(&packet, &mut datagram);
            datagram
        })
        .collect()
}

/// `RelayUnderTest` is a running relay, which ends when `stop` changes or is dropped.
///
/// The fields with an underscore keep the channels of a traffic thread open.
struct RelayUnderTest {
    stop: watch::Sender<bool>,
    thread: std::thread::JoinHandle<()>,
    _request_receiver: Option<mpsc::Receiver<Vec<u8>>>,
    _command_sender: Option<mpsc::Sender<mustardgrade_node::traffic::TrafficCommand>>,
}

/// Runs one round and returns the rate of packets that arrived at the sink, per second.
fn run_round(
    packets: &[Vec<u8>],
    address: Ipv4Addr,
    start: fn(Ipv4Addr) -> std::io::Result<RelayUnderTest>,
) -> std::io::Result<f64> {
    let relay = start(address)?;
    let is_sink_running = Arc::new(AtomicBool::new(true));
    let received_packets = Arc::new(AtomicU64::new(0));
    let sink_socket = std::net::UdpSocket::bind((SINK_ADDRESS, PortSettings::default().gue))?;
    sink_socket.set_read_timeout(Some(Duration::from_millis(50)))?;
    let sink_counter = Arc::clone(&received_packets);
    let keep_receiving = Arc::clone(&is_sink_running);
    let sink_thread = std::thread::spawn(move || {
        let mut buffer = [0; 2_048];
        while keep_receiving.load(Ordering::Relaxed) {
            if sink_socket.recv(&mut buffer).is_ok() {
                sink_counter.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    let source_socket = std::net::UdpSocket::bind((Ipv4Addr::new(127, 91, 4, 1), 0))?;
    let relay_address = SocketAddr::from((address, PortSettings::default().gue));
    let started_at = Instant::now();
    let mut next_packet = 0;
    while started_at.elapsed() < ROUND_DURATION {
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let _sent = source_socket.send_to(&packets[next_packet], relay_address);
            next_packet = (next_packet + 1) % packets.len();
        }
    }
    let packets_per_sec =
        received_packets.load(Ordering::Relaxed) as f64 / started_at.elapsed().as_secs_f64();
    is_sink_running.store(false, Ordering::Relaxed);
    relay.stop.send_replace(true);
    let _joined = relay.thread.join();
    let _joined = sink_thread.join();
    Ok(packets_per_sec)
}

/// Starts a relay that forwards datagrams to the sink unchanged.
fn start_bare_relay(address: Ipv4Addr) -> std::io::Result<RelayUnderTest> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let runtime_guard = runtime.enter();
    let socket = bind_udp(address, PortSettings::default().gue)?;
    drop(runtime_guard);
    let (stop, mut stop_receiver) = watch::channel(false);
    let sink_address = SocketAddr::from((SINK_ADDRESS, PortSettings::default().gue));
    let thread = std::thread::spawn(move || {
        runtime.block_on(async move {
            let mut buffer = [0; 2_048];
            loop {
                tokio::select! {
                    _ = stop_receiver.changed() => return,
                    _ = socket.readable() => {
                        for _ in 0..MAX_BATCH_DATAGRAMS {
                            let Ok((length, _)) = socket.try_recv_from(&mut buffer) else { break };
                            let _sent = socket.try_send_to(&buffer[..length], sink_address);
                        }
                    }
                }
            }
        });
    });
    Ok(RelayUnderTest { stop, thread, _request_receiver: None, _command_sender: None })
}

/// Starts a traffic thread whose only upstream is the sink.
fn start_traffic_thread(address: Ipv4Addr) -> std::io::Result<RelayUnderTest> {
    let rules = parse_rules(&format!(
        "data-centre one in # x\nservice feed 203.0.113.1:7000 class=flow tenant=t # x\n\
         upstream u service=feed at={SINK_ADDRESS} data-centre=one slots=4 # x\n"
    ));
    let rules = rules.map_err(std::io::Error::other)?;
    let planner = PlacementPlanner::new(PlannerOptions::default());
    let progress = ClusterProgress {
        applied_generation: 0,
        settled_generation: 0,
        has_silent_listed_host: false,
    };
    let weight_of = |_: &mustardgrade_core::rule::UpstreamRule| WARM_WEIGHT_PER_SLOT;
    let placement = planner
        .propose(&PlacementMap::default(), &rules, 1, &weight_of, progress, Duration::ZERO)
        .unwrap_or_default();
    let shared_state = SharedTrafficState::new();
    shared_state.routing_snapshot.store(Arc::new(build_snapshot(SnapshotInputs {
        rules: &rules,
        rules_revision: 1,
        rules_applied_by_all: true,
        placement: &placement,
        members: &[],
        unreachable_data_centres: &[],
        views_converged: true,
        guards_enabled: true,
    })));
    let clock = UnixClock::new();
    shared_state
        .tables_confirmed_at
        .set(mustardgrade_core::clock::Clock::now(&clock) + Duration::from_secs(60));
    let key = FleetKey::derive(b"the secret of a measurement").map_err(std::io::Error::other)?;
    let settings = TrafficThreadSettings {
        local_incarnation: HostIncarnation { host: HostId(1), incarnation: 1 },
        address,
        fabric_return: SocketAddrV4::new(SINK_ADDRESS, 1),
        ports: PortSettings::default(),
        keys: FleetKeys { current: key, previous: None },
        options: FlowOptions::default(),
    };
    let (stop, stop_receiver) = watch::channel(false);
    let (command_sender, command_receiver) = mpsc::channel(1);
    let (request_sender, request_receiver) = mpsc::channel(1);
    let (transfer_sender, _) = mpsc::channel(1);
    let channels = TrafficThreadChannels {
        commands: command_receiver,
        request_packets: request_sender,
        transfers: transfer_sender,
        stop_requested: stop_receiver,
    };
    let thread =
        spawn_traffic_thread(settings, shared_state, HostMetrics::new(1), clock, channels)?;
    Ok(RelayUnderTest {
        stop,
        thread,
        _request_receiver: Some(request_receiver),
        _command_sender: Some(command_sender),
    })
}
