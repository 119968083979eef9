//! Event loop of the request thread.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use mustardgrade_core::clock::Clock;
use mustardgrade_core::identity::{HostIncarnation, UpstreamId};
use mustardgrade_core::request::{
    CallerReply, RequestId, RequestInput, RequestOptions, RequestOutput, RequestPeerMessage,
    RequestRouter, RequestSnapshot,
};
use mustardgrade_core::rule::RuleSet;
use mustardgrade_wire::coap::{
    decode_caller_request, decode_upstream_reply, encode_caller_reply, encode_cancellation,
    encode_upstream_request,
};
use mustardgrade_wire::gue;
use mustardgrade_wire::inner::{InnerPacket, build_udp_packet, parse_packet};
use mustardgrade_wire::peer::{FleetKeys, FrameOpener, FrameSealer, PeerMessage};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use crate::clock::UnixClock;
use crate::metrics::{HostMetrics, RequestLabels, RequestOutcomeLabel, SentByteKind};
use crate::settings::PortSettings;
use crate::traffic::{SharedTrafficState, bind_udp};

/// Maximum number of datagrams read from a socket before other events are handled.
const MAX_DATAGRAMS_PER_READ: usize = 64;

/// Maximum size of a UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Interval between two ticks of the router, which checks deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Frame channel of the messages that this thread sends to other hosts.
const PEER_CHANNEL: u8 = 100;

/// `RequestSettings` are the settings of the request thread.
#[derive(Debug, Clone)]
pub struct RequestSettings {
    /// Identity of the local host in its current run.
    pub local_incarnation: HostIncarnation,
    /// Address of the local host.
    pub address: Ipv4Addr,
    /// Address and port of the fabric to which packets for callers are sent.
    pub fabric_return: SocketAddrV4,
    /// Ports of hosts and upstreams.
    pub ports: PortSettings,
    /// Keys with which frames between hosts are sealed.
    pub keys: FleetKeys,
    /// Settings of the request router.
    pub options: RequestOptions,
}

/// `RequestChannels` connect the request thread to the other threads of the host.
#[derive(Debug)]
pub struct RequestChannels {
    /// Packets that carry requests, from the traffic threads.
    pub packets: mpsc::Receiver<Vec<u8>>,
    /// Rules in force, for metric labels.
    pub rules: watch::Receiver<Arc<RuleSet>>,
    /// Becomes true when the host starts to leave.
    pub leave_requested: watch::Receiver<bool>,
    /// Set to true when the host is leaving and its router has no request in flight or waiting.
    pub is_idle: watch::Sender<bool>,
    /// Becomes true when the thread must end.
    pub stop_requested: watch::Receiver<bool>,
}

/// Starts the request thread; its sockets are bound before this returns.
///
/// # Errors
///
/// Fails if a socket cannot be bound or the thread cannot be started.
pub fn spawn_request_thread(
    settings: RequestSettings,
    traffic_state: Arc<SharedTrafficState>,
    metrics: Arc<HostMetrics>,
    clock: UnixClock,
    channels: RequestChannels,
) -> std::io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let runtime_guard = runtime.enter();
    let upstream_socket = bind_udp(settings.address, settings.ports.exchange)?;
    let peer_socket = bind_udp(settings.address, settings.ports.keeper)?;
    drop(runtime_guard);
    std::thread::Builder::new().name("requests".to_owned()).spawn(move || {
        let mut thread = RequestThread {
            router: RequestRouter::new(settings.options.clone()),
            installed_snapshot: Arc::new(RequestSnapshot::default()),
            sealer: FrameSealer::new(
                settings.local_incarnation,
                PEER_CHANNEL,
                settings.keys.clone(),
            ),
            opener: FrameOpener::new(settings.keys.clone()),
            received_at: HashMap::new(),
            buffer: vec![0; MAX_DATAGRAM_BYTES],
            settings,
            traffic_state,
            metrics,
            clock,
            upstream_socket,
            peer_socket,
        };
        runtime.block_on(thread.run(channels));
    })
}

