//! Control thread of a host that places flows by rules.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use kameo::actor::{ActorRef, Spawn};
use mustardgrade_core::flow::{PlacementMode, RecordTransfer};
use mustardgrade_core::identity::{DataCentreId, HostIncarnation};
use mustardgrade_core::membership::{
    ControllerInput, ControllerOptions, HostController, MemberTableOptions,
};
use mustardgrade_core::placement::PlannerOptions;
use mustardgrade_core::rule::RuleSet;
use mustardgrade_wire::peer::FrameSealer;
use tokio::sync::{mpsc, watch};

use super::Result;
use super::control::spawn_control_thread;
use crate::calls::CallClient;
use crate::clock::UnixClock;
use crate::control::{
    ControlActor, ControlResources, spawn_call_server, spawn_digest_receiver, spawn_store_watchers,
    spawn_ticker, spawn_transfer_sender,
};
use crate::metrics::{HostMetrics, serve_metrics};
use crate::settings::HostSettings;
use crate::store::StoreClient;
use crate::traffic::{SharedTrafficState, TrafficCommand, bind_udp};

/// `ControlThreadParts` holds what is moved to the control thread: settings, state and channels.
pub(super) struct ControlThreadParts {
    pub(super) settings: Arc<HostSettings>,
    pub(super) local_incarnation: HostIncarnation,
    pub(super) clock: UnixClock,
    pub(super) traffic_state: Arc<SharedTrafficState>,
    pub(super) metrics: Arc<HostMetrics>,
    pub(super) command_senders: Vec<mpsc::Sender<TrafficCommand>>,
    pub(super) transfer_receiver: mpsc::Receiver<RecordTransfer>,
    pub(super) rules_sender: watch::Sender<Arc<RuleSet>>,
    pub(super) status_sender: watch::Sender<String>,
    pub(super) leave_complete_sender: watch::Sender<bool>,
    pub(super) leave_receiver: watch::Receiver<bool>,
    pub(super) stop_receiver: watch::Receiver<bool>,
}

impl ControlThreadParts {
    /// Starts the control thread; its sockets are bound when this returns.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound, the thread cannot be started, or the store client cannot
    /// be created.
    pub(super) fn spawn(self) -> Result<JoinHandle<()>> {
        let stop = self.stop_receiver.clone();
        spawn_control_thread(move || self.start(), stop, || ())
    }

    async fn start(self) -> Result<()> {
        let address = self.settings.address;
        let ports = self.settings.ports;
        let keys = self.settings.keys.clone();
        let digest_socket = Arc::new(bind_udp(address, ports.peer)?);
        let call_client =
            CallClient::new(self.local_incarnation, &keys, ports.call, Arc::clone(&self.metrics));
        let store =
            StoreClient::new(&self.settings.platform_url, self.settings.platform_token.clone())?;
        let (is_watcher_sender, is_watcher_receiver) = watch::channel(false);
        let status_receiver = self.status_sender.subscribe();
        let controller =
            HostController::new(controller_options(&self.settings, self.local_incarnation));
        let resources = ControlResources {
            settings: Arc::clone(&self.settings),
            clock: self.clock,
            traffic_state: Arc::clone(&self.traffic_state),
            metrics: Arc::clone(&self.metrics),
            traffic_threads: self.command_senders.clone(),
            digest_socket: Arc::clone(&digest_socket),
            call_client: call_client.clone(),
            store: store.clone(),
            rules: self.rules_sender,
            is_watcher: is_watcher_sender,
            status_json: self.status_sender,
            leave_complete: self.leave_complete_sender,
        };
        let sealer = FrameSealer::new(self.local_incarnation, 0, keys.clone());
        let actor = ControlActor::spawn(ControlActor::new(controller, resources, sealer));
        let call_address = SocketAddr::from((address, ports.call));
        spawn_call_server(
            actor.clone(),
            call_address,
            self.local_incarnation,
            keys.clone(),
            Arc::clone(&self.metrics),
            self.command_senders,
        )
        .await?;
        spawn_digest_receiver(actor.clone(), digest_socket, keys, Arc::clone(&self.metrics));
        spawn_store_watchers(actor.clone(), store, Arc::clone(&self.metrics), is_watcher_receiver);
        spawn_transfer_sender(
            self.transfer_receiver,
            call_client,
            Arc::clone(&self.metrics),
            self.traffic_state,
        );
        spawn_ticker(actor.clone());
        spawn_leave_listener(actor, self.leave_receiver);
        let metrics_address = SocketAddr::from((address, ports.metrics));
        let status = move || status_receiver.borrow().clone();
        tokio::spawn(serve_metrics(metrics_address, self.metrics, status).await?);
        Ok(())
    }
}

fn spawn_leave_listener(actor: ActorRef<ControlActor>, mut leave: watch::Receiver<bool>) {
    tokio::spawn(async move {
        if leave.wait_for(|leave| *leave).await.is_ok() {
            let _actor_stopped = actor.tell(ControllerInput::LeaveRequested).await;
        }
    });
}

fn controller_options(
    settings: &HostSettings,
    local_incarnation: HostIncarnation,
) -> ControllerOptions {
    ControllerOptions {
        local_incarnation,
        address: settings.address,
        data_centre: DataCentreId::from_name(&settings.data_centre),
        seeds: settings.seed_hosts.clone(),
        placement_mode: settings.flow.placement_mode,
        member_table: MemberTableOptions::default(),
        planner: PlannerOptions {
            guards_enabled: settings.flow.placement_mode == PlacementMode::Guarded,
            collecting_duration: settings.flow.collecting_duration,
            ..PlannerOptions::default()
        },
    }
}
