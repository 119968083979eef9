//! One traffic thread for flows.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use mustardgrade_core::clock::Clock;
use mustardgrade_core::flow::{
    AddressedUpdate, BindingRecord, BindingUpdate, FlowOptions, FlowPacket, FlowRouter,
    FlowVerdict, HopHeader, RecordTransfer, RoutingSnapshot,
};
use mustardgrade_core::identity::{HostId, HostIncarnation, ServiceId};
use mustardgrade_core::placement::BucketIndex;
use mustardgrade_wire::gue;
use mustardgrade_wire::inner::{InnerPacket, build_tcp_reset, parse_packet};
use mustardgrade_wire::peer::{
    FleetKeys, FrameOpener, FrameSealer, PeerMessage, ServiceRecordList,
};
use prometheus_client::metrics::histogram::Histogram;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};

use super::shared::TrafficShared;
use super::socket::{bind_udp, bind_udp_shared};
use crate::clock::UnixClock;
use crate::metrics::{ByteKind, HostMetrics, TrafficLabels};
use crate::settings::PortSettings;

/// Datagrams that are read before the thread looks at anything else; larger batches delay notes.
const BATCH: usize = 64;

/// Largest datagram that is accepted; the fabric carries no jumbo frames.
const MAX_DATAGRAM: usize = 2_048;

/// Time between two rounds of sending notes; shorter rounds send more and smaller frames.
const NOTE_INTERVAL: Duration = Duration::from_millis(10);

/// Notes in one frame; more would not fit a datagram.
const NOTES_PER_FRAME: usize = 32;

/// `LaneSettings` are the settings of one traffic thread.
#[derive(Debug, Clone)]
pub struct LaneSettings {
    /// This run of this host.
    pub me: HostIncarnation,
    /// Its address.
    pub address: Ipv4Addr,
    /// Where packets to callers go.
    pub fabric_return: SocketAddrV4,
    /// Ports.
    pub ports: PortSettings,
    /// Keys of the fleet.
    pub keys: FleetKeys,
    /// Settings of the router.
    pub options: FlowOptions,
}

/// `LaneCommand` is what the control thread asks of a traffic thread.
#[derive(Debug)]
pub enum LaneCommand {
    /// Takes in records that another host kept.
    MergeRecords(Vec<ServiceRecordList>),
    /// Takes in settled exceptions, replacing none.
    InstallExceptions(Vec<ServiceRecordList>),
    /// Returns all settled exceptions.
    ListExceptions(oneshot::Sender<Vec<ServiceRecordList>>),
    /// Returns the settled exceptions of buckets, as of the thread's generation.
    ListSettled {
        /// The service.
        service: ServiceId,
        /// The buckets.
        buckets: Vec<BucketIndex>,
        /// Takes the generation and the records.
        reply: oneshot::Sender<LaneRecords>,
    },
    /// Returns the records that a host will own.
    ListRecords {
        /// The host.
        host: HostId,
        /// Takes the records.
        reply: oneshot::Sender<Vec<ServiceRecordList>>,
    },
}

/// `LaneRecords` are records as of a generation.
#[derive(Debug)]
pub struct LaneRecords {
    /// Generation in force on the thread.
    pub generation: u64,
    /// The records.
    pub records: Vec<BindingRecord>,
}

/// `LaneChannels` connect a traffic thread to the others.
#[derive(Debug)]
pub struct LaneChannels {
    /// Commands from the control thread.
    pub commands: mpsc::Receiver<LaneCommand>,
    /// Packets with requests, for the request thread.
    pub requests: mpsc::Sender<Vec<u8>>,
    /// Records for hosts that joined a chain, for the control thread.
    pub transfers: mpsc::Sender<RecordTransfer>,
    /// Turns true when the thread shall end.
    pub stop: watch::Receiver<bool>,
}

/// Starts a traffic thread; its sockets are bound before this returns.
///
/// # Errors
///
/// Fails if a socket cannot be bound or the thread cannot be started.
pub fn spawn_lane(
    settings: LaneSettings,
    shared: Arc<TrafficShared>,
    metrics: Arc<HostMetrics>,
    clock: UnixClock,
    channels: LaneChannels,
) -> std::io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let entered = runtime.enter();
    let gue = bind_udp_shared(settings.address, settings.ports.gue)?;
    let hop_port = settings.ports.hop + u16::from(settings.options.lane);
    let hop = bind_udp(settings.address, hop_port)?;
    drop(entered);
    let name = format!("lane-{}", settings.options.lane);
    std::thread::Builder::new().name(name).spawn(move || {
        let mut lane = TrafficLane::new(settings, shared, metrics, clock, gue, hop);
        runtime.block_on(lane.run(channels));
    })
}

