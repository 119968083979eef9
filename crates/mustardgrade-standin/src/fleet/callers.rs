//! Callers: they open flows, ask, repeat what is not answered, and try again elsewhere.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use mustardgrade_core::cookie::{CookiePacket, FlowCookie, ResetCause};
use mustardgrade_core::flow::{FlowKey, FlowPacket, SegmentFlags};
use rand::RngExt;

use super::FleetWorld;
use super::event::FleetEvent;
use super::hosts::HOP;

/// Time before a packet is sent again for the first time; it doubles.
const RESEND_TIME: Duration = Duration::from_millis(200);

/// Times that a request is tried again with a new flow.
const MOST_RETRIES: u32 = 2;

/// Bytes of a request.
const REQUEST_BYTES: u16 = 100;

/// Bytes of an answer.
const ANSWER_BYTES: u32 = 1_000;

/// Time after a disturbance within which the loss of a flow breaks no rule.
const STABILITY_WINDOW: Duration = Duration::from_secs(5);

/// Port of requests that may be repeated.
pub(super) const SAFE_PORT: u16 = 443;

/// Port of requests that run at most once.
pub(super) const ONCE_PORT: u16 = 8_080;

/// `FlowRun` is one opening of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct FlowRun {
    pub(super) flow: usize,
    pub(super) life: u32,
}

