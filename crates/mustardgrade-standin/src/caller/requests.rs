//! Callers that send requests, and check that each answer is complete and belongs to the request.

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

use crate::task_loop::{TaskEvent, TaskLoop};
use crate::upstream::{decode_uint_option, download_content, encode_uint_option};

/// Interval at which a group checks whether a new request, a retransmission or a timeout is due.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time after which a message without a response is retransmitted.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time from the start of a request to its deadline, which also applies to the later messages of a
/// request that takes several.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after the deadline for which a caller still waits for a final response.
const FINAL_RESPONSE_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Size of a block of a download (RFC 7959).
const BLOCK_BYTES: usize = 512;

/// Size of the receive buffer; no UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// `RequestCallerSettings` configure a group of callers that share one socket.
#[derive(Debug, Clone)]
pub struct RequestCallerSettings {
    /// Source address and port of the encapsulated datagrams.
    pub source_address: SocketAddrV4,
    /// Address that the UDP socket of the group binds.
    pub bind_address: SocketAddrV4,
    /// Address of the fabric, which receives the encapsulated packets.
    pub fabric_address: SocketAddrV4,
    /// Address of the service for registrations, which must be executed at most once.
    pub registration_service: SocketAddrV4,
    /// Address of the service for downloads, which take several blocks.
    pub download_service: SocketAddrV4,
    /// Interval between the starts of two requests.
    pub request_interval: Duration,
}

/// `RequestReport` holds the counters of a group of request callers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RequestReport {
    /// Requests started; a download of several blocks counts once.
    pub started: u64,
    /// Requests that were answered correctly and completely.
    pub right: u64,
    /// Answers with wrong content or an unexpected code, from the wrong service, or with a block of
    /// another version or out of order.
    pub wrong: u64,
    /// Requests that were refused as not executed (5.03).
    pub not_run: u64,
    /// Requests whose outcome was reported as unknown (5.04).
    pub unknown: u64,
    /// Requests that got no final response.
    pub silent: u64,
    /// Payloads of the registrations that were refused as not executed.
    #[serde(skip)]
    pub refused_payloads: Vec<Vec<u8>>,
    /// Payloads of the registrations that were answered correctly.
    #[serde(skip)]
    pub confirmed_payloads: Vec<Vec<u8>>,
}

/// `RequestCallers` is the handle of a running group of callers, which stops when it is dropped.
#[derive(Debug)]
pub struct RequestCallers {
    report: Arc<Mutex<RequestReport>>,
    pause_sender: watch::Sender<bool>,
}

impl RequestCallers {
    /// Returns the report as of the last poll.
    ///
    /// # Panics
    ///
    /// Panics if the callers' task has panicked while it updated the report.
    #[must_use]
    pub fn report(&self) -> RequestReport {
        self.report.lock().expect("the callers' task does not panic").clone()
    }

    /// Stops starting requests; open ones are still completed.
    pub fn pause(&self) {
        self.pause_sender.send_replace(true);
    }
}

/// Starts a group of callers as a task of the current Tokio runtime.
///
/// # Errors
///
/// Returns an error if the socket cannot be bound.
pub fn start_request_callers(settings: RequestCallerSettings) -> std::io::Result<RequestCallers> {
    let socket = bind_udp(*settings.bind_address.ip(), settings.bind_address.port())?;
    let report = Arc::new(Mutex::new(RequestReport::default()));
    let (pause_sender, pause_receiver) = watch::channel(false);
    let task = RequestCallerTask {
        settings,
        socket,
        open_requests: HashMap::new(),
        report: RequestReport::default(),
        published_report: Arc::clone(&report),
        last_token: rand::random::<u32>(),
        last_message_id: rand::random::<u16>(),
        last_started_at: Instant::now(),
    };
    tokio::spawn(task.run(pause_receiver));
    Ok(RequestCallers { report, pause_sender })
}

/// `RequestKind` is the type of a request with its progress.
#[derive(Debug, Clone)]
enum RequestKind {
    Registration { payload: Vec<u8>, ticket: Option<Vec<u8>> },
    Download { path: Vec<u8>, received: Vec<u8>, etag: Option<Vec<u8>> },
}

/// `OpenRequest` is a request that has got no final response yet.
#[derive(Debug)]
struct OpenRequest {
    kind: RequestKind,
    message_id: u16,
    last_sent_at: Instant,
    deadline: Instant,
}

