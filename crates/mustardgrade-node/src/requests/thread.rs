//! The request thread of a host.

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
use crate::metrics::{ByteKind, HostMetrics, RequestLabels, RequestWord};
use crate::settings::PortSettings;
use crate::traffic::{TrafficShared, bind_udp};

/// Datagrams that are read before the thread looks at anything else.
const BATCH: usize = 64;

/// Largest UDP datagram.
const MAX_DATAGRAM: usize = 65_536;

/// Time between two looks at deadlines.
const TICK: Duration = Duration::from_millis(10);

/// Channel number of this thread's frames.
const KEEPER_CHANNEL: u8 = 100;

/// `RequestSettings` are the settings of the request thread.
#[derive(Debug, Clone)]
pub struct RequestSettings {
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
    pub options: RequestOptions,
}

/// `RequestChannels` connect the request thread to the others.
#[derive(Debug)]
pub struct RequestChannels {
    /// Packets with requests from the traffic threads.
    pub packets: mpsc::Receiver<Vec<u8>>,
    /// The rules in force, for metric labels.
    pub rules: watch::Receiver<Arc<RuleSet>>,
    /// Turns true when the host leaves.
    pub leave: watch::Receiver<bool>,
    /// Is set to true when nothing runs here any more after leaving.
    pub idle: watch::Sender<bool>,
    /// Turns true when the thread shall end.
    pub stop: watch::Receiver<bool>,
}

/// Starts the request thread; its sockets are bound before this returns.
///
/// # Errors
///
/// Fails if a socket cannot be bound or the thread cannot be started.
pub fn spawn_requests(
    settings: RequestSettings,
    shared: Arc<TrafficShared>,
    metrics: Arc<HostMetrics>,
    clock: UnixClock,
    channels: RequestChannels,
) -> std::io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let entered = runtime.enter();
    let exchange = bind_udp(settings.address, settings.ports.exchange)?;
    let keeper = bind_udp(settings.address, settings.ports.keeper)?;
    drop(entered);
    std::thread::Builder::new().name("requests".to_owned()).spawn(move || {
        let mut thread = RequestThread {
            router: RequestRouter::new(settings.options.clone()),
            installed: Arc::new(RequestSnapshot::default()),
            sealer: FrameSealer::new(settings.me, KEEPER_CHANNEL, settings.keys.clone()),
            opener: FrameOpener::new(settings.keys.clone()),
            received: HashMap::new(),
            buffer: vec![0; MAX_DATAGRAM],
            settings,
            shared,
            metrics,
            clock,
            exchange,
            keeper,
        };
        runtime.block_on(thread.run(channels));
    })
}

/// `RequestThread` is the state of the request thread.
struct RequestThread {
    settings: RequestSettings,
    shared: Arc<TrafficShared>,
    metrics: Arc<HostMetrics>,
    clock: UnixClock,
    exchange: UdpSocket,
    keeper: UdpSocket,
    router: RequestRouter,
    installed: Arc<RequestSnapshot>,
    sealer: FrameSealer,
    opener: FrameOpener,
    received: HashMap<RequestId, Duration>,
    buffer: Vec<u8>,
}