/// `TrafficLane` is the state of one traffic thread.
struct TrafficLane {
    settings: LaneSettings,
    shared: Arc<TrafficShared>,
    metrics: Arc<HostMetrics>,
    clock: UnixClock,
    gue: UdpSocket,
    hop: UdpSocket,
    router: FlowRouter,
    installed: Arc<RoutingSnapshot>,
    sealer: FrameSealer,
    opener: FrameOpener,
    notes: Vec<AddressedUpdate>,
    sizes: HashMap<SocketAddrV4, Histogram>,
    scratch: Vec<u8>,
}

impl TrafficLane {
    fn new(
        settings: LaneSettings,
        shared: Arc<TrafficShared>,
        metrics: Arc<HostMetrics>,
        clock: UnixClock,
        gue: UdpSocket,
        hop: UdpSocket,
    ) -> Self {
        let lane = settings.options.lane;
        Self {
            router: FlowRouter::new(settings.me.host, settings.options),
            installed: Arc::new(RoutingSnapshot::default()),
            sealer: FrameSealer::new(settings.me, lane + 1, settings.keys.clone()),
            opener: FrameOpener::new(settings.keys.clone()),
            notes: Vec::new(),
            sizes: HashMap::new(),
            scratch: Vec::with_capacity(MAX_DATAGRAM),
            settings,
            shared,
            metrics,
            clock,
            gue,
            hop,
        }
    }

