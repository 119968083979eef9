//! CoAP server that processes a limited number of requests at a time. It models cold starts, sheds
//! requests that it cannot serve in time, and lets senders cancel idempotent requests.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType};
use mustardgrade_core::identity::rendezvous_score;
use mustardgrade_wire::coap::TIMEOUT_OPTION;

/// Size of the content of each download path; larger than a block, so that downloads take several.
pub const DOWNLOAD_BYTES: usize = 3_000;

/// Size exponent (SZX) of a block: 2^(5 + 4) = 512 bytes (RFC 7959, section 2.2).
const BLOCK_SIZE_EXPONENT: u32 = 5;

/// `RequestCapacity` describes how many requests an upstream processes and how fast.
#[derive(Debug, Clone, Copy)]
pub struct RequestCapacity {
    /// Maximum number of requests in service at a time.
    pub slots: usize,
    /// Service time of a request when the upstream is warm; twice as long while it is cold.
    pub service_time: Duration,
    /// Number of answers after which a cold upstream is warm.
    pub warm_up_requests: u32,
}

/// `RequestInService` is a request that occupies a slot until its answer is due at `ready_at`.
#[derive(Debug)]
struct RequestInService {
    sender: SocketAddr,
    packet: Packet,
    ready_at: Instant,
}

/// `RequestServer` answers the CoAP requests that one upstream receives: GET is a download, which
/// is idempotent, and POST a registration, which is not.
#[derive(Debug)]
pub struct RequestServer {
    name: String,
    capacity: RequestCapacity,
    in_service: Vec<RequestInService>,
    seen_requests: HashSet<(SocketAddr, Vec<u8>)>,
    answers_since_cold: u32,
    run_counts: HashMap<Vec<u8>, u32>,
    shed_count: u64,
    max_in_service: usize,
}

impl RequestServer {
    /// Creates a cold server; answers to registrations carry `name`.
    #[must_use]
    pub fn new(name: &str, capacity: RequestCapacity) -> Self {
        Self {
            name: name.to_owned(),
            capacity,
            in_service: Vec::new(),
            seen_requests: HashSet::new(),
            answers_since_cold: 0,
            run_counts: HashMap::new(),
            shed_count: 0,
            max_in_service: 0,
        }
    }

    /// Makes the server cold again, as after a restart.
    pub fn turn_cold(&mut self) {
        self.answers_since_cold = 0;
    }

    /// Returns how often each registration was executed, by payload.
    #[must_use]
    pub fn run_counts(&self) -> &HashMap<Vec<u8>, u32> {
        &self.run_counts
    }

    /// Returns the number of requests refused because all slots were taken or because the service
    /// time exceeded the deadline.
    #[must_use]
    pub fn shed_count(&self) -> u64 {
        self.shed_count
    }

    /// Returns the highest number of requests that were in service at a time.
    #[must_use]
    pub fn max_in_service(&self) -> usize {
        self.max_in_service
    }

    /// Returns the number of requests in service.
    #[must_use]
    pub fn in_service_count(&self) -> usize {
        self.in_service.len()
    }

    /// Handles a CoAP message; returns a refusal to send back, if the request is shed.
    ///
    /// An empty message cancels the sender's request with the same message ID.
    pub fn receive(
        &mut self,
        datagram: &[u8],
        sender: SocketAddr,
        now: Instant,
    ) -> Option<Vec<u8>> {
        let packet = Packet::from_bytes(datagram).ok()?;
        match packet.header.code {
            MessageClass::Request(_) => self.handle_request(packet, sender, now),
            MessageClass::Empty => {
                self.cancel(packet.header.message_id, sender);
                None
            }
            MessageClass::Response(_) | MessageClass::Reserved(_) => None,
        }
    }

    /// Returns the answers that are due, each with the address to send it to.
    pub fn poll(&mut self, now: Instant) -> Vec<(SocketAddr, Vec<u8>)> {
        let (ready, in_service) = std::mem::take(&mut self.in_service)
            .into_iter()
            .partition(|request| request.ready_at <= now);
        self.in_service = in_service;
        let ready: Vec<RequestInService> = ready;
        ready.into_iter().filter_map(|request| self.answer(&request)).collect()
    }

