//! Event loop of a traffic thread, which routes flow packets.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use mustardgrade_core::clock::Clock;
use mustardgrade_core::flow::{
    AddressedUpdate, BindingUpdate, FlowPacket, FlowRouter, FlowVerdict, HopHeader, RoutingSnapshot,
};
use mustardgrade_core::identity::HostId;
use mustardgrade_wire::gue;
use mustardgrade_wire::inner::{InnerPacket, build_tcp_reset, parse_packet};
use mustardgrade_wire::peer::{FrameOpener, FrameSealer, PeerMessage, ServiceRecordList};
use prometheus_client::metrics::histogram::Histogram;
use tokio::net::UdpSocket;

use super::channels::{TrafficCommand, TrafficThreadChannels};
use super::settings::TrafficThreadSettings;
use super::shared::SharedTrafficState;
use super::socket::{bind_udp, bind_udp_reuse_port};
use crate::clock::UnixClock;
use crate::metrics::{FlowLabels, HostMetrics, SentByteKind};

/// Maximum number of datagrams read from a socket before other events are handled; a higher one
/// delays updates to other hosts.
const MAX_DATAGRAMS_PER_READ: usize = 64;

/// Maximum size of a received datagram; the fabric carries no jumbo frames.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Interval at which updates are sent to other hosts; a shorter one sends more and smaller frames.
const UPDATE_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of updates in a frame; more would not fit into a datagram.
const MAX_UPDATES_PER_FRAME: usize = 32;

/// Log target of the lines about single packets; they are written at level trace only.
pub const PACKET_LOG_TARGET: &str = "mustardgrade_node::packets";

/// Starts a traffic thread; its sockets are bound before this returns.
///
/// # Errors
///
/// Fails if a socket cannot be bound or the thread cannot be started.
pub fn spawn_traffic_thread(
    settings: TrafficThreadSettings,
    traffic_state: Arc<SharedTrafficState>,
    metrics: Arc<HostMetrics>,
    clock: UnixClock,
    channels: TrafficThreadChannels,
) -> std::io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let runtime_guard = runtime.enter();
    // The exclusive port comes first: a second process on this address must fail before it joins
    // the sockets of the fabric's port, or it would take packets away from the running host.
    let hop_port = settings.ports.hop + u16::from(settings.options.lane);
    let peer_socket = bind_udp(settings.address, hop_port)?;
    let fabric_socket = bind_udp_reuse_port(settings.address, settings.ports.gue)?;
    drop(runtime_guard);
    let name = format!("lane-{}", settings.options.lane);
    std::thread::Builder::new().name(name).spawn(move || {
        let mut thread =
            TrafficThread::new(settings, traffic_state, metrics, clock, fabric_socket, peer_socket);
        runtime.block_on(thread.run(channels));
    })
}

/// `TrafficThread` holds the router, sockets and metrics of one traffic thread.
struct TrafficThread {
    settings: TrafficThreadSettings,
    traffic_state: Arc<SharedTrafficState>,
    metrics: Arc<HostMetrics>,
    clock: UnixClock,
    fabric_socket: UdpSocket,
    peer_socket: UdpSocket,
    router: FlowRouter,
    installed_snapshot: Arc<RoutingSnapshot>,
    sealer: FrameSealer,
    opener: FrameOpener,
    pending_updates: Vec<AddressedUpdate>,
    packet_sizes: HashMap<SocketAddrV4, Histogram>,
    send_buffer: Vec<u8>,
}

impl TrafficThread {
    fn new(
        settings: TrafficThreadSettings,
        traffic_state: Arc<SharedTrafficState>,
        metrics: Arc<HostMetrics>,
        clock: UnixClock,
        fabric_socket: UdpSocket,
        peer_socket: UdpSocket,
    ) -> Self {
        let lane = settings.options.lane;
        Self {
            router: FlowRouter::new(settings.local_incarnation.host, settings.options),
            installed_snapshot: Arc::new(RoutingSnapshot::default()),
            sealer: FrameSealer::new(settings.local_incarnation, lane + 1, settings.keys.clone()),
            opener: FrameOpener::new(settings.keys.clone()),
            pending_updates: Vec::new(),
            packet_sizes: HashMap::new(),
            send_buffer: Vec::with_capacity(MAX_DATAGRAM_BYTES),
            settings,
            traffic_state,
            metrics,
            clock,
            fabric_socket,
            peer_socket,
        }
    }

