//! Actor that owns the controller of a host.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::error::Infallible;
use kameo::message::{Context, Message};
use mustardgrade_core::clock::Clock;
use mustardgrade_core::membership::{
    ControllerInput, HostController, HostDigest, HostState, PeerConfiguration, StoredPlacement,
    StoredRules,
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
use crate::store::{
    ReadReply, Result, RulesDocument, StoreClient, StoredValue, decode_placement, decode_rules,
};
use crate::traffic::{SharedTrafficState, TrafficCommand};

/// `ControlResources` holds the settings, clients and channels that the control actor uses.
#[derive(Debug)]
pub struct ControlResources {
    /// Settings of the host.
    pub settings: Arc<HostSettings>,
    /// Clock that is shared with the traffic threads.
    pub clock: UnixClock,
    /// State that the traffic threads and the request thread read.
    pub traffic_state: Arc<SharedTrafficState>,
    /// Metrics of the host.
    pub metrics: Arc<HostMetrics>,
    /// Command channel of each traffic thread.
    pub traffic_threads: Vec<mpsc::Sender<TrafficCommand>>,
    /// Socket from which digests are sent.
    pub digest_socket: Arc<UdpSocket>,
    /// Client for calls to other hosts.
    pub call_client: CallClient,
    /// Client of the platform's key-value store.
    pub store: StoreClient,
    /// Rules in force, for metric labels.
    pub rules: watch::Sender<Arc<RuleSet>>,
    /// Whether this host is a watcher of the store.
    pub is_watcher: watch::Sender<bool>,
    /// JSON text of the [`HostStatus`], for operators.
    pub status_json: watch::Sender<String>,
    /// Set to true when the handover is complete or has timed out, or the actor has stopped.
    pub leave_complete: watch::Sender<bool>,
}

/// `HostStatus` is the status of a host, served to operators as JSON.
#[derive(Debug, Clone, Serialize)]
pub struct HostStatus {
    /// Name of the host.
    pub host: String,
    /// Name of the host's data centre.
    pub data_centre: String,
    /// Lifecycle state of the host.
    pub state: String,
    /// Rules revision in force.
    pub rules_revision: u64,
    /// Identifiers of the edits that led to this revision, newest first.
    pub recent_edits: Vec<u64>,
    /// Placement generation in force.
    pub generation: u64,
    /// Number of buckets that are announced, collecting or settling.
    pub guarded_buckets: usize,
    /// Number of live hosts, including this one.
    pub live_hosts: usize,
}

/// `StoreRead` passes a value that was read from the store to the control actor.
#[derive(Debug)]
pub enum StoreRead {
    /// Reply for the key of the rules.
    Rules(ReadReply),
    /// Reply for the key of the placement.
    Placement(ReadReply),
}

/// `StoreWriteFinished` tells the control actor that a write has ended, successfully or not.
#[derive(Debug)]
pub enum StoreWriteFinished {
    /// The write of a placement.
    Placement,
    /// The write of rules.
    Rules,
}

/// `ControlActor` owns the [`HostController`] and performs its outputs.
#[derive(Debug)]
pub struct ControlActor {
    pub(super) controller: HostController,
    pub(super) resources: ControlResources,
    pub(super) sealer: FrameSealer,
    pub(super) is_writing_placement: bool,
    pub(super) is_writing_rules: bool,
    last_logged_state: HostState,
}

impl ControlActor {
    /// Creates the actor of a host that starts to join.
    #[must_use]
    pub fn new(
        controller: HostController,
        resources: ControlResources,
        sealer: FrameSealer,
    ) -> Self {
        Self {
            controller,
            resources,
            sealer,
            is_writing_placement: false,
            is_writing_rules: false,
            last_logged_state: HostState::Joining,
        }
    }

    /// Passes an input to the controller and performs the resulting outputs.
    pub(super) fn handle_input(&mut self, input: ControllerInput, actor_ref: &ActorRef<Self>) {
        let now = self.resources.clock.now();
        let mut outputs = Vec::new();
        self.controller.handle(input, now, &mut outputs);
        for output in outputs {
            self.perform_output(output, actor_ref);
        }
        self.log_state_change();
    }

    /// Passes an input that may bring new rules to the controller, and puts these in force for
    /// requests.
    fn handle_rules_input(&mut self, input: ControllerInput, actor_ref: &ActorRef<Self>) {
        let revision_before = self.controller.rules().map_or(0, |rules| rules.revision);
        self.handle_input(input, actor_ref);
        let Some(rules) = self.controller.rules() else { return };
        if rules.revision > revision_before {
            self.resources.rules.send_replace(Arc::clone(&rules.rule_set));
            log::info!(revision = rules.revision; "rules in force");
        }
    }

    /// Publishes the request snapshot, status, gauges and watcher role from the controller's state.
    pub(super) fn publish(&mut self) {
        let own_digest = self.controller.digest();
        let live_digests = || self.controller.members().live_members().map(|member| &member.digest);
        if let Some(rules) = self.controller.rules() {
            let digests: Vec<&HostDigest> = live_digests().chain([&own_digest]).collect();
            let snapshot = build_request_snapshot(&rules.rule_set, &digests);
            if **self.resources.traffic_state.request_snapshot.load() != snapshot {
                self.resources.traffic_state.request_snapshot.store(Arc::new(snapshot));
            }
        }
        let status = self.status();
        let metrics = &self.resources.metrics;
        metrics.rules_revision.store(status.rules_revision, Ordering::Relaxed);
        metrics.placement_generation.store(status.generation, Ordering::Relaxed);
        metrics.guarded_buckets.store(status.guarded_buckets as u64, Ordering::Relaxed);
        metrics.live_hosts.store(status.live_hosts as u64, Ordering::Relaxed);
        let status_json = serde_json::to_string(&status).unwrap_or_default();
        self.resources.status_json.send_if_modified(|current| {
            let changed = *current != status_json;
            if changed {
                *current = status_json;
            }
            changed
        });
        let is_watcher = self.controller.is_watcher();
        self.resources.is_watcher.send_if_modified(|current| {
            let changed = *current != is_watcher;
            *current = is_watcher;
            changed
        });
    }

    fn status(&self) -> HostStatus {
        let digest = self.controller.digest();
        let bucket_counts = |phase| {
            self.controller
                .placement()
                .tables
                .iter()
                .map(move |table| table.count_buckets_in_phase(phase))
        };
        let guarded_phases =
            [BucketPhase::Announced, BucketPhase::Collecting, BucketPhase::Settling];
        HostStatus {
            host: self.resources.settings.name.clone(),
            data_centre: self.resources.settings.data_centre.clone(),
            state: digest.state.to_string(),
            rules_revision: digest.rules_revision,
            recent_edits: self.routed_edits(digest.rules_revision),
            generation: digest.generation,
            guarded_buckets: guarded_phases.into_iter().flat_map(bucket_counts).sum(),
            live_hosts: self.controller.members().live_members().count() + 1,
        }
    }

    /// Returns the edits of the rules by which the traffic threads route; none while they still route
    /// by earlier rules than the controller's.
    fn routed_edits(&self, routed_revision: u64) -> Vec<u64> {
        let rules = self.controller.rules().filter(|rules| rules.revision == routed_revision);
        rules.map(|rules| rules.recent_edits.clone()).unwrap_or_default()
    }

    fn log_state_change(&mut self) {
        let state = self.controller.state();
        if state != self.last_logged_state {
            self.last_logged_state = state;
            log::info!(host = self.resources.settings.name.as_str(), state:% = state; "host state");
        }
    }
}

impl Actor for ControlActor {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(
        actor: Self,
        _actor_ref: ActorRef<Self>,
    ) -> std::result::Result<Self, Infallible> {
        Ok(actor)
    }

    async fn on_stop(
        &mut self,
        _actor_ref: WeakActorRef<Self>,
        _reason: kameo::error::ActorStopReason,
    ) -> std::result::Result<(), Infallible> {
        self.resources.leave_complete.send_replace(true);
        Ok(())
    }
}

impl Message<ControllerInput> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, input: ControllerInput, context: &mut Context<Self, ()>) {
        let is_tick = matches!(input, ControllerInput::Tick);
        let actor_ref = context.actor_ref().clone();
        self.handle_input(input, &actor_ref);
        if is_tick {
            self.publish();
        }
    }
}