/// `RequestCallerTask` sends the requests of a group until the handle is dropped.
struct RequestCallerTask {
    settings: RequestCallerSettings,
    socket: UdpSocket,
    open_requests: HashMap<u32, OpenRequest>,
    report: RequestReport,
    published_report: Arc<Mutex<RequestReport>>,
    last_token: u32,
    last_message_id: u16,
    last_started_at: Instant,
}

impl RequestCallerTask {
    async fn run(mut self, pause_receiver: watch::Receiver<bool>) {
        let mut task_loop = TaskLoop::new(POLL_INTERVAL, pause_receiver);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while let Some(event) = task_loop.next_event(self.socket.readable()).await {
            match event {
                TaskEvent::SocketReadable => self.receive_datagrams(&mut buffer),
                TaskEvent::TimerFired => {
                    let is_paused = task_loop.control_value();
                    if !is_paused {
                        self.start_request_if_due();
                    }
                    self.check_timeouts();
                    self.publish_report();
                }
            }
        }
    }

    fn start_request_if_due(&mut self) {
        if self.last_started_at.elapsed() < self.settings.request_interval {
            return;
        }
        self.last_started_at = Instant::now();
        self.report.started += 1;
        self.last_token = self.last_token.wrapping_add(1);
        let token = self.last_token;
        let kind = match token % 2 {
            0 => {
                let payload = format!("team {} {token}", self.settings.source_address).into_bytes();
                RequestKind::Registration { payload, ticket: None }
            }
            _ => RequestKind::Download {
                path: format!("draw-{}", token % 7).into_bytes(),
                received: Vec::new(),
                etag: None,
            },
        };
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let request = OpenRequest { kind, message_id: 0, last_sent_at: Instant::now(), deadline };
        self.open_requests.insert(token, request);
        self.send_new_message(token);
    }

    /// Sends the next message of a request with a new message ID.
    fn send_new_message(&mut self, token: u32) {
        self.last_message_id = self.last_message_id.wrapping_add(1);
        if let Some(request) = self.open_requests.get_mut(&token) {
            request.message_id = self.last_message_id;
        }
        self.send_message(token);
    }

    fn send_message(&mut self, token: u32) {
        let Some(request) = self.open_requests.get_mut(&token) else { return };
        request.last_sent_at = Instant::now();
        let remaining = request.deadline.saturating_duration_since(request.last_sent_at);
        let mut packet = Packet::new();
        packet.header.set_type(MessageType::Confirmable);
        packet.header.message_id = request.message_id;
        packet.set_token(token.to_be_bytes().to_vec());
        packet.add_option(TIMEOUT_OPTION, encode_uint_option(remaining.as_millis() as u32));
        let service = match &request.kind {
            RequestKind::Registration { payload, ticket } => {
                packet.header.code = MessageClass::Request(RequestType::Post);
                packet.add_option(CoapOption::UriPath, b"teams".to_vec());
                packet.payload = payload.clone();
                if let Some(ticket) = ticket {
                    packet.add_option(ECHO_OPTION, ticket.clone());
                }
                self.settings.registration_service
            }
            RequestKind::Download { path, received, .. } => {
                packet.header.code = MessageClass::Request(RequestType::Get);
                packet.add_option(CoapOption::UriPath, path.clone());
                let block_number = (received.len() / BLOCK_BYTES) as u32;
                packet.add_option(CoapOption::Block2, encode_uint_option((block_number << 4) | 5));
                self.settings.download_service
            }
        };
        let Ok(payload) = packet.to_bytes_unlimited() else { return };
        let inner_packet = build_udp_packet(self.settings.source_address, service, &payload);
        let mut datagram = Vec::with_capacity(inner_packet.len() + gue::HEADER_BYTES);
        gue::encapsulate(&inner_packet, &mut datagram);
        let _sent =
            self.socket.try_send_to(&datagram, SocketAddr::V4(self.settings.fabric_address));
    }

    fn receive_datagrams(&mut self, buffer: &mut [u8]) {
        while let Ok((length, _)) = self.socket.try_recv_from(buffer) {
            let packet = gue::decapsulate(&buffer[..length]).ok();
            let Some(Ok(InnerPacket::Udp(datagram))) = packet.map(parse_packet) else { continue };
            if let Ok(message) = Packet::from_bytes(datagram.payload) {
                self.handle_response(&message, datagram.source);
            }
        }
    }

