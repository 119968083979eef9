//! Callers that send requests and check that each answer is whole and their own.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType};
use mustardgrade_node::traffic::bind_udp;
use mustardgrade_wire::coap::{ECHO_OPTION, TIMEOUT_OPTION};
use mustardgrade_wire::gue;
use mustardgrade_wire::inner::{InnerPacket, build_udp_packet, parse_packet};
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::upstream::{archive_content, read_uint, write_uint};

/// Time between two looks at timers.
const POLL: Duration = Duration::from_millis(5);

/// Time after which an unanswered request is sent again.
const RETRANSMIT: Duration = Duration::from_millis(700);

/// Patience of a caller.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// Time after the deadline at which a caller without a final word gives up.
const SILENCE: Duration = Duration::from_secs(1);

/// Size of a block (RFC 7959).
const BLOCK_BYTES: usize = 512;

/// Largest datagram.
const MAX_DATAGRAM: usize = 65_536;

/// `RequestCallerSettings` describe a group of request callers.
#[derive(Debug, Clone)]
pub struct RequestCallerSettings {
    /// Address and port that the callers send from within their packets.
    pub caller: SocketAddrV4,
    /// Socket address of the group towards the fabric.
    pub socket: SocketAddrV4,
    /// The fabric.
    pub fabric: SocketAddrV4,
    /// Service for registrations, which may run once.
    pub registrations: SocketAddrV4,
    /// Service for downloads, which are long.
    pub archive: SocketAddrV4,
    /// Time between two new requests.
    pub interval: Duration,
}

/// `RequestReport` is what the callers saw.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RequestReport {
    /// Requests started; a download of several blocks counts once.
    pub started: u64,
    /// Requests answered rightly.
    pub right: u64,
    /// Answers that were wrong, crossed or mixed.
    pub wrong: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests without a final word.
    pub silent: u64,
    /// Payloads of registrations that were refused as not run.
    #[serde(skip)]
    pub refused: Vec<Vec<u8>>,
    /// Payloads of registrations that were answered.
    #[serde(skip)]
    pub confirmed: Vec<Vec<u8>>,
}

/// `RequestCallers` is a handle on running callers; they stop when it is dropped.
#[derive(Debug)]
pub struct RequestCallers {
    report: Arc<Mutex<RequestReport>>,
    paused: watch::Sender<bool>,
}

impl RequestCallers {
    /// Returns what the callers saw so far.
    ///
    /// # Panics
    ///
    /// Panics if the callers' task has panicked.
    #[must_use]
    pub fn report(&self) -> RequestReport {
        self.report.lock().expect("the callers' task does not panic").clone()
    }

    /// Starts no further requests.
    pub fn pause(&self) {
        self.paused.send_replace(true);
    }
}

/// Starts a group of callers.
///
/// # Errors
///
/// Fails if the socket cannot be bound.
pub fn start_request_callers(settings: RequestCallerSettings) -> std::io::Result<RequestCallers> {
    let socket = bind_udp(*settings.socket.ip(), settings.socket.port())?;
    let report = Arc::new(Mutex::new(RequestReport::default()));
    let (paused, paused_seen) = watch::channel(false);
    let task = RequestTask {
        settings,
        socket,
        open: HashMap::new(),
        report: RequestReport::default(),
        shared: Arc::clone(&report),
        next_token: rand::random::<u32>(),
        next_message_id: rand::random::<u16>(),
        last_start: Instant::now(),
    };
    tokio::spawn(task.run(paused_seen));
    Ok(RequestCallers { report, paused })
}

/// `RequestKind` is what a caller wants.
#[derive(Debug, Clone)]
enum RequestKind {
    Registration { payload: Vec<u8>, ticket: Option<Vec<u8>> },
    Download { path: Vec<u8>, received: Vec<u8>, etag: Option<Vec<u8>> },
}

/// `OpenRequest` is a request without a final word.
#[derive(Debug)]
struct OpenRequest {
    kind: RequestKind,
    message_id: u16,
    sent: Instant,
    deadline: Instant,
}

