//! The CoAP server with slots, cold start, shedding, deadlines and cancellation.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType};
use mustardgrade_core::identity::rendezvous_score;
use mustardgrade_wire::coap::TIMEOUT_OPTION;

/// Bytes of a long answer in all.
pub const ARCHIVE_BYTES: usize = 3_000;

/// Size exponent of blocks: 512 bytes (RFC 7959, section 2.2).
const BLOCK_EXPONENT: u32 = 5;

/// `ServiceCurve` says what an upstream bears.
#[derive(Debug, Clone, Copy)]
pub struct ServiceCurve {
    /// Requests served at a time when warm.
    pub slots: usize,
    /// Service time when warm.
    pub service_time: Duration,
    /// Requests answered before the upstream is warm.
    pub cold_requests: u32,
}

/// `ServedRequest` is a request in service.
#[derive(Debug)]
struct ServedRequest {
    from: SocketAddr,
    packet: Packet,
    ready: Instant,
}

/// `RequestServer` serves requests of one service.
#[derive(Debug)]
pub struct RequestServer {
    name: String,
    curve: ServiceCurve,
    serving: Vec<ServedRequest>,
    seen: HashSet<(SocketAddr, Vec<u8>)>,
    answered: u32,
    runs: HashMap<Vec<u8>, u32>,
    shed: u64,
    most_in_service: usize,
}

impl RequestServer {
    /// Creates the server of the upstream called `name`, cold.
    #[must_use]
    pub fn new(name: &str, curve: ServiceCurve) -> Self {
        Self {
            name: name.to_owned(),
            curve,
            serving: Vec::new(),
            seen: HashSet::new(),
            answered: 0,
            runs: HashMap::new(),
            shed: 0,
            most_in_service: 0,
        }
    }

    /// Makes the server cold again.
    pub fn turn_cold(&mut self) {
        self.answered = 0;
    }

    /// Returns how often each non-idempotent payload ran.
    #[must_use]
    pub fn runs(&self) -> &HashMap<Vec<u8>, u32> {
        &self.runs
    }

    /// Returns the requests refused for lack of a slot.
    #[must_use]
    pub fn shed(&self) -> u64 {
        self.shed
    }

    /// Returns the most requests that were ever in service at a time.
    #[must_use]
    pub fn most_in_service(&self) -> usize {
        self.most_in_service
    }

    /// Returns the requests in service.
    #[must_use]
    pub fn in_service(&self) -> usize {
        self.serving.len()
    }

    /// Takes in a datagram; returns a datagram to send back at once, if any.
    pub fn receive(&mut self, datagram: &[u8], from: SocketAddr, now: Instant) -> Option<Vec<u8>> {
        let packet = Packet::from_bytes(datagram).ok()?;
        match packet.header.code {
            MessageClass::Request(_) => self.start(packet, from, now),
            MessageClass::Empty => {
                self.cancel(packet.header.message_id, from);
                None
            }
            MessageClass::Response(_) | MessageClass::Reserved(_) => None,
        }
    }

    /// Returns the answers that are ready.
    pub fn poll(&mut self, now: Instant) -> Vec<(SocketAddr, Vec<u8>)> {
        let (ready, serving) =
            std::mem::take(&mut self.serving).into_iter().partition(|served| served.ready <= now);
        self.serving = serving;
        let ready: Vec<ServedRequest> = ready;
        ready.into_iter().filter_map(|served| self.finish(&served)).collect()
    }

    fn start(&mut self, packet: Packet, from: SocketAddr, now: Instant) -> Option<Vec<u8>> {
        // A copy of a message is ignored (RFC 7252, section 4.3).
        if !self.seen.insert((from, packet.get_token().to_vec())) {
            return None;
        }
        if self.serving.len() >= self.curve.slots {
            self.shed += 1;
            let response = respond(&packet, ResponseType::ServiceUnavailable);
            return response.to_bytes_unlimited().ok();
        }
        let took = self.service_time();
        if deadline_of(&packet).is_some_and(|patience| patience < took) {
            self.shed += 1;
            let response = respond(&packet, ResponseType::ServiceUnavailable);
            return response.to_bytes_unlimited().ok();
        }
        if packet.header.code == MessageClass::Request(RequestType::Post) {
            *self.runs.entry(packet.payload.clone()).or_default() += 1;
        }
        self.serving.push(ServedRequest { from, packet, ready: now + took });
        self.most_in_service = self.most_in_service.max(self.serving.len());
        None
    }