/// `CallerWord` is what a caller hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallerWord {
    /// An upstream has accepted the flow.
    Opened { server: usize, run: u64, cookie: FlowCookie },
    /// The upstream has answered the request.
    Answer,
    /// The upstream has no room for the request.
    Shed,
    /// A host resets the flow.
    HostReset(ResetCause),
    /// An upstream does not know the flow.
    ServerReset { server: usize, run: u64 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerStage {
    Closed,
    Opening,
    Open,
}

/// `CookieFlow` is a caller with its flow.
#[derive(Debug, Clone)]
pub(super) struct CookieFlow {
    pub(super) service: usize,
    long: bool,
    repeatable: bool,
    life: u32,
    stage: CallerStage,
    cookie: FlowCookie,
    /// The upstream of the flow and its run.
    home: Option<(usize, u64)>,
    /// When the request in hand came up.
    asked: Option<Duration>,
    /// Requests on this life of the flow.
    requests: u32,
    answers: u32,
    retries: u32,
    /// Sendings of what waits for an answer now.
    tries: u32,
    /// Sendings so far; a timer of an earlier one means nothing.
    sent: u32,
}

impl CookieFlow {
    /// Returns the upstream of a run of the flow, if that run is the present one and open.
    pub(super) fn home(&self, run: FlowRun) -> Option<(usize, u64)> {
        self.home.filter(|_| self.life == run.life && self.stage == CallerStage::Open)
    }

    fn key(&self, flow: usize) -> FlowKey {
        let caller = Ipv4Addr::from(0x6440_0000 + flow as u32);
        let service = Ipv4Addr::new(198, 18, 0, 1 + self.service as u8);
        let port = if self.repeatable { SAFE_PORT } else { ONCE_PORT };
        FlowKey {
            caller: SocketAddrV4::new(caller, 1_024 + (self.life % 60_000) as u16),
            service: SocketAddrV4::new(service, port),
        }
    }
}

impl FleetWorld {
    /// Adds a caller.
    pub(super) fn add_flow(&mut self, service: usize, long: bool, repeatable: bool) -> usize {
        self.flows.push(CookieFlow {
            service,
            long,
            repeatable,
            life: 0,
            stage: CallerStage::Closed,
            cookie: FlowCookie::NONE,
            home: None,
            asked: None,
            requests: 0,
            answers: 0,
            retries: 0,
            tries: 0,
            sent: 0,
        });
        self.flows.len() - 1
    }

    fn patience(&self) -> Duration {
        self.scenario.request_load.caller_timeout
    }

    /// Lets a request with a flow of its own come up, and plans the next one.
    pub(super) fn open_request(&mut self) {
        let load = self.scenario.request_load;
        let pause = -self.random.random::<f64>().max(1e-9).ln() / load.requests_per_sec;
        self.later(Duration::from_secs_f64(pause), FleetEvent::OpenRequest);
        let services = self.request_services();
        let Some(service) = services.get(self.random.random_range(0..services.len().max(1))) else {
            return;
        };
        let repeatable = self.random.random::<f64>() >= load.non_idempotent_ratio;
        let flow = self.add_flow(*service, false, repeatable);
        self.ask(flow);
    }

    /// Lets the next request of a long flow come up.
    pub(super) fn next_request(&mut self, flow: usize) {
        if self.flows[flow].asked.is_none() {
            self.ask(flow);
        }
    }

    fn ask(&mut self, flow: usize) {
        let entry = &mut self.flows[flow];
        entry.asked = Some(self.now);
        entry.retries = 0;
        self.tally.note_asked(self.now);
        match self.flows[flow].stage {
            CallerStage::Open => self.send_request(flow),
            CallerStage::Closed | CallerStage::Opening => self.begin_opening(flow),
        }
    }

    fn begin_opening(&mut self, flow: usize) {
        let entry = &mut self.flows[flow];
        entry.life += 1;
        entry.stage = CallerStage::Opening;
        entry.cookie = FlowCookie::NONE;
        entry.home = None;
        entry.requests = 0;
        entry.answers = 0;
        entry.tries = 0;
        self.transmit(flow);
    }

    fn send_request(&mut self, flow: usize) {
        let entry = &mut self.flows[flow];
        entry.requests += 1;
        entry.tries = 0;
        self.transmit(flow);
    }

    /// Sends what waits for an answer, and sets the timer of its repetition.
    fn transmit(&mut self, flow: usize) {
        let entry = &mut self.flows[flow];
        let opening = entry.stage == CallerStage::Opening;
        let wait = RESEND_TIME * 2_u32.pow(entry.tries.min(4));
        let copy = entry.tries;
        entry.tries += 1;
        entry.sent += 1;
        let (sent, life) = (entry.sent, entry.life);
        match opening {
            true => self.send(flow, SegmentFlags { syn: true, ..SegmentFlags::default() }, copy, 0),
            false => self.send_data(flow),
        }
        self.later(wait, FleetEvent::Resend { flow: FlowRun { flow, life }, sent });
    }

    fn send_data(&mut self, flow: usize) {
        let flags = SegmentFlags { ack: true, ..SegmentFlags::default() };
        let acknowledgement = 1 + self.flows[flow].answers * ANSWER_BYTES;
        self.send(flow, flags, acknowledgement, REQUEST_BYTES);
    }

    fn acknowledge(&mut self, flow: usize, last: bool) {
        let flags = SegmentFlags { ack: true, fin: last, ..SegmentFlags::default() };
        let acknowledgement = 1 + self.flows[flow].answers * ANSWER_BYTES;
        self.send(flow, flags, acknowledgement, 0);
    }

    /// Returns the host that the fabric hands a packet of a flow to.
    fn pick_host(&mut self, flow: usize) -> Option<usize> {
        let known: Vec<usize> =
            (0..self.hosts.len()).filter(|host| self.hosts[*host].in_fabric).collect();
        let drawn = match self.scenario.options.fabric_sprays {
            true => self.random.random::<u64>(),
            false => self.flows[flow].key(flow).fingerprint(0),
        };
        let at = drawn.checked_rem(known.len() as u64)?;
        known.get(at as usize).copied()
    }

    /// Sends a packet by a host that the fabric knows.
    fn send(
        &mut self,
        flow: usize,
        flags: SegmentFlags,
        acknowledgement: u32,
        payload_length: u16,
    ) {
        let Some(host) = self.pick_host(flow) else { return };
        let entry = &self.flows[flow];
        let before = match payload_length {
            0 => entry.requests,
            _ => entry.requests.saturating_sub(1),
        };
        let sequence = 1 + before * u32::from(REQUEST_BYTES);
        let key = entry.key(flow);
        let segment = FlowPacket { key, flags, sequence, acknowledgement, payload_length };
        let packet = CookiePacket { segment, cookie: entry.cookie };
        let run = self.hosts[host].run;
        let flow = FlowRun { flow, life: entry.life };
        self.later(HOP, FleetEvent::Packet { host, run, flow, packet });
    }

    /// Sends again what has not been answered; gives up when the caller's patience ends.
    pub(super) fn resend(&mut self, run: FlowRun, sent: u32) {
        let entry = &self.flows[run.flow];
        if (entry.life, entry.sent) != (run.life, sent) {
            return;
        }
        let Some(asked) = entry.asked else { return };
        match self.now - asked >= self.patience() {
            true => self.fail(run.flow),
            false => self.transmit(run.flow),
        }
    }

    /// Lets a caller hear something.
    pub(super) fn hear(&mut self, run: FlowRun, word: CallerWord) {
        let entry = &mut self.flows[run.flow];
        if entry.life != run.life || entry.stage == CallerStage::Closed {
            return;
        }
        match word {
            CallerWord::Opened { server, run: server_run, cookie } => {
                if entry.stage == CallerStage::Opening {
                    entry.stage = CallerStage::Open;
                    entry.home = Some((server, server_run));
                    entry.cookie = cookie;
                    self.acknowledge(run.flow, false);
                    self.send_request(run.flow);
                }
            }
            CallerWord::Answer => self.take_answer(run.flow),
            CallerWord::Shed => self.try_again(run.flow, true),
            CallerWord::HostReset(cause) => self.take_reset(run, cause),
            CallerWord::ServerReset { server, run: server_run } => {
                let (home, _) = entry.home.unwrap_or((usize::MAX, 0));
                if home == server && entry.home != Some((server, server_run)) {
                    self.try_again(run.flow, false);
                }
            }
        }
    }

    fn take_answer(&mut self, flow: usize) {
        let patience = self.patience();
        let every = self.scenario.flow_load.mean_packet_interval;
        let pause = every.mul_f64(self.random.random_range(0.5..1.5));
        let entry = &mut self.flows[flow];
        let Some(asked) = entry.asked.take() else { return };
        entry.answers += 1;
        entry.sent += 1;
        let long = entry.long;
        if self.now - asked <= patience {
            self.tally.note_served(asked, self.now - asked);
        }
        self.acknowledge(flow, !long);
        match long {
            true => self.later(pause, FleetEvent::NextRequest { flow }),
            false => self.flows[flow].stage = CallerStage::Closed,
        }
    }

    fn take_reset(&mut self, run: FlowRun, cause: ResetCause) {
        let entry = &self.flows[run.flow];
        if entry.stage == CallerStage::Opening {
            self.tally.refused += 1;
            return self.try_again(run.flow, true);
        }
        if let Some((server, server_run)) = entry.home {
            let server = &self.servers[server];
            let lives = server.run == server_run;
            let calm = self.now.saturating_sub(server.disturbed) > STABILITY_WINDOW;
            if lives && calm && cause != ResetCause::RouteDropped {
                self.tally.broken_flows += 1;
            }
        }
        let repeatable = entry.repeatable;
        self.try_again(run.flow, repeatable);
    }

    /// Tries the request in hand again with a new flow, if that is safe and makes sense.
    fn try_again(&mut self, flow: usize, safe: bool) {
        let patience = self.patience();
        let now = self.now;
        let entry = &mut self.flows[flow];
        let Some(asked) = entry.asked else {
            entry.stage = CallerStage::Closed;
            return;
        };
        entry.retries += 1;
        match safe && entry.retries <= MOST_RETRIES && now - asked < patience {
            true => self.begin_opening(flow),
            false => self.fail(flow),
        }
    }

    fn fail(&mut self, flow: usize) {
        let every = self.scenario.flow_load.mean_packet_interval;
        let entry = &mut self.flows[flow];
        entry.asked = None;
        entry.stage = CallerStage::Closed;
        entry.sent += 1;
        if entry.long {
            self.later(every, FleetEvent::NextRequest { flow });
        }
    }
}