/// `RequestTask` sends requests until its handle is dropped.
struct RequestTask {
    settings: RequestCallerSettings,
    socket: UdpSocket,
    open: HashMap<u32, OpenRequest>,
    report: RequestReport,
    shared: Arc<Mutex<RequestReport>>,
    next_token: u32,
    next_message_id: u16,
    last_start: Instant,
}

impl RequestTask {
    async fn run(mut self, mut paused: watch::Receiver<bool>) {
        let mut interval = tokio::time::interval(POLL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            tokio::select! {
                changed = paused.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                _ = self.socket.readable() => self.read(&mut buffer),
                _ = interval.tick() => {
                    if !*paused.borrow() {
                        self.start_due();
                    }
                    self.check_open();
                    self.publish();
                }
            }
        }
    }

    fn start_due(&mut self) {
        if self.last_start.elapsed() < self.settings.interval {
            return;
        }
        self.last_start = Instant::now();
        self.report.started += 1;
        self.next_token = self.next_token.wrapping_add(1);
        let token = self.next_token;
        let kind = match token % 2 {
            0 => {
                let payload = format!("team {} {token}", self.settings.caller).into_bytes();
                RequestKind::Registration { payload, ticket: None }
            }
            _ => RequestKind::Download {
                path: format!("draw-{}", token % 7).into_bytes(),
                received: Vec::new(),
                etag: None,
            },
        };
        let deadline = Instant::now() + PATIENCE;
        let open = OpenRequest { kind, message_id: 0, sent: Instant::now(), deadline };
        self.open.insert(token, open);
        self.send_new(token);
    }

    /// Sends the next message of a request, under a new message id.
    fn send_new(&mut self, token: u32) {
        self.next_message_id = self.next_message_id.wrapping_add(1);
        if let Some(open) = self.open.get_mut(&token) {
            open.message_id = self.next_message_id;
        }
        self.send(token);
    }

    fn send(&mut self, token: u32) {
        let Some(open) = self.open.get_mut(&token) else { return };
        open.sent = Instant::now();
        let patience = open.deadline.saturating_duration_since(open.sent);
        let mut packet = Packet::new();
        packet.header.set_type(MessageType::Confirmable);
        packet.header.message_id = open.message_id;
        packet.set_token(token.to_be_bytes().to_vec());
        packet.add_option(TIMEOUT_OPTION, write_uint(patience.as_millis() as u32));
        let service = match &open.kind {
            RequestKind::Registration { payload, ticket } => {
                packet.header.code = MessageClass::Request(RequestType::Post);
                packet.add_option(CoapOption::UriPath, b"teams".to_vec());
                packet.payload = payload.clone();
                if let Some(ticket) = ticket {
                    packet.add_option(ECHO_OPTION, ticket.clone());
                }
                self.settings.registrations
            }
            RequestKind::Download { path, received, .. } => {
                packet.header.code = MessageClass::Request(RequestType::Get);
                packet.add_option(CoapOption::UriPath, path.clone());
                let number = (received.len() / BLOCK_BYTES) as u32;
                packet.add_option(CoapOption::Block2, write_uint((number << 4) | 5));
                self.settings.archive
            }
        };
        let Ok(payload) = packet.to_bytes_unlimited() else { return };
        let inner = build_udp_packet(self.settings.caller, service, &payload);
        let mut datagram = Vec::with_capacity(inner.len() + gue::HEADER_BYTES);
        gue::encapsulate(&inner, &mut datagram);
        let _sent = self.socket.try_send_to(&datagram, SocketAddr::V4(self.settings.fabric));
    }

    fn read(&mut self, buffer: &mut [u8]) {
        while let Ok((length, _)) = self.socket.try_recv_from(buffer) {
            let packet = gue::decapsulate(&buffer[..length]).ok();
            let Some(Ok(InnerPacket::Udp(datagram))) = packet.map(parse_packet) else { continue };
            if let Ok(message) = Packet::from_bytes(datagram.payload) {
                self.take(&message, datagram.source);
            }
        }
    }