    /// A cold server takes twice as long.
    fn service_time(&self) -> Duration {
        match self.answered < self.curve.cold_requests {
            true => self.curve.service_time * 2,
            false => self.curve.service_time,
        }
    }

    fn cancel(&mut self, message_id: u16, from: SocketAddr) {
        self.serving.retain(|served| {
            let same = served.packet.header.message_id == message_id && served.from == from;
            // What may run only once has started and is finished.
            !same || served.packet.header.code == MessageClass::Request(RequestType::Post)
        });
    }

    fn finish(&mut self, served: &ServedRequest) -> Option<(SocketAddr, Vec<u8>)> {
        self.answered += 1;
        let response = match served.packet.header.code {
            MessageClass::Request(RequestType::Get) => self.archive(&served.packet),
            _ => {
                let mut response = respond(&served.packet, ResponseType::Changed);
                response.payload = self.echo(&served.packet.payload);
                response
            }
        };
        Some((served.from, response.to_bytes_unlimited().ok()?))
    }

    fn echo(&self, payload: &[u8]) -> Vec<u8> {
        let mut echo = format!("{} did ", self.name).into_bytes();
        echo.extend_from_slice(payload);
        echo
    }

    /// Answers one block of a long answer (RFC 7959).
    fn archive(&self, request: &Packet) -> Packet {
        let path = request.get_first_option(CoapOption::UriPath).cloned().unwrap_or_default();
        let block = request.get_first_option(CoapOption::Block2);
        let number = block.map_or(0, |value| read_uint(value) >> 4) as usize;
        let size = 16 << BLOCK_EXPONENT;
        let content = archive_content(&path);
        let start = (number * size).min(content.len());
        let end = (start + size).min(content.len());
        let more = end < content.len();
        let mut response = respond(request, ResponseType::Content);
        response.payload = content[start..end].to_vec();
        let value = ((number as u32) << 4) | (u32::from(more) << 3) | BLOCK_EXPONENT;
        response.add_option(CoapOption::Block2, write_uint(value));
        response.add_option(CoapOption::ETag, archive_etag(&path));
        response
    }
}

/// Returns the whole content of an archive path.
#[must_use]
pub fn archive_content(path: &[u8]) -> Vec<u8> {
    let seed = path.iter().fold(0, |seed, byte| seed * 31 + u64::from(*byte));
    (0..ARCHIVE_BYTES as u64).map(|at| rendezvous_score(at, seed) as u8).collect()
}

fn archive_etag(path: &[u8]) -> Vec<u8> {
    let seed = path.iter().fold(0, |seed, byte| seed * 31 + u64::from(*byte));
    rendezvous_score(seed, 1).to_be_bytes()[..4].to_vec()
}

fn respond(request: &Packet, code: ResponseType) -> Packet {
    let mut response = Packet::new();
    response.header.set_type(MessageType::NonConfirmable);
    response.header.message_id = request.header.message_id;
    response.header.code = MessageClass::Response(code);
    response.set_token(request.get_token().to_vec());
    response
}

fn deadline_of(packet: &Packet) -> Option<Duration> {
    let value = packet.get_first_option(TIMEOUT_OPTION)?;
    Some(Duration::from_millis(u64::from(read_uint(value))))
}

/// Reads an unsigned option value (RFC 7252, section 3.2).
#[must_use]
pub fn read_uint(value: &[u8]) -> u32 {
    value.iter().take(4).fold(0, |sum, byte| (sum << 8) | u32::from(*byte))
}

/// Writes an unsigned option value (RFC 7252, section 3.2).
#[must_use]
pub fn write_uint(value: u32) -> Vec<u8> {
    let bytes = value.to_be_bytes();
    let leading = bytes.iter().take_while(|byte| **byte == 0).count();
    bytes[leading..].to_vec()
}