/// `RequestThread` holds the router, sockets and metrics of the request thread.
struct RequestThread {
    settings: RequestSettings,
    traffic_state: Arc<SharedTrafficState>,
    metrics: Arc<HostMetrics>,
    clock: UnixClock,
    upstream_socket: UdpSocket,
    peer_socket: UdpSocket,
    router: RequestRouter,
    installed_snapshot: Arc<RequestSnapshot>,
    sealer: FrameSealer,
    opener: FrameOpener,
    received_at: HashMap<RequestId, Duration>,
    buffer: Vec<u8>,
}

impl RequestThread {
    async fn run(&mut self, mut channels: RequestChannels) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = channels.stop_requested.changed() => break,
                _ = interval.tick() => self.tick(&channels),
                _ = channels.leave_requested.changed() => {
                    self.handle_input(RequestInput::Leave, &channels)
                }
                packet = channels.packets.recv() => match packet {
                    Some(packet) => self.handle_packet(&packet, &channels),
                    None => break,
                },
                _ = self.upstream_socket.readable() => self.read_upstream_replies(&channels),
                _ = self.peer_socket.readable() => self.read_peer_messages(&channels),
            }
        }
    }

    fn refresh_snapshot(&mut self) {
        let snapshot = self.traffic_state.request_snapshot.load();
        if !Arc::ptr_eq(&snapshot, &self.installed_snapshot) {
            self.installed_snapshot = Arc::clone(&snapshot);
            self.router.install(Arc::clone(&snapshot));
        }
    }

    fn tick(&mut self, channels: &RequestChannels) {
        self.handle_input(RequestInput::Tick, channels);
        self.metrics.request_counters.publish(self.router.counters());
        let now = self.clock.now();
        // Requests that are still listed after this time were answered by another host.
        self.received_at.retain(|_, received_at| now < *received_at + Duration::from_secs(60));
        if *channels.leave_requested.borrow() && self.router.is_idle() {
            channels.is_idle.send_replace(true);
        }
    }

    fn handle_packet(&mut self, packet: &[u8], channels: &RequestChannels) {
        let Ok(InnerPacket::Udp(datagram)) = parse_packet(packet) else {
            return self.count_malformed();
        };
        let request =
            decode_caller_request(datagram.source, datagram.destination, datagram.payload);
        match request {
            Ok(request) => {
                let now = self.clock.now();
                self.received_at.entry(request.id.clone()).or_insert(now);
                self.handle_input(RequestInput::Caller(request), channels);
            }
            Err(_) => self.count_malformed(),
        }
    }

    fn read_upstream_replies(&mut self, channels: &RequestChannels) {
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            let Ok((length, source)) = self.upstream_socket.try_recv_from(&mut self.buffer) else {
                return;
            };
            let message = decode_upstream_reply(&self.buffer[..length]);
            match (message, self.upstream_at(source)) {
                (Ok(message), Some(upstream)) => {
                    let exchange_id = message.exchange_id;
                    let reply = message.reply;
                    self.handle_input(
                        RequestInput::Upstream { upstream, exchange_id, reply },
                        channels,
                    );
                }
                (Ok(_) | Err(_), _) => self.count_malformed(),
            }
        }
    }

    fn upstream_at(&self, source: SocketAddr) -> Option<UpstreamId> {
        let upstreams =
            self.installed_snapshot.services.values().flat_map(|service| &service.upstreams);
        let SocketAddr::V4(source) = source else { return None };
        let is_sender = |address: Ipv4Addr| {
            address == *source.ip() && source.port() == self.settings.ports.coap
        };
        upstreams
            .into_iter()
            .find(|upstream| is_sender(upstream.address))
            .map(|upstream| upstream.id)
    }

    fn read_peer_messages(&mut self, channels: &RequestChannels) {
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            let Ok((length, _)) = self.peer_socket.try_recv_from(&mut self.buffer) else { return };
            let opened = self.opener.open::<PeerMessage>(&self.buffer[..length]);
            match opened.map(|frame| frame.body) {
                Ok(PeerMessage::Request(message)) => {
                    self.handle_input(RequestInput::Peer(message), channels);
                }
                Ok(
                    PeerMessage::Digest(_)
                    | PeerMessage::Hop(_)
                    | PeerMessage::BindingUpdates(_)
                    | PeerMessage::Fleet(_),
                )
                | Err(_) => {
                    self.metrics.refused_frames.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    fn handle_input(&mut self, input: RequestInput, channels: &RequestChannels) {
        self.refresh_snapshot();
        let mut outputs = Vec::new();
        self.router.handle(input, self.clock.now(), &mut outputs);
        for output in outputs {
            self.perform_output(output, channels);
        }
    }

    fn perform_output(&mut self, output: RequestOutput, channels: &RequestChannels) {
        match output {
            RequestOutput::ReplyToCaller { id, service_address, reply } => {
                self.record_outcome(&id, service_address, &reply, channels);
                self.send_reply(&id, service_address, &reply);
            }
            RequestOutput::Dispatch { address, exchange_id, timeout, encoded_request, .. } => {
                match encode_upstream_request(&encoded_request, exchange_id, timeout) {
                    Ok(datagram) => self.send_upstream(address, &datagram),
                    Err(_) => self.count_malformed(),
                }
            }
            RequestOutput::Cancel { address, exchange_id, .. } => {
                self.send_upstream(address, &encode_cancellation(exchange_id));
            }
            RequestOutput::SendToPeer { address, message, .. } => {
                self.send_peer_message(address, message)
            }
        }
    }

    fn record_outcome(
        &mut self,
        id: &RequestId,
        service_address: SocketAddrV4,
        reply: &CallerReply,
        channels: &RequestChannels,
    ) {
        let Some(received_at) = self.received_at.remove(id) else { return };
        let rules = channels.rules.borrow();
        let Some(service) = rules.service_at(service_address) else { return };
        let outcome = match reply {
            CallerReply::Response(_) => RequestOutcomeLabel::answered,
            CallerReply::NotRun { .. } => RequestOutcomeLabel::not_run,
            CallerReply::Busy { .. } => RequestOutcomeLabel::busy,
            CallerReply::OutcomeUnknown => RequestOutcomeLabel::unknown,
            CallerReply::Challenge(_) => RequestOutcomeLabel::challenged,
            CallerReply::InvalidRequest => RequestOutcomeLabel::invalid,
        };
        let labels = RequestLabels {
            tenant: service.customer.clone(),
            class: service.class.to_string(),
            outcome,
        };
        let duration = self.clock.now().saturating_sub(received_at);
        self.metrics.observe_request(&labels, duration);
    }

    fn send_reply(&mut self, id: &RequestId, service_address: SocketAddrV4, reply: &CallerReply) {
        let Ok(payload) = encode_caller_reply(id, reply) else {
            return self.count_malformed();
        };
        let packet = build_udp_packet(service_address, id.caller, &payload);
        let mut datagram = Vec::with_capacity(packet.len() + gue::HEADER_BYTES);
        gue::encapsulate(&packet, &mut datagram);
        let destination = SocketAddr::V4(self.settings.fabric_return);
        self.count_send_result(self.upstream_socket.try_send_to(&datagram, destination).is_ok());
    }

    fn send_upstream(&self, address: Ipv4Addr, datagram: &[u8]) {
        let destination = SocketAddr::from((address, self.settings.ports.coap));
        self.count_send_result(self.upstream_socket.try_send_to(datagram, destination).is_ok());
    }

    fn send_peer_message(&mut self, address: Ipv4Addr, message: RequestPeerMessage) {
        let is_control = !matches!(message, RequestPeerMessage::Forward(_));
        let frame = self.sealer.seal(&PeerMessage::Request(message), &[]);
        let kind = if is_control { SentByteKind::Control } else { SentByteKind::Hop };
        self.metrics.add_sent_bytes(kind, frame.len());
        let destination = SocketAddr::from((address, self.settings.ports.keeper));
        self.count_send_result(self.peer_socket.try_send_to(&frame, destination).is_ok());
    }

    fn count_send_result(&self, is_sent: bool) {
        self.metrics.overflows.fetch_add(u64::from(!is_sent), Ordering::Relaxed);
    }

    fn count_malformed(&self) {
        self.metrics.malformed_datagrams.fetch_add(1, Ordering::Relaxed);
    }
}