    async fn run(&mut self, mut channels: LaneChannels) {
        let mut interval = tokio::time::interval(NOTE_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = channels.stop.changed() => break,
                _ = interval.tick() => self.finish_round(&channels),
                command = channels.commands.recv() => match command {
                    Some(command) => self.obey(command),
                    None => break,
                },
                _ = self.gue.readable() => self.read_fabric(&channels),
                _ = self.hop.readable() => self.read_hops(),
            }
        }
    }

    /// Takes over a new snapshot if there is one.
    fn refresh(&mut self) {
        let snapshot = self.shared.routing.load();
        if !Arc::ptr_eq(&snapshot, &self.installed) {
            self.installed = Arc::clone(&snapshot);
            self.router.install(Arc::clone(&snapshot));
            self.sizes = size_histograms(&snapshot, &self.metrics);
        }
        self.router.set_tables_confirmed_at(self.shared.heard.get());
    }

    fn read_fabric(&mut self, channels: &LaneChannels) {
        self.refresh();
        let now = self.clock.now();
        let mut buffer = [0_u8; MAX_DATAGRAM];
        for _ in 0..BATCH {
            let Ok((length, _)) = self.gue.try_recv_from(&mut buffer) else { return };
            self.take_datagram(&buffer[..length], now, channels);
        }
    }

    fn take_datagram(&mut self, datagram: &[u8], now: Duration, channels: &LaneChannels) {
        let Ok(packet) = gue::decapsulate(datagram) else {
            return self.count_malformed();
        };
        match parse_packet(packet) {
            Ok(InnerPacket::Tcp(segment)) => {
                let verdict = self.router.route(&segment, now);
                self.carry_out(verdict, &segment, packet);
            }
            Ok(InnerPacket::Udp(_)) => {
                if channels.requests.try_send(packet.to_vec()).is_err() {
                    self.metrics.overflow.fetch_add(1, Ordering::Relaxed);
                }
            }
            Err(_) => self.count_malformed(),
        }
    }

    fn read_hops(&mut self) {
        self.refresh();
        let now = self.clock.now();
        let mut buffer = [0_u8; MAX_DATAGRAM];
        for _ in 0..BATCH {
            let Ok((length, _)) = self.hop.try_recv_from(&mut buffer) else { return };
            self.take_hop(&buffer[..length], now);
        }
    }

    fn take_hop(&mut self, frame: &[u8], now: Duration) {
        let Ok(opened) = self.opener.open::<PeerMessage>(frame) else {
            self.metrics.refused_frames.fetch_add(1, Ordering::Relaxed);
            return;
        };
        match opened.body {
            PeerMessage::Hop(header) => match parse_packet(opened.trailing_bytes) {
                Ok(InnerPacket::Tcp(segment)) => {
                    let verdict = self.router.route_hop(&header, &segment, now);
                    self.carry_out(verdict, &segment, opened.trailing_bytes);
                }
                Ok(InnerPacket::Udp(_)) | Err(_) => self.count_malformed(),
            },
            PeerMessage::BindingUpdates(notes) => {
                for note in &notes {
                    self.router.apply_update(note, now);
                }
            }
            PeerMessage::Digest(_) | PeerMessage::Request(_) | PeerMessage::Fleet(_) => {
                self.count_malformed();
            }
        }
    }

    fn carry_out(&mut self, verdict: FlowVerdict, segment: &FlowPacket, packet: &[u8]) {
        match verdict {
            FlowVerdict::Tunnel { address, .. } => {
                let to = SocketAddrV4::new(address, self.settings.ports.gue);
                if let Some(sizes) = self.sizes.get(&segment.key.service) {
                    sizes.observe(packet.len() as f64);
                }
                self.send_encapsulated(packet, to);
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

    fn send_encapsulated(&mut self, packet: &[u8], to: SocketAddrV4) {
        self.scratch.clear();
        gue::encapsulate(packet, &mut self.scratch);
        if self.gue.try_send_to(&self.scratch, SocketAddr::V4(to)).is_err() {
            self.metrics.overflow.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn send_hop(&mut self, address: Ipv4Addr, lane: u8, header: &HopHeader, packet: &[u8]) {
        let frame = self.sealer.seal(&PeerMessage::Hop(*header), packet);
        self.metrics.count_bytes(ByteKind::HopSent, frame.len());
        self.send_frame(address, lane, &frame);
    }

    fn send_frame(&self, address: Ipv4Addr, lane: u8, frame: &[u8]) {
        let to = SocketAddr::from((address, self.settings.ports.hop + u16::from(lane)));
        if self.hop.try_send_to(frame, to).is_err() {
            self.metrics.overflow.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends what has gathered since the last round.
    fn finish_round(&mut self, channels: &LaneChannels) {
        self.refresh();
        self.send_notes();
        for transfer in self.router.take_transfers() {
            if channels.transfers.try_send(transfer).is_err() {
                self.metrics.overflow.fetch_add(1, Ordering::Relaxed);
            }
        }
        self.publish_counters();
    }

    fn send_notes(&mut self) {
        self.router.take_updates(&mut self.notes);
        let mut by_peer: HashMap<(HostId, u8), Vec<BindingUpdate>> = HashMap::new();
        for note in self.notes.drain(..) {
            by_peer.entry((note.to, note.lane)).or_default().push(note.update);
        }
        for ((to, lane), notes) in by_peer {
            let Some(address) = self.installed.host_address(to) else { continue };
            for chunk in notes.chunks(NOTES_PER_FRAME) {
                let frame = self.sealer.seal(&PeerMessage::BindingUpdates(chunk.to_vec()), &[]);
                self.metrics.count_bytes(ByteKind::ControlSent, frame.len());
                self.send_frame(address, lane, &frame);
            }
        }
    }

    fn publish_counters(&self) {
        let lane = usize::from(self.settings.options.lane);
        self.metrics.lanes[lane].publish(self.router.counters());
        let held = &self.metrics.held[lane];
        held[0].store(self.router.records().len() as u64, Ordering::Relaxed);
        held[1].store(self.router.exceptions().len() as u64, Ordering::Relaxed);
    }

    fn count_malformed(&self) {
        self.metrics.malformed.fetch_add(1, Ordering::Relaxed);
    }

    fn obey(&mut self, command: LaneCommand) {
        self.refresh();
        match command {
            LaneCommand::MergeRecords(lists) => {
                for list in lists {
                    self.router.merge_records(list.service, &list.records);
                }
            }
            LaneCommand::InstallExceptions(lists) => {
                for list in lists {
                    self.router.install_exceptions(list.service, &list.records);
                }
            }
            LaneCommand::ListExceptions(reply) => {
                let services = self.installed.services.iter().map(|route| route.service);
                let list = |service| ServiceRecordList {
                    service,
                    records: self.router.exceptions_for_sync(service),
                };
                let _gone = reply.send(services.map(list).collect());
            }
            LaneCommand::ListSettled { service, buckets, reply } => {
                let buckets: std::collections::HashSet<BucketIndex> = buckets.into_iter().collect();
                let records =
                    self.router.deviating_records(service, &|bucket| buckets.contains(&bucket));
                let generation = self.installed.generation;
                let _gone = reply.send(LaneRecords { generation, records });
            }
            LaneCommand::ListRecords { host, reply } => {
                let services = self.router.records().services();
                let list = |service| ServiceRecordList {
                    service,
                    records: self.router.records_for_host(host, service),
                };
                let _gone = reply.send(services.into_iter().map(list).collect());
            }
        }
    }
}

/// Returns the size histogram of each service's tenant, so that packets need no look-up by name.
fn size_histograms(
    snapshot: &RoutingSnapshot,
    metrics: &HostMetrics,
) -> HashMap<SocketAddrV4, Histogram> {
    let histogram = |tenant: &str| {
        let labels = TrafficLabels { tenant: tenant.to_owned(), class: "flow".to_owned() };
        metrics.packet_bytes.get_or_create_owned(&labels)
    };
    let addresses = snapshot.service_indexes.iter();
    addresses.map(|(address, at)| (*address, histogram(&snapshot.services[*at].tenant))).collect()
}
