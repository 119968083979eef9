//! The control actor.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::error::Infallible;
use kameo::message::{Context, Message};
use mustardgrade_core::clock::Clock;
use mustardgrade_core::membership::{
    ControllerInput, HostController, HostDigest, HostState, PeerConfiguration, StoredRules,
};
use mustardgrade_core::placement::BucketPhase;
use mustardgrade_core::request::build_request_snapshot;
use mustardgrade_core::rule::RuleSet;
use mustardgrade_wire::peer::FrameSealer;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use crate::calls::CallClient;
use crate::clock::UnixClock;
use crate::metrics::HostMetrics;
use crate::settings::HostSettings;
use crate::store::{ReadReply, RulesDocument, StoreClient, decode_placement, decode_rules};
use crate::traffic::{LaneCommand, TrafficShared};

/// `ControlLinks` is everything that the control actor acts through.
#[derive(Debug)]
pub struct ControlLinks {
    /// Settings of the host.
    pub settings: Arc<HostSettings>,
    /// Clock that traffic threads use as well.
    pub clock: UnixClock,
    /// State that traffic threads read.
    pub shared: Arc<TrafficShared>,
    /// Metrics of the host.
    pub metrics: Arc<HostMetrics>,
    /// Traffic threads.
    pub lanes: Vec<mpsc::Sender<LaneCommand>>,
    /// Socket for digests.
    pub peer_socket: Arc<UdpSocket>,
    /// Client for calls.
    pub calls: CallClient,
    /// Client of the store.
    pub store: StoreClient,
    /// Rules in force, for metric labels.
    pub rules: watch::Sender<Arc<RuleSet>>,
    /// Whether this host watches the store.
    pub watching: watch::Sender<bool>,
    /// Status as text, for operators.
    pub status: watch::Sender<String>,
    /// Is set to true once the host has handed everything over.
    pub stopped: watch::Sender<bool>,
}

/// `HostStatus` is what a host tells operators.
#[derive(Debug, Clone, Serialize)]
pub struct HostStatus {
    /// Name of the host.
    pub host: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Step of its life.
    pub state: String,
    /// Rules revision in force.
    pub rules_revision: u64,
    /// Placement generation in force.
    pub generation: u64,
    /// Buckets under guard.
    pub guarded_buckets: usize,
    /// Live hosts, this one included.
    pub live_hosts: usize,
}

/// `StoreRead` tells the control actor what was read from the store.
#[derive(Debug)]
pub enum StoreRead {
    /// The rules.
    Rules(ReadReply),
    /// The placement.
    Placement(ReadReply),
}

/// `WriteFinished` tells the control actor that a write ended, one way or another.
#[derive(Debug)]
pub struct WriteFinished;

/// `ControlActor` owns the [`HostController`] and carries out its outputs.
#[derive(Debug)]
pub struct ControlActor {
    pub(super) controller: HostController,
    pub(super) links: ControlLinks,
    pub(super) sealer: FrameSealer,
    pub(super) document: Option<Arc<RulesDocument>>,
    pub(super) writing: bool,
    state: HostState,
}

impl ControlActor {
    /// Creates the actor's state.
    #[must_use]
    pub fn new(controller: HostController, links: ControlLinks, sealer: FrameSealer) -> Self {
        Self {
            controller,
            links,
            sealer,
            document: None,
            writing: false,
            state: HostState::Joining,
        }
    }

    /// Feeds the controller and carries out what it decides.
    pub(super) fn feed(&mut self, input: ControllerInput, me: &ActorRef<Self>) {
        let now = self.links.clock.now();
        let mut outputs = Vec::new();
        self.controller.handle(input, now, &mut outputs);
        for output in outputs {
            self.carry_out(output, me);
        }
        self.note_state();
    }

    /// Puts rules from a document in force, unless newer ones are.
    pub(super) fn take_document(&mut self, document: RulesDocument, me: &ActorRef<Self>) {
        let known = self.document.as_ref().map_or(0, |known| known.revision);
        if document.revision <= known {
            return;
        }
        match document.book() {
            Ok(book) => {
                let revision = document.revision;
                let book = Arc::new(book);
                self.links.rules.send_replace(Arc::clone(&book));
                self.document = Some(Arc::new(document));
                log::info!(revision; "rules in force");
                self.feed(
                    ControllerInput::RulesReceived(StoredRules { revision, rule_set: book }),
                    me,
                );
            }
            Err(error) => log::error!(error:% = error; "rules are damaged and not put in force"),
        }
    }