    fn handle_request(
        &mut self,
        packet: Packet,
        sender: SocketAddr,
        now: Instant,
    ) -> Option<Vec<u8>> {
        // Duplicates are ignored (RFC 7252, section 4.3), here recognised by sender and token.
        if !self.seen_requests.insert((sender, packet.get_token().to_vec())) {
            return None;
        }
        if self.in_service.len() >= self.capacity.slots {
            self.shed_count += 1;
            let response = new_response(&packet, ResponseType::ServiceUnavailable);
            return response.to_bytes_unlimited().ok();
        }
        let service_time = self.service_time();
        if remaining_time_of(&packet).is_some_and(|remaining| remaining < service_time) {
            self.shed_count += 1;
            let response = new_response(&packet, ResponseType::ServiceUnavailable);
            return response.to_bytes_unlimited().ok();
        }
        if packet.header.code == MessageClass::Request(RequestType::Post) {
            *self.run_counts.entry(packet.payload.clone()).or_default() += 1;
        }
        self.in_service.push(RequestInService { sender, packet, ready_at: now + service_time });
        self.max_in_service = self.max_in_service.max(self.in_service.len());
        None
    }

    /// Returns the service time of the next request; it is doubled while the server is cold.
    fn service_time(&self) -> Duration {
        match self.answers_since_cold < self.capacity.warm_up_requests {
            true => self.capacity.service_time * 2,
            false => self.capacity.service_time,
        }
    }

    fn cancel(&mut self, message_id: u16, sender: SocketAddr) {
        self.in_service.retain(|request| {
            let is_match =
                request.packet.header.message_id == message_id && request.sender == sender;
            // A registration is not idempotent and has been executed already, so it is not
            // cancelled.
            !is_match || request.packet.header.code == MessageClass::Request(RequestType::Post)
        });
    }

    fn answer(&mut self, request: &RequestInService) -> Option<(SocketAddr, Vec<u8>)> {
        self.answers_since_cold += 1;
        let response = match request.packet.header.code {
            MessageClass::Request(RequestType::Get) => self.download_block(&request.packet),
            _ => {
                let mut response = new_response(&request.packet, ResponseType::Changed);
                response.payload = self.registration_answer(&request.packet.payload);
                response
            }
        };
        Some((request.sender, response.to_bytes_unlimited().ok()?))
    }

    fn registration_answer(&self, payload: &[u8]) -> Vec<u8> {
        let mut content = format!("{} did ", self.name).into_bytes();
        content.extend_from_slice(payload);
        content
    }

    /// Builds the response with the requested block of a download (RFC 7959).
    fn download_block(&self, request: &Packet) -> Packet {
        let path = request.get_first_option(CoapOption::UriPath).cloned().unwrap_or_default();
        let block_option = request.get_first_option(CoapOption::Block2);
        let block_number = block_option.map_or(0, |value| decode_uint_option(value) >> 4) as usize;
        let block_bytes = 16 << BLOCK_SIZE_EXPONENT;
        let content = download_content(&path);
        let start = (block_number * block_bytes).min(content.len());
        let end = (start + block_bytes).min(content.len());
        let has_more = end < content.len();
        let mut response = new_response(request, ResponseType::Content);
        response.payload = content[start..end].to_vec();
        let block_value =
            ((block_number as u32) << 4) | (u32::from(has_more) << 3) | BLOCK_SIZE_EXPONENT;
        response.add_option(CoapOption::Block2, encode_uint_option(block_value));
        response.add_option(CoapOption::ETag, download_etag(&path));
        response
    }
}

/// Computes the complete content of a download path.
#[must_use]
pub fn download_content(path: &[u8]) -> Vec<u8> {
    let seed = path.iter().fold(0, |seed, byte| seed * 31 + u64::from(*byte));
    (0..DOWNLOAD_BYTES as u64).map(|offset| rendezvous_score(offset, seed) as u8).collect()
}

fn download_etag(path: &[u8]) -> Vec<u8> {
    let seed = path.iter().fold(0, |seed, byte| seed * 31 + u64::from(*byte));
    rendezvous_score(seed, 1).to_be_bytes()[..4].to_vec()
}

fn new_response(request: &Packet, code: ResponseType) -> Packet {
    let mut response = Packet::new();
    response.header.set_type(MessageType::NonConfirmable);
    response.header.message_id = request.header.message_id;
    response.header.code = MessageClass::Response(code);
    response.set_token(request.get_token().to_vec());
    response
}

fn remaining_time_of(packet: &Packet) -> Option<Duration> {
    let value = packet.get_first_option(TIMEOUT_OPTION)?;
    Some(Duration::from_millis(u64::from(decode_uint_option(value))))
}

/// Decodes a CoAP option value of the format `uint` (RFC 7252, section 3.2); only the first four
/// bytes count.
#[must_use]
pub fn decode_uint_option(value: &[u8]) -> u32 {
    value.iter().take(4).fold(0, |sum, byte| (sum << 8) | u32::from(*byte))
}

/// Encodes a CoAP option value of the format `uint` without leading zero bytes (RFC 7252,
/// section 3.2).
#[must_use]
pub fn encode_uint_option(value: u32) -> Vec<u8> {
    let bytes = value.to_be_bytes();
    let leading = bytes.iter().take_while(|byte| **byte == 0).count();
    bytes[leading..].to_vec()
}
