//! The actor around the watch controller.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::error::Infallible;
use kameo::message::{Context, Message};
use mustardgrade_core::clock::Clock;
use mustardgrade_core::cookie::LoadReport;
use mustardgrade_core::watch::{
    ChangeBatch, FleetMemberState, FleetMessage, StoreCall, WatchController, WatchInput,
    WatchOutput,
};
use mustardgrade_wire::peer::{FrameSealer, PeerBody, PeerCall, PeerReply};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::edges::StoreEdge;
use super::lane::FleetShared;
use super::notes::NoteLines;
use super::pages::{FleetStatus, rule_lines};
use crate::calls::CallClient;
use crate::clock::UnixClock;
use crate::metrics::{HostMetrics, SentByteKind};

/// Longest datagram with changes; larger ones are fetched by a call.
const MAX_CHANGES: usize = 1_200;

/// `RegistryLinks` is everything that the actor acts through.
pub struct RegistryLinks {
    /// Name of the host.
    pub(crate) name: String,
    /// Clock of the host.
    pub(crate) clock: UnixClock,
    /// What the traffic thread reads.
    pub(crate) shared: Arc<FleetShared>,
    /// Metrics of the host.
    pub(crate) metrics: Arc<HostMetrics>,
    /// Socket for digests.
    pub(crate) socket: Arc<UdpSocket>,
    /// Port of the other hosts' sockets for digests.
    pub(crate) digest_port: u16,
    /// Client for calls.
    pub(crate) calls: CallClient,
    /// Client of the store.
    pub(crate) store: Box<dyn StoreEdge>,
    /// Whether the host is ready for traffic.
    pub(crate) ready: watch::Sender<bool>,
    /// Status as text, for operators.
    pub(crate) status: watch::Sender<String>,
}

impl std::fmt::Debug for RegistryLinks {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RegistryLinks").field("name", &self.name).finish_non_exhaustive()
    }
}

/// `RegistryActor` owns the [`WatchController`] and carries out its outputs.
#[derive(Debug)]
pub struct RegistryActor {
    controller: WatchController,
    links: RegistryLinks,
    sealer: FrameSealer,
    call: Option<JoinHandle<()>>,
    call_number: u64,
    report: Arc<LoadReport>,
    notes: NoteLines,
}

impl RegistryActor {
    /// Creates the actor's state.
    #[must_use]
    pub fn new(controller: WatchController, links: RegistryLinks, sealer: FrameSealer) -> Self {
        Self {
            controller,
            links,
            sealer,
            call: None,
            call_number: 0,
            report: Arc::default(),
            notes: NoteLines::default(),
        }
    }

    fn feed(&mut self, input: WatchInput, me: &ActorRef<Self>) {
        let now = self.links.clock.now();
        let mut outputs = Vec::new();
        self.controller.handle(input, now, &mut outputs);
        // Several changes at once need one snapshot only.
        let install = outputs.contains(&WatchOutput::InstallSnapshot);
        for output in outputs.into_iter().filter(|output| *output != WatchOutput::InstallSnapshot) {
            self.carry_out(output, me);
        }
        if install {
            self.carry_out(WatchOutput::InstallSnapshot, me);
        }
        self.publish();
    }

    /// Feeds what the traffic thread has inferred, if that has changed.
    fn feed_report(&mut self, me: &ActorRef<Self>) {
        let report = self.links.shared.report.load_full();
        if !Arc::ptr_eq(&report, &self.report) {
            self.report = Arc::clone(&report);
            self.feed(WatchInput::LocalLoad(LoadReport::clone(&report)), me);
        }
    }

    fn carry_out(&mut self, output: WatchOutput, me: &ActorRef<Self>) {
        match output {
            WatchOutput::Send { to, message } => self.send(to, message),
            WatchOutput::RequestChanges { to, after_revision } => self.ask(to, after_revision, me),
            WatchOutput::CallStore(call) => self.call_store(call, me),
            WatchOutput::InstallSnapshot => {
                self.links.shared.snapshot.store(Arc::new(self.controller.snapshot()));
            }
            WatchOutput::InstallPeerLoads(loads) => self.links.shared.peers.store(Arc::new(loads)),
            WatchOutput::Event(note) => {
                self.notes.write(&note, &self.links.name, self.links.clock.now());
            }
        }
    }