    /// Publishes what traffic threads and operators read, after the control state changed.
    pub(super) fn publish(&mut self) {
        let own = self.controller.digest();
        let live = || self.controller.members().live_members().map(|member| &member.digest);
        if let Some(rules) = self.controller.rules() {
            let hosts: Vec<&HostDigest> = live().chain([&own]).collect();
            let snapshot = build_request_snapshot(&rules.rule_set, &hosts);
            if **self.links.shared.requests.load() != snapshot {
                self.links.shared.requests.store(Arc::new(snapshot));
            }
        }
        let status = self.status();
        let metrics = &self.links.metrics;
        metrics.rules_revision.store(status.rules_revision, Ordering::Relaxed);
        metrics.generation.store(status.generation, Ordering::Relaxed);
        metrics.guarded_buckets.store(status.guarded_buckets as u64, Ordering::Relaxed);
        metrics.live_hosts.store(status.live_hosts as u64, Ordering::Relaxed);
        let text = serde_json::to_string(&status).unwrap_or_default();
        self.links.status.send_if_modified(|current| {
            let changed = *current != text;
            if changed {
                *current = text;
            }
            changed
        });
        let watching = self.controller.is_watcher();
        self.links.watching.send_if_modified(|current| {
            let changed = *current != watching;
            *current = watching;
            changed
        });
    }

    fn status(&self) -> HostStatus {
        let digest = self.controller.digest();
        let guarded = |phase| {
            self.controller
                .placement()
                .tables
                .iter()
                .map(move |table| table.count_buckets_in_phase(phase))
        };
        let phases = [BucketPhase::Announced, BucketPhase::Collecting, BucketPhase::Settling];
        HostStatus {
            host: self.links.settings.name.clone(),
            data_centre: self.links.settings.data_centre.clone(),
            state: digest.state.to_string(),
            rules_revision: digest.rules_revision,
            generation: digest.generation,
            guarded_buckets: phases.into_iter().flat_map(guarded).sum(),
            live_hosts: self.controller.members().live_members().count() + 1,
        }
    }

    fn note_state(&mut self) {
        let state = self.controller.state();
        if state != self.state {
            self.state = state;
            log::info!(host = self.links.settings.name.as_str(), state:% = state; "host state");
        }
    }
}

impl Actor for ControlActor {
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
        self.links.stopped.send_replace(true);
        Ok(())
    }
}

impl Message<ControllerInput> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, input: ControllerInput, context: &mut Context<Self, ()>) {
        let is_tick = matches!(input, ControllerInput::Tick);
        let me = context.actor_ref().clone();
        self.feed(input, &me);
        if is_tick {
            self.publish();
        }
    }
}

impl Message<StoreRead> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, read: StoreRead, context: &mut Context<Self, ()>) {
        let me = context.actor_ref().clone();
        match read {
            StoreRead::Rules(reply) => {
                let Some(stored) = reply.value else { return };
                match decode_rules(&stored.value) {
                    Ok(document) => self.take_document(document, &me),
                    Err(error) => log::error!(error:% = error; "stored rules are damaged"),
                }
            }
            StoreRead::Placement(reply) => {
                let Some(stored) = reply.value else { return };
                match decode_placement(&stored.value) {
                    Ok(book) => self.feed(ControllerInput::PlacementReceived(Arc::new(book)), &me),
                    Err(error) => log::error!(error:% = error; "stored placement is damaged"),
                }
            }
        }
        self.publish();
    }
}

impl Message<WriteFinished> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, _finished: WriteFinished, _context: &mut Context<Self, ()>) {
        self.writing = false;
    }
}

/// `TakeDocument` hands the control actor rules that a peer has in force.
#[derive(Debug)]
pub(super) struct TakeDocument(pub(super) RulesDocument);

impl Message<TakeDocument> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, taken: TakeDocument, context: &mut Context<Self, ()>) {
        let me = context.actor_ref().clone();
        self.take_document(taken.0, &me);
    }
}

/// `ReadState` asks the control actor for rules and placement.
#[derive(Debug)]
pub(super) struct ReadState;

/// `StateReply` is the answer to [`ReadState`].
#[derive(Debug, kameo::Reply)]
pub(super) struct StateReply {
    pub(super) document: Option<Arc<RulesDocument>>,
    pub(super) fetched: PeerConfiguration,
}

impl Message<ReadState> for ControlActor {
    type Reply = StateReply;

    async fn handle(
        &mut self,
        _read: ReadState,
        _context: &mut Context<Self, StateReply>,
    ) -> StateReply {
        StateReply {
            document: self.document.clone(),
            fetched: self.controller.peer_configuration(),
        }
    }
}