    fn handle_response(&mut self, message: &Packet, sender: SocketAddrV4) {
        let Ok(token) = <[u8; 4]>::try_from(message.get_token()) else { return };
        let token = u32::from_be_bytes(token);
        let Some(request) = self.open_requests.get(&token) else { return };
        // A late response to an earlier message of the same request is ignored.
        if request.message_id != message.header.message_id {
            return;
        }
        let expected_service = match request.kind {
            RequestKind::Registration { .. } => self.settings.registration_service,
            RequestKind::Download { .. } => self.settings.download_service,
        };
        if sender != expected_service {
            self.report.wrong += 1;
            return;
        }
        match message.header.code {
            MessageClass::Response(ResponseType::Unauthorized) => {
                self.retry_with_ticket(token, message)
            }
            MessageClass::Response(ResponseType::ServiceUnavailable) => {
                self.report.not_run += 1;
                if let Some(RequestKind::Registration { payload, .. }) = self.close_request(token) {
                    self.report.refused_payloads.push(payload);
                }
            }
            MessageClass::Response(ResponseType::GatewayTimeout) => {
                self.report.unknown += 1;
                self.close_request(token);
            }
            MessageClass::Response(ResponseType::Content) => self.handle_block(token, message),
            MessageClass::Response(ResponseType::Changed) => self.handle_changed(token, message),
            _ => {
                self.report.wrong += 1;
                self.close_request(token);
            }
        }
    }

    fn retry_with_ticket(&mut self, token: u32, message: &Packet) {
        let issued_ticket = message.get_first_option(ECHO_OPTION).cloned();
        if let Some(OpenRequest { kind: RequestKind::Registration { ticket, .. }, .. }) =
            self.open_requests.get_mut(&token)
        {
            *ticket = issued_ticket;
            self.send_new_message(token);
        }
    }

    fn handle_changed(&mut self, token: u32, message: &Packet) {
        let Some(RequestKind::Registration { payload, .. }) = self.close_request(token) else {
            self.report.wrong += 1;
            return;
        };
        match message.payload.ends_with(&payload) {
            true => {
                self.report.right += 1;
                self.report.confirmed_payloads.push(payload);
            }
            false => self.report.wrong += 1,
        }
    }

    fn handle_block(&mut self, token: u32, message: &Packet) {
        let Some(request) = self.open_requests.get_mut(&token) else { return };
        let RequestKind::Download { path, received, etag } = &mut request.kind else {
            self.report.wrong += 1;
            self.close_request(token);
            return;
        };
        let block_value = message
            .get_first_option(CoapOption::Block2)
            .map_or(0, |value| decode_uint_option(value));
        let response_etag = message.get_first_option(CoapOption::ETag).cloned();
        let is_next_block = (block_value >> 4) as usize * BLOCK_BYTES == received.len();
        let is_same_version = etag.is_none() || *etag == response_etag;
        if !is_next_block || !is_same_version {
            self.report.wrong += 1;
            self.close_request(token);
            return;
        }
        *etag = response_etag;
        received.extend_from_slice(&message.payload);
        if block_value & 8 != 0 {
            return self.send_new_message(token);
        }
        let is_complete = *received == download_content(path);
        self.report.right += u64::from(is_complete);
        self.report.wrong += u64::from(!is_complete);
        self.close_request(token);
    }

    fn close_request(&mut self, token: u32) -> Option<RequestKind> {
        self.open_requests.remove(&token).map(|request| request.kind)
    }

    fn check_timeouts(&mut self) {
        let now = Instant::now();
        let unanswered: Vec<u32> = self
            .open_requests
            .iter()
            .filter(|(_, request)| now > request.deadline + FINAL_RESPONSE_GRACE_PERIOD)
            .map(|(token, _)| *token)
            .collect();
        for token in unanswered {
            self.report.silent += 1;
            self.close_request(token);
        }
        let to_retransmit: Vec<u32> = self
            .open_requests
            .iter()
            .filter(|(_, request)| {
                now > request.last_sent_at + RETRANSMIT_TIMEOUT && now < request.deadline
            })
            .map(|(token, _)| *token)
            .collect();
        for token in to_retransmit {
            self.send_message(token);
        }
    }

    fn publish_report(&self) {
        if let Ok(mut published_report) = self.published_report.lock() {
            published_report.clone_from(&self.report);
        }
    }
}

/// Returns the source address of the packets of a caller group.
#[must_use]
pub fn caller_group_address(group: u8) -> Ipv4Addr {
    // From a range reserved for documentation (RFC 5737); the addresses occur only in encapsulated
    // packets, so no host needs to own them.
    Ipv4Addr::new(198, 51, 100, group)
}