    async fn run(&mut self, mut channels: TrafficThreadChannels) {
        let mut interval = tokio::time::interval(UPDATE_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = channels.stop_requested.changed() => break,
                _ = interval.tick() => self.flush(&channels),
                command = channels.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => break,
                },
                _ = self.fabric_socket.readable() => self.read_fabric_packets(&channels),
                _ = self.peer_socket.readable() => self.read_peer_frames(),
            }
        }
    }

    /// Installs the routing snapshot if it has changed, and updates the confirmation time.
    fn refresh_snapshot(&mut self) {
        let snapshot = self.traffic_state.routing_snapshot.load();
        if !Arc::ptr_eq(&snapshot, &self.installed_snapshot) {
            log::trace!(
                target: PACKET_LOG_TARGET,
                host:% = self.settings.address,
                generation = snapshot.generation,
                rules_revision = snapshot.rules_revision,
                exceptions = self.router.exceptions().len();
                "routing snapshot taken over"
            );
            self.installed_snapshot = Arc::clone(&snapshot);
            self.router.install(Arc::clone(&snapshot));
            self.packet_sizes = packet_size_histograms(&snapshot, &self.metrics);
        }
        self.router.set_tables_confirmed_at(self.traffic_state.tables_confirmed_at.get());
    }

    fn read_fabric_packets(&mut self, channels: &TrafficThreadChannels) {
        self.refresh_snapshot();
        let now = self.clock.now();
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            let Ok((length, _)) = self.fabric_socket.try_recv_from(&mut buffer) else { return };
            self.handle_fabric_datagram(&buffer[..length], now, channels);
        }
    }

    fn handle_fabric_datagram(
        &mut self,
        datagram: &[u8],
        now: Duration,
        channels: &TrafficThreadChannels,
    ) {
        let Ok(packet) = gue::decapsulate(datagram) else {
            return self.count_malformed();
        };
        match parse_packet(packet) {
            Ok(InnerPacket::Tcp(segment)) => {
                let verdict = self.router.route(&segment, now);
                self.perform_verdict(verdict, &segment, packet);
            }
            Ok(InnerPacket::Udp(_)) => {
                if channels.request_packets.try_send(packet.to_vec()).is_err() {
                    self.metrics.overflows.fetch_add(1, Ordering::Relaxed);
                }
            }
            Err(_) => self.count_malformed(),
        }
    }

    fn read_peer_frames(&mut self) {
        self.refresh_snapshot();
        let now = self.clock.now();
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            let Ok((length, _)) = self.peer_socket.try_recv_from(&mut buffer) else { return };
            self.handle_peer_frame(&buffer[..length], now);
        }
    }

    fn handle_peer_frame(&mut self, frame: &[u8], now: Duration) {
        let Ok(opened) = self.opener.open::<PeerMessage>(frame) else {
            self.metrics.refused_frames.fetch_add(1, Ordering::Relaxed);
            return;
        };
        match opened.body {
            PeerMessage::Hop(header) => match parse_packet(opened.trailing_bytes) {
                Ok(InnerPacket::Tcp(segment)) => {
                    let verdict = self.router.route_hop(&header, &segment, now);
                    self.perform_verdict(verdict, &segment, opened.trailing_bytes);
                }
                Ok(InnerPacket::Udp(_)) | Err(_) => self.count_malformed(),
            },
            PeerMessage::BindingUpdates(updates) => {
                for update in &updates {
                    self.router.apply_update(update, now);
                }
            }
            PeerMessage::Digest(_) | PeerMessage::Request(_) | PeerMessage::Fleet(_) => {
                self.count_malformed();
            }
        }
    }

    fn perform_verdict(&mut self, verdict: FlowVerdict, segment: &FlowPacket, packet: &[u8]) {
        self.trace_verdict(verdict, segment);
        match verdict {
            FlowVerdict::Tunnel { address, .. } => {
                let destination = SocketAddrV4::new(address, self.settings.ports.gue);
                if let Some(histogram) = self.packet_sizes.get(&segment.key.service) {
                    histogram.observe(packet.len() as f64);
                }
                self.send_encapsulated(packet, destination);
            }
            FlowVerdict::Hop { address, lane, header, .. } => {
                self.send_hop(address, lane, &header, packet);
            }
            FlowVerdict::Reset => {
                let reset = build_tcp_reset(segment);
                self.send_encapsulated(&reset, self.settings.fabric_return);
            }
            FlowVerdict::Drop(_) => {}
        }
    }

    /// Writes a log line for one packet, from which a lost flow can be followed over all hosts.
    fn trace_verdict(&self, verdict: FlowVerdict, segment: &FlowPacket) {
        log::trace!(
            target: PACKET_LOG_TARGET,
            host:% = self.settings.address,
            flow:% = segment.key,
            opens = segment.opens_flow(),
            generation = self.installed_snapshot.generation,
            rules_revision = self.installed_snapshot.rules_revision,
            verdict:? = verdict;
            "packet"
        );
    }

    fn trace_exceptions(&self, record_lists: &[ServiceRecordList]) {
        log::trace!(
            target: PACKET_LOG_TARGET,
            host:% = self.settings.address,
            generation = self.installed_snapshot.generation,
            records = record_lists.iter().map(|list| list.records.len()).sum::<usize>();
            "exceptions installed"
        );
    }

    fn send_encapsulated(&mut self, packet: &[u8], destination: SocketAddrV4) {
        self.send_buffer.clear();
        gue::encapsulate(packet, &mut self.send_buffer);
        if self.fabric_socket.try_send_to(&self.send_buffer, SocketAddr::V4(destination)).is_err() {
            self.metrics.overflows.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn send_hop(&mut self, address: Ipv4Addr, lane: u8, header: &HopHeader, packet: &[u8]) {
        let frame = self.sealer.seal(&PeerMessage::Hop(*header), packet);
        self.metrics.add_sent_bytes(SentByteKind::Hop, frame.len());
        self.send_frame(address, lane, &frame);
    }

    fn send_frame(&self, address: Ipv4Addr, lane: u8, frame: &[u8]) {
        let destination = SocketAddr::from((address, self.settings.ports.hop + u16::from(lane)));
        if self.peer_socket.try_send_to(frame, destination).is_err() {
            self.metrics.overflows.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends the updates and transfers queued since the last call, and publishes the counters.
    fn flush(&mut self, channels: &TrafficThreadChannels) {
        self.refresh_snapshot();
        self.send_updates();
        for transfer in self.router.take_transfers() {
            if channels.transfers.try_send(transfer).is_err() {
                self.metrics.overflows.fetch_add(1, Ordering::Relaxed);
            }
        }
        self.publish_counters();
    }

    fn send_updates(&mut self) {
        self.router.take_updates(&mut self.pending_updates);
        let mut by_peer: HashMap<(HostId, u8), Vec<BindingUpdate>> = HashMap::new();
        for addressed in self.pending_updates.drain(..) {
            by_peer.entry((addressed.to, addressed.lane)).or_default().push(addressed.update);
        }
        for ((to, lane), updates) in by_peer {
            let Some(address) = self.installed_snapshot.host_address(to) else { continue };
            for chunk in updates.chunks(MAX_UPDATES_PER_FRAME) {
                let frame = self.sealer.seal(&PeerMessage::BindingUpdates(chunk.to_vec()), &[]);
                self.metrics.add_sent_bytes(SentByteKind::Control, frame.len());
                self.send_frame(address, lane, &frame);
            }
        }
    }

    fn publish_counters(&self) {
        let lane = usize::from(self.settings.options.lane);
        self.metrics.traffic_thread_counters[lane].publish(self.router.counters());
        let record_counts = &self.metrics.record_counts[lane];
        record_counts[0].store(self.router.records().len() as u64, Ordering::Relaxed);
        record_counts[1].store(self.router.exceptions().len() as u64, Ordering::Relaxed);
    }

    fn count_malformed(&self) {
        self.metrics.malformed_datagrams.fetch_add(1, Ordering::Relaxed);
    }

    fn handle_command(&mut self, command: TrafficCommand) {
        self.refresh_snapshot();
        match command {
            TrafficCommand::MergeRecords(lists) => {
                for list in lists {
                    self.router.merge_records(list.service, &list.records);
                }
            }
            TrafficCommand::InstallExceptions { record_lists, done_sender } => {
                self.trace_exceptions(&record_lists);
                for list in record_lists {
                    self.router.install_exceptions(list.service, &list.records);
                }
                let _result = done_sender.send(());
            }
            TrafficCommand::ConfirmSnapshot(done_sender) => {
                let _result = done_sender.send(());
            }
            TrafficCommand::ListAllExceptions(reply_sender) => {
                let services = self.installed_snapshot.services.iter().map(|route| route.service);
                let list = |service| ServiceRecordList {
                    service,
                    records: self.router.exceptions_for_sync(service),
                };
                let _result = reply_sender.send(services.map(list).collect());
            }
            TrafficCommand::ListBucketExceptions { request, reply_sender } => {
                let records = self.router.bucket_exceptions(
                    request.service,
                    &request.buckets,
                    request.min_generation,
                );
                let _result = reply_sender.send(records);
            }
            TrafficCommand::ListRecordsForHost { host, reply_sender } => {
                let services = self.router.records().services();
                let list = |service| ServiceRecordList {
                    service,
                    records: self.router.records_for_host(host, service),
                };
                let _result = reply_sender.send(services.into_iter().map(list).collect());
            }
        }
    }
}

/// Returns the packet size histogram for each service address, so that no label lookup is needed
/// for each packet.
fn packet_size_histograms(
    snapshot: &RoutingSnapshot,
    metrics: &HostMetrics,
) -> HashMap<SocketAddrV4, Histogram> {
    let histogram = |customer: &str| {
        let labels = FlowLabels { tenant: customer.to_owned(), class: "flow".to_owned() };
        metrics.packet_bytes.get_or_create_owned(&labels)
    };
    let service_indexes = snapshot.service_indexes.iter();
    service_indexes
        .map(|(address, index)| (*address, histogram(&snapshot.services[*index].customer)))
        .collect()
}