impl RequestThread {
    async fn run(&mut self, mut channels: RequestChannels) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = channels.stop.changed() => break,
                _ = interval.tick() => self.tick(&channels),
                _ = channels.leave.changed() => self.decide(RequestInput::Leave, &channels),
                packet = channels.packets.recv() => match packet {
                    Some(packet) => self.take_packet(&packet, &channels),
                    None => break,
                },
                _ = self.exchange.readable() => self.read_exchanges(&channels),
                _ = self.keeper.readable() => self.read_keepers(&channels),
            }
        }
    }

    fn refresh(&mut self) {
        let snapshot = self.shared.requests.load();
        if !Arc::ptr_eq(&snapshot, &self.installed) {
            self.installed = Arc::clone(&snapshot);
            self.router.install(Arc::clone(&snapshot));
        }
    }

    fn tick(&mut self, channels: &RequestChannels) {
        self.decide(RequestInput::Tick, channels);
        self.metrics.requests.publish(self.router.counters());
        let now = self.clock.now();
        // Requests without a final word here got theirs from another host.
        self.received.retain(|_, since| now < *since + Duration::from_secs(60));
        if *channels.leave.borrow() && self.router.is_idle() {
            channels.idle.send_replace(true);
        }
    }

    fn take_packet(&mut self, packet: &[u8], channels: &RequestChannels) {
        let Ok(InnerPacket::Udp(datagram)) = parse_packet(packet) else {
            return self.count_malformed();
        };
        let request =
            decode_caller_request(datagram.source, datagram.destination, datagram.payload);
        match request {
            Ok(request) => {
                let now = self.clock.now();
                self.received.entry(request.id.clone()).or_insert(now);
                self.decide(RequestInput::Caller(request), channels);
            }
            Err(_) => self.count_malformed(),
        }
    }

    fn read_exchanges(&mut self, channels: &RequestChannels) {
        for _ in 0..BATCH {
            let Ok((length, from)) = self.exchange.try_recv_from(&mut self.buffer) else { return };
            let message = decode_upstream_reply(&self.buffer[..length]);
            match (message, self.upstream_at(from)) {
                (Ok(message), Some(upstream)) => {
                    let exchange_id = message.exchange_id;
                    let reply = message.reply;
                    self.decide(RequestInput::Upstream { upstream, exchange_id, reply }, channels);
                }
                (Ok(_) | Err(_), _) => self.count_malformed(),
            }
        }
    }

    fn upstream_at(&self, from: SocketAddr) -> Option<UpstreamId> {
        let all = self.installed.services.values().flat_map(|service| &service.upstreams);
        let SocketAddr::V4(from) = from else { return None };
        let known =
            |address: Ipv4Addr| address == *from.ip() && from.port() == self.settings.ports.coap;
        all.into_iter().find(|kept| known(kept.address)).map(|kept| kept.id)
    }

    fn read_keepers(&mut self, channels: &RequestChannels) {
        for _ in 0..BATCH {
            let Ok((length, _)) = self.keeper.try_recv_from(&mut self.buffer) else { return };
            let opened = self.opener.open::<PeerMessage>(&self.buffer[..length]);
            match opened.map(|frame| frame.body) {
                Ok(PeerMessage::Request(message)) => {
                    self.decide(RequestInput::Peer(message), channels);
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

    fn decide(&mut self, input: RequestInput, channels: &RequestChannels) {
        self.refresh();
        let mut outputs = Vec::new();
        self.router.handle(input, self.clock.now(), &mut outputs);
        for output in outputs {
            self.carry_out(output, channels);
        }
    }

    fn carry_out(&mut self, output: RequestOutput, channels: &RequestChannels) {
        match output {
            RequestOutput::ReplyToCaller { id, service_address, reply } => {
                self.observe(&id, service_address, &reply, channels);
                self.send_answer(&id, service_address, &reply);
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
                self.send_keeper(address, message)
            }
        }
    }

    fn observe(
        &mut self,
        id: &RequestId,
        service: SocketAddrV4,
        reply: &CallerReply,
        channels: &RequestChannels,
    ) {
        let Some(since) = self.received.remove(id) else { return };
        let rules = channels.rules.borrow();
        let Some(rule) = rules.service_at(service) else { return };
        let outcome = match reply {
            CallerReply::Response(_) => RequestWord::answered,
            CallerReply::NotRun { .. } => RequestWord::not_run,
            CallerReply::Busy { .. } => RequestWord::busy,
            CallerReply::OutcomeUnknown => RequestWord::unknown,
            CallerReply::Challenge(_) => RequestWord::challenged,
            CallerReply::InvalidRequest => RequestWord::invalid,
        };
        let labels =
            RequestLabels { tenant: rule.tenant.clone(), class: rule.class.to_string(), outcome };
        let took = self.clock.now().saturating_sub(since);
        self.metrics.observe_request(&labels, took);
    }

    fn send_answer(&mut self, id: &RequestId, service: SocketAddrV4, reply: &CallerReply) {
        let Ok(payload) = encode_caller_reply(id, reply) else {
            return self.count_malformed();
        };
        let packet = build_udp_packet(service, id.caller, &payload);
        let mut datagram = Vec::with_capacity(packet.len() + gue::HEADER_BYTES);
        gue::encapsulate(&packet, &mut datagram);
        let to = SocketAddr::V4(self.settings.fabric_return);
        self.count_sent(self.exchange.try_send_to(&datagram, to).is_ok());
    }

    fn send_upstream(&self, address: Ipv4Addr, datagram: &[u8]) {
        let to = SocketAddr::from((address, self.settings.ports.coap));
        self.count_sent(self.exchange.try_send_to(datagram, to).is_ok());
    }

    fn send_keeper(&mut self, address: Ipv4Addr, message: RequestPeerMessage) {
        let is_control = !matches!(message, RequestPeerMessage::Forward(_));
        let frame = self.sealer.seal(&PeerMessage::Request(message), &[]);
        let kind = if is_control { ByteKind::ControlSent } else { ByteKind::HopSent };
        self.metrics.count_bytes(kind, frame.len());
        let to = SocketAddr::from((address, self.settings.ports.keeper));
        self.count_sent(self.keeper.try_send_to(&frame, to).is_ok());
    }

    fn count_sent(&self, sent: bool) {
        self.metrics.overflow.fetch_add(u64::from(!sent), Ordering::Relaxed);
    }

    fn count_malformed(&self) {
        self.metrics.malformed.fetch_add(1, Ordering::Relaxed);
    }
}
