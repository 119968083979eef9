//! Actor that owns the controller of a host.

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

/// `PlacementWriteFinished` tells the control actor that a placement write has ended, successfully
/// or not.
#[derive(Debug)]
pub struct PlacementWriteFinished;

/// `ControlActor` owns the [`HostController`] and performs its outputs.
#[derive(Debug)]
pub struct ControlActor {
    pub(super) controller: HostController,
    pub(super) resources: ControlResources,
    pub(super) sealer: FrameSealer,
    pub(super) rules_document: Option<Arc<RulesDocument>>,
    pub(super) is_writing_placement: bool,
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
            rules_document: None,
            is_writing_placement: false,
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

    /// Puts the rules of a document in force if its revision is newer than the current one.
    pub(super) fn apply_rules_document(
        &mut self,
        document: RulesDocument,
        actor_ref: &ActorRef<Self>,
    ) {
        let current_revision = self.rules_document.as_ref().map_or(0, |current| current.revision);
        if document.revision <= current_revision {
            return;
        }
        match document.parse_rule_set() {
            Ok(rule_set) => {
                let revision = document.revision;
                let rule_set = Arc::new(rule_set);
                self.resources.rules.send_replace(Arc::clone(&rule_set));
                self.rules_document = Some(Arc::new(document));
                log::info!(revision; "rules in force");
                self.handle_input(
                    ControllerInput::RulesReceived(StoredRules { revision, rule_set }),
                    actor_ref,
                );
            }
            Err(error) => log::error!(error:% = error; "invalid rules document ignored"),
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
            generation: digest.generation,
            guarded_buckets: guarded_phases.into_iter().flat_map(bucket_counts).sum(),
            live_hosts: self.controller.members().live_members().count() + 1,
        }
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

    async fn on_start(actor: Self, _actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(actor)
    }

    async fn on_stop(
        &mut self,
        _actor_ref: WeakActorRef<Self>,
        _reason: kameo::error::ActorStopReason,
    ) -> Result<(), Infallible> {
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
            StoreRead::Rules(reply) => {
                let Some(stored) = reply.value else { return };
                match decode_rules(&stored.value) {
                    Ok(document) => self.apply_rules_document(document, &actor_ref),
                    Err(error) => log::error!(error:% = error; "stored rules cannot be decoded"),
                }
            }
            StoreRead::Placement(reply) => {
                let Some(stored) = reply.value else { return };
                match decode_placement(&stored.value) {
                    Ok(placement) => self.handle_input(
                        ControllerInput::PlacementReceived(Arc::new(placement)),
                        &actor_ref,
                    ),
                    Err(error) => {
                        log::error!(error:% = error; "stored placement cannot be decoded")
                    }
                }
            }
        }
        self.publish();
    }
}

impl Message<PlacementWriteFinished> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, _message: PlacementWriteFinished, _context: &mut Context<Self, ()>) {
        self.is_writing_placement = false;
    }
}

/// `ApplyPeerRules` passes the rules that a peer has in force to the control actor.
#[derive(Debug)]
pub(super) struct ApplyPeerRules(pub(super) RulesDocument);

impl Message<ApplyPeerRules> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, message: ApplyPeerRules, context: &mut Context<Self, ()>) {
        let actor_ref = context.actor_ref().clone();
        self.apply_rules_document(message.0, &actor_ref);
    }
}

/// `GetConfiguration` asks the control actor for the rules and placement in force.
#[derive(Debug)]
pub(super) struct GetConfiguration;

/// `ConfigurationReply` is the reply to [`GetConfiguration`].
#[derive(Debug, kameo::Reply)]
pub(super) struct ConfigurationReply {
    pub(super) rules_document: Option<Arc<RulesDocument>>,
    pub(super) configuration: PeerConfiguration,
}

impl Message<GetConfiguration> for ControlActor {
    type Reply = ConfigurationReply;

    async fn handle(
        &mut self,
        _message: GetConfiguration,
        _context: &mut Context<Self, ConfigurationReply>,
    ) -> ConfigurationReply {
        ConfigurationReply {
            rules_document: self.rules_document.clone(),
            configuration: self.controller.peer_configuration(),
        }
    }
}