    fn send(&mut self, to: Ipv4Addr, message: FleetMessage) {
        let mut frame = self.sealer.seal(&PeerBody::Fleet(message.clone()), &[]);
        if let (true, Some(digest)) = (frame.len() > MAX_CHANGES, message.digest()) {
            let digest = FleetMessage::Digest(digest.clone());
            frame = self.sealer.seal(&PeerBody::Fleet(digest), &[]);
        }
        self.links.metrics.add_sent_bytes(SentByteKind::Control, frame.len());
        let to = SocketAddr::from((to, self.links.digest_port));
        if self.links.socket.try_send_to(&frame, to).is_err() {
            self.links.metrics.overflows.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn ask(&self, to: Ipv4Addr, after: u64, me: &ActorRef<Self>) {
        let calls = self.links.calls.clone();
        let me = me.clone();
        tokio::spawn(async move {
            let batch = match calls.call(to, &PeerCall::Registry { after }).await {
                Ok(PeerReply::Registry(batch)) => Some(batch),
                Ok(_) => None,
                Err(error) => {
                    log::info!(host:% = to, error:% = error; "host did not answer");
                    None
                }
            };
            let _stopped = me.tell(WatchInput::Changes { from: to, batch }).await;
        });
    }

    fn call_store(&mut self, call: StoreCall, me: &ActorRef<Self>) {
        self.links.metrics.store_calls.fetch_add(1, Ordering::Relaxed);
        if let Some(former) = self.call.take() {
            former.abort();
        }
        self.call_number += 1;
        let number = self.call_number;
        let reply = self.links.store.call(call);
        let me = me.clone();
        let metrics = Arc::clone(&self.links.metrics);
        self.call = Some(tokio::spawn(async move {
            let answer = reply.await;
            if answer.is_err() {
                metrics.store_failures.fetch_add(1, Ordering::Relaxed);
            }
            let _stopped =
                me.tell(StoreAnswer { number, input: WatchInput::StoreResult(answer) }).await;
        }));
    }

    /// Publishes what operators and the platform read.
    fn publish(&self) {
        let status = self.controller.status(self.links.clock.now());
        let ready = status.state == FleetMemberState::Ready && !self.controller.is_isolated();
        let changed = |current: &mut bool| std::mem::replace(current, ready) != ready;
        if self.links.ready.send_if_modified(changed) {
            log::info!(
                host = self.links.name.as_str(), state:% = status.state, ready; "host state"
            );
            let page = FleetStatus::new(&self.links.name, &status);
            self.links.status.send_replace(page.to_json());
        }
        let metrics = &self.links.metrics;
        metrics.rules_revision.store(status.revision, Ordering::Relaxed);
        metrics.live_hosts.store(status.live_hosts as u64, Ordering::Relaxed);
    }
}

impl Actor for RegistryActor {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(state: Self, _me: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(state)
    }

    async fn on_stop(
        &mut self,
        _me: WeakActorRef<Self>,
        _reason: kameo::error::ActorStopReason,
    ) -> Result<(), Infallible> {
        if let Some(call) = self.call.take() {
            call.abort();
        }
        Ok(())
    }
}

impl Message<WatchInput> for RegistryActor {
    type Reply = ();

    async fn handle(&mut self, input: WatchInput, context: &mut Context<Self, ()>) {
        let me = context.actor_ref().clone();
        if input == WatchInput::Tick {
            self.feed_report(&me);
        }
        self.feed(input, &me);
    }
}

/// `StoreAnswer` is the answer to a numbered call.
#[derive(Debug)]
struct StoreAnswer {
    number: u64,
    input: WatchInput,
}

impl Message<StoreAnswer> for RegistryActor {
    type Reply = ();

    async fn handle(&mut self, answer: StoreAnswer, context: &mut Context<Self, ()>) {
        // The answer to a call that was given up may still be on its way.
        if answer.number == self.call_number {
            let me = context.actor_ref().clone();
            self.feed(answer.input, &me);
        }
    }
}

/// `ReadRegistry` asks for the changes after a revision.
#[derive(Debug)]
pub(super) struct ReadRegistry(pub(super) u64);

/// `RegistryReply` holds them.
#[derive(Debug, kameo::Reply)]
pub(super) struct RegistryReply(pub(super) ChangeBatch);

impl Message<ReadRegistry> for RegistryActor {
    type Reply = RegistryReply;

    async fn handle(
        &mut self,
        read: ReadRegistry,
        _context: &mut Context<Self, RegistryReply>,
    ) -> RegistryReply {
        RegistryReply(self.controller.changes_after(read.0, self.links.clock.now()))
    }
}

/// `ReadPages` asks for the pages that operators read.
#[derive(Debug)]
pub(super) struct ReadPages;

/// `PagesReply` holds them as text.
#[derive(Debug, kameo::Reply)]
pub(super) struct PagesReply {
    pub(super) status: String,
    pub(super) rules: String,
}

impl Message<ReadPages> for RegistryActor {
    type Reply = PagesReply;

    async fn handle(
        &mut self,
        _read: ReadPages,
        _context: &mut Context<Self, PagesReply>,
    ) -> PagesReply {
        let status = self.controller.status(self.links.clock.now());
        let status = FleetStatus::new(&self.links.name, &status);
        PagesReply { status: status.to_json(), rules: rule_lines(self.controller.registry()) }
    }
}

/// `ReloadFleet` hands the actor settings that changed while it runs.
pub struct ReloadFleet {
    /// Configured peers.
    pub seeds: Vec<Ipv4Addr>,
    /// Client of the store.
    pub store: Box<dyn StoreEdge>,
}

impl std::fmt::Debug for ReloadFleet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ReloadFleet").field("seeds", &self.seeds).finish_non_exhaustive()
    }
}

impl Message<ReloadFleet> for RegistryActor {
    type Reply = ();

    async fn handle(&mut self, reload: ReloadFleet, context: &mut Context<Self, ()>) {
        let me = context.actor_ref().clone();
        self.links.store = reload.store;
        self.feed(WatchInput::SeedHosts(reload.seeds), &me);
    }
}