impl Message<StoreRead> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, read: StoreRead, context: &mut Context<Self, ()>) {
        let actor_ref = context.actor_ref().clone();
        match read {
            StoreRead::Rules(reply) => match decode_stored_rules(reply.value.as_ref()) {
                Ok(stored) => {
                    self.handle_rules_input(ControllerInput::RulesRead(stored), &actor_ref)
                }
                Err(error) => log::error!(error:% = error; "stored rules cannot be used"),
            },
            StoreRead::Placement(reply) => match decode_stored_placement(reply.value.as_ref()) {
                Ok(stored) => self.handle_input(ControllerInput::PlacementRead(stored), &actor_ref),
                Err(error) => log::error!(error:% = error; "stored placement cannot be decoded"),
            },
        }
        self.publish();
    }
}

impl Message<StoreWriteFinished> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, finished: StoreWriteFinished, _context: &mut Context<Self, ()>) {
        match finished {
            StoreWriteFinished::Placement => self.is_writing_placement = false,
            StoreWriteFinished::Rules => self.is_writing_rules = false,
        }
    }
}

/// Decodes the rules that were read from the store, if it holds any.
pub(super) fn decode_stored_rules(stored: Option<&StoredValue>) -> Result<Option<StoredRules>> {
    let Some(stored) = stored else { return Ok(None) };
    decode_rules(&stored.value)?.to_stored_rules().map(Some)
}

/// Decodes the placement that was read from the store, if it holds one.
pub(super) fn decode_stored_placement(
    stored: Option<&StoredValue>,
) -> Result<Option<StoredPlacement>> {
    let Some(stored) = stored else { return Ok(None) };
    Ok(Some(Arc::new(decode_placement(&stored.value)?)))
}

/// `ApplyPeerRules` passes the rules that a peer has in force to the control actor.
#[derive(Debug)]
pub(super) struct ApplyPeerRules(pub(super) RulesDocument);

impl Message<ApplyPeerRules> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, message: ApplyPeerRules, context: &mut Context<Self, ()>) {
        let actor_ref = context.actor_ref().clone();
        match message.0.to_stored_rules() {
            Ok(rules) => self.handle_rules_input(ControllerInput::RulesReceived(rules), &actor_ref),
            Err(error) => log::error!(error:% = error; "rules of a peer cannot be used"),
        }
    }
}

/// `GetConfiguration` asks the control actor for the rules and placement in force.
#[derive(Debug)]
pub(super) struct GetConfiguration;

/// `ConfigurationReply` is the reply to [`GetConfiguration`].
#[derive(Debug, kameo::Reply)]
pub(super) struct ConfigurationReply(pub(super) PeerConfiguration);

impl Message<GetConfiguration> for ControlActor {
    type Reply = ConfigurationReply;

    async fn handle(
        &mut self,
        _message: GetConfiguration,
        _context: &mut Context<Self, ConfigurationReply>,
    ) -> ConfigurationReply {
        ConfigurationReply(self.controller.peer_configuration())
    }
}