    fn take(&mut self, message: &Packet, from: SocketAddrV4) {
        let Ok(token) = <[u8; 4]>::try_from(message.get_token()) else { return };
        let token = u32::from_be_bytes(token);
        let Some(open) = self.open.get(&token) else { return };
        // A late answer to an earlier message of the same request is ignored.
        if open.message_id != message.header.message_id {
            return;
        }
        let expected = match open.kind {
            RequestKind::Registration { .. } => self.settings.registrations,
            RequestKind::Download { .. } => self.settings.archive,
        };
        if from != expected {
            self.report.wrong += 1;
            return;
        }
        match message.header.code {
            MessageClass::Response(ResponseType::Unauthorized) => self.take_ticket(token, message),
            MessageClass::Response(ResponseType::ServiceUnavailable) => {
                self.report.not_run += 1;
                if let Some(RequestKind::Registration { payload, .. }) = self.end(token) {
                    self.report.refused.push(payload);
                }
            }
            MessageClass::Response(ResponseType::GatewayTimeout) => {
                self.report.unknown += 1;
                self.end(token);
            }
            MessageClass::Response(ResponseType::Content) => self.take_block(token, message),
            MessageClass::Response(ResponseType::Changed) => self.take_change(token, message),
            _ => {
                self.report.wrong += 1;
                self.end(token);
            }
        }
    }

    fn take_ticket(&mut self, token: u32, message: &Packet) {
        let given = message.get_first_option(ECHO_OPTION).cloned();
        if let Some(OpenRequest { kind: RequestKind::Registration { ticket, .. }, .. }) =
            self.open.get_mut(&token)
        {
            *ticket = given;
            self.send_new(token);
        }
    }

    fn take_change(&mut self, token: u32, message: &Packet) {
        let Some(RequestKind::Registration { payload, .. }) = self.end(token) else {
            self.report.wrong += 1;
            return;
        };
        match message.payload.ends_with(&payload) {
            true => {
                self.report.right += 1;
                self.report.confirmed.push(payload);
            }
            false => self.report.wrong += 1,
        }
    }

    fn take_block(&mut self, token: u32, message: &Packet) {
        let Some(open) = self.open.get_mut(&token) else { return };
        let RequestKind::Download { path, received, etag } = &mut open.kind else {
            self.report.wrong += 1;
            self.end(token);
            return;
        };
        let block = message.get_first_option(CoapOption::Block2).map_or(0, |v| read_uint(v));
        let tag = message.get_first_option(CoapOption::ETag).cloned();
        let in_order = (block >> 4) as usize * BLOCK_BYTES == received.len();
        let same_version = etag.is_none() || *etag == tag;
        if !in_order || !same_version {
            self.report.wrong += 1;
            self.end(token);
            return;
        }
        *etag = tag;
        received.extend_from_slice(&message.payload);
        if block & 8 != 0 {
            return self.send_new(token);
        }
        let whole = *received == archive_content(path);
        self.report.right += u64::from(whole);
        self.report.wrong += u64::from(!whole);
        self.end(token);
    }

    fn end(&mut self, token: u32) -> Option<RequestKind> {
        self.open.remove(&token).map(|open| open.kind)
    }

    fn check_open(&mut self) {
        let now = Instant::now();
        let silent: Vec<u32> = self
            .open
            .iter()
            .filter(|(_, open)| now > open.deadline + SILENCE)
            .map(|(token, _)| *token)
            .collect();
        for token in silent {
            self.report.silent += 1;
            self.end(token);
        }
        let due: Vec<u32> = self
            .open
            .iter()
            .filter(|(_, open)| now > open.sent + RETRANSMIT && now < open.deadline)
            .map(|(token, _)| *token)
            .collect();
        for token in due {
            self.send(token);
        }
    }

    fn publish(&self) {
        if let Ok(mut shared) = self.shared.lock() {
            shared.clone_from(&self.report);
        }
    }
}

/// Returns the address of caller group `index`.
#[must_use]
pub fn caller_address(index: u8) -> Ipv4Addr {
    // Addresses for documentation (RFC 5737): packets carry them only inside the encapsulation.
    Ipv4Addr::new(198, 51, 100, index)
}
