//! Actor that runs the watch controller and performs its outputs.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::error::Infallible;
use kameo::message::{Context, Message};
use mustardgrade_core::clock::Clock;
use mustardgrade_core::registry::StorePosition;
use mustardgrade_core::watch::{
    ChangeBatch, FleetMemberState, FleetMessage, RouteServicesWrite, StoreCall, WatchController,
    WatchInput, WatchOutput,
};
use mustardgrade_wire::peer::{FrameSealer, PeerCall, PeerMessage, PeerReply};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::adapters::RegistryStore;
use super::admin_pages::{StatusPage, render_rules_page};
use super::event_log::EventLog;
use super::shared_state::{BuiltLoadReport, SharedState};
use crate::calls::CallClient;
use crate::clock::UnixClock;
use crate::metrics::{HostMetrics, SentByteKind};

/// Maximum length of a datagram with changes. Above it only the digest is sent, and the receiver
/// requests the changes by a call.
const MAX_CHANGES_DATAGRAM_BYTES: usize = 1_200;

/// `RegistryActorResources` are the sockets, clients and shared state that the actor uses.
pub struct RegistryActorResources {
    /// Name of the host in log lines and on the status page.
    pub(crate) host_name: String,
    /// Clock shared with the traffic thread.
    pub(crate) clock: UnixClock,
    /// State shared with the traffic thread.
    pub(crate) shared: Arc<SharedState>,
    /// Metrics of the host.
    pub(crate) metrics: Arc<HostMetrics>,
    /// UDP socket for messages to other hosts.
    pub(crate) digest_socket: Arc<UdpSocket>,
    /// UDP port on which the other hosts receive messages.
    pub(crate) peer_digest_port: u16,
    /// Client for calls to other hosts.
    pub(crate) call_client: CallClient,
    /// Client of the platform's store.
    pub(crate) store: Box<dyn RegistryStore>,
    /// Publishes whether the host is ready for traffic.
    pub(crate) ready_sender: watch::Sender<bool>,
    /// Publishes the status page as JSON.
    pub(crate) status_sender: watch::Sender<String>,
}

impl std::fmt::Debug for RegistryActorResources {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RegistryActorResources")
            .field("host_name", &self.host_name)
            .finish_non_exhaustive()
    }
}

/// `RegistryActor` owns the [`WatchController`] and performs its outputs.
#[derive(Debug)]
pub struct RegistryActor {
    controller: WatchController,
    resources: RegistryActorResources,
    sealer: FrameSealer,
    store_call_task: Option<JoinHandle<()>>,
    store_call_number: u64,
    write_task: Option<JoinHandle<()>>,
    write_number: u64,
    last_load_report: Arc<BuiltLoadReport>,
    last_tick_at: Option<Duration>,
    event_log: EventLog,
}

impl RegistryActor {
    /// Creates the actor; no store call is in progress.
    #[must_use]
    pub fn new(
        controller: WatchController,
        resources: RegistryActorResources,
        sealer: FrameSealer,
    ) -> Self {
        Self {
            controller,
            resources,
            sealer,
            store_call_task: None,
            store_call_number: 0,
            write_task: None,
            write_number: 0,
            last_load_report: Arc::default(),
            last_tick_at: None,
            event_log: EventLog::default(),
        }
    }

    fn handle_input(&mut self, input: WatchInput, actor_ref: &ActorRef<Self>) {
        let now = self.resources.clock.now();
        let mut outputs = Vec::new();
        self.controller.handle(input, now, &mut outputs);
        // Several changes in one input need a single new snapshot.
        let needs_snapshot = outputs.contains(&WatchOutput::InstallSnapshot);
        for output in outputs.into_iter().filter(|output| *output != WatchOutput::InstallSnapshot) {
            self.perform_output(output, actor_ref);
        }
        if needs_snapshot {
            self.perform_output(WatchOutput::InstallSnapshot, actor_ref);
        }
        self.publish_status();
    }

    /// Returns the time since the view of the store was last confirmed; `None` if it never was.
    pub(super) fn confirmation_age(&self) -> Option<Duration> {
        self.controller.status(self.resources.clock.now()).confirmation_age
    }

    /// Records the time since the previous tick.
    fn observe_tick(&mut self) {
        let now = self.resources.clock.now();
        if let Some(last_tick_at) = self.last_tick_at.replace(now) {
            let interval = now.saturating_sub(last_tick_at);
            self.resources.metrics.control_tick_seconds.observe(interval.as_secs_f64());
        }
    }

    /// Passes the load report of the traffic thread to the controller if it is a new one.
    fn handle_load_report(&mut self, actor_ref: &ActorRef<Self>) {
        let built = self.resources.shared.load_report.load_full();
        if Arc::ptr_eq(&built, &self.last_load_report) {
            return;
        }
        self.last_load_report = Arc::clone(&built);
        let mut report = built.report.clone();
        // A stall of the host may lie between the building of the report and now.
        report.add_age(self.resources.clock.now().saturating_sub(built.built_at));
        self.handle_input(WatchInput::LocalLoad(report), actor_ref);
    }

    fn perform_output(&mut self, output: WatchOutput, actor_ref: &ActorRef<Self>) {
        match output {
            WatchOutput::Send { to, message } => self.send_message(to, message),
            WatchOutput::RequestChanges { to, after } => self.request_changes(to, after, actor_ref),
            WatchOutput::CallStore(call) => self.start_store_call(call, actor_ref),
            WatchOutput::WriteRouteServices(write) => self.start_write(write, actor_ref),
            WatchOutput::InstallSnapshot => {
                self.resources.shared.snapshot.store(Arc::new(self.controller.snapshot()));
            }
            WatchOutput::InstallPeerLoads(loads) => {
                self.resources.shared.peer_loads.store(Arc::new(loads))
            }
            WatchOutput::Event(event) => {
                self.event_log.write(&event, &self.resources.host_name, self.resources.clock.now());
            }
        }
    }

    fn send_message(&mut self, to: Ipv4Addr, message: FleetMessage) {
        let mut frame = self.sealer.seal(&PeerMessage::Fleet(message.clone()), &[]);
        if let (true, Some(digest)) = (frame.len() > MAX_CHANGES_DATAGRAM_BYTES, message.digest()) {
            let digest = FleetMessage::Digest(digest.clone());
            frame = self.sealer.seal(&PeerMessage::Fleet(digest), &[]);
        }
        self.resources.metrics.add_sent_bytes(SentByteKind::Control, frame.len());
        let to = SocketAddr::from((to, self.resources.peer_digest_port));
        if self.resources.digest_socket.try_send_to(&frame, to).is_err() {
            self.resources.metrics.overflows.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn request_changes(&self, to: Ipv4Addr, after: StorePosition, actor_ref: &ActorRef<Self>) {
        let call_client = self.resources.call_client.clone();
        let actor_ref = actor_ref.clone();
        tokio::spawn(async move {
            let batch = match call_client.call(to, &PeerCall::RegistryChanges { after }).await {
                Ok(PeerReply::RegistryChanges(batch)) => Some(batch),
                Ok(_) => None,
                Err(error) => {
                    log::info!(host:% = to, error:% = error; "request for changes failed");
                    None
                }
            };
            let _actor_stopped = actor_ref.tell(WatchInput::Changes { from: to, batch }).await;
        });
    }

    fn start_store_call(&mut self, call: StoreCall, actor_ref: &ActorRef<Self>) {
        self.resources.metrics.store_calls.fetch_add(1, Ordering::Relaxed);
        if let Some(previous) = self.store_call_task.take() {
            previous.abort();
        }
        self.store_call_number += 1;
        let call_number = self.store_call_number;
        let reply = self.resources.store.call(call);
        let actor_ref = actor_ref.clone();
        let metrics = Arc::clone(&self.resources.metrics);
        self.store_call_task = Some(tokio::spawn(async move {
            let result = reply.await;
            if result.is_err() {
                metrics.store_failures.fetch_add(1, Ordering::Relaxed);
            }
            let _actor_stopped = actor_ref
                .tell(StoreCallResult { call_number, input: WatchInput::StoreResult(result) })
                .await;
        }));
    }

    /// Starts a write, beside the store call in progress; an earlier write is no longer awaited.
    fn start_write(&mut self, write: RouteServicesWrite, actor_ref: &ActorRef<Self>) {
        self.resources.metrics.store_calls.fetch_add(1, Ordering::Relaxed);
        if let Some(previous) = self.write_task.take() {
            previous.abort();
        }
        self.write_number += 1;
        let write_number = self.write_number;
        let reply = self.resources.store.write(write);
        let actor_ref = actor_ref.clone();
        self.write_task = Some(tokio::spawn(async move {
            let input = WatchInput::WriteResult(reply.await);
            let _actor_stopped = actor_ref.tell(NumberedWriteResult { write_number, input }).await;
        }));
    }

    /// Tells the traffic thread when the registry was last confirmed to be current.
    fn publish_confirmation(&self, age: Option<Duration>) {
        let confirmed_at = age.map(|age| self.resources.clock.now().saturating_sub(age));
        let confirmed_ms = confirmed_at.map_or(0, |at| at.as_millis() as u64);
        self.resources.shared.registry_confirmed_ms.store(confirmed_ms, Ordering::Relaxed);
    }

    /// Updates the gauges; publishes readiness and status, with a log line, when readiness changes.
    fn publish_status(&self) {
        let status = self.controller.status(self.resources.clock.now());
        let ready = status.state == FleetMemberState::Ready && !self.controller.is_isolated();
        let changed = |current: &mut bool| std::mem::replace(current, ready) != ready;
        if self.resources.ready_sender.send_if_modified(changed) {
            log::info!(
                host = self.resources.host_name.as_str(), state:% = status.state, ready;
                "host state"
            );
            let page = StatusPage::new(&self.resources.host_name, &status);
            self.resources.status_sender.send_replace(page.to_json());
        }
        self.publish_confirmation(status.confirmation_age);
        let metrics = &self.resources.metrics;
        metrics.rules_revision.store(status.position.revision, Ordering::Relaxed);
        metrics.store_epoch.store(status.position.epoch, Ordering::Relaxed);
        metrics.live_hosts.store(status.live_hosts as u64, Ordering::Relaxed);
        metrics.registry_reads.store(status.registry_reads, Ordering::Relaxed);
        metrics.ignored_changes.store(status.ignored_changes, Ordering::Relaxed);
        metrics.service_writes.publish(status.service_writes);
    }
}

impl Actor for RegistryActor {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(state: Self, _actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(state)
    }

    async fn on_stop(
        &mut self,
        _actor_ref: WeakActorRef<Self>,
        _reason: kameo::error::ActorStopReason,
    ) -> Result<(), Infallible> {
        for task in [self.store_call_task.take(), self.write_task.take()].into_iter().flatten() {
            task.abort();
        }
        Ok(())
    }
}

impl Message<WatchInput> for RegistryActor {
    type Reply = ();

    async fn handle(&mut self, input: WatchInput, context: &mut Context<Self, ()>) {
        let actor_ref = context.actor_ref().clone();
        if input == WatchInput::Tick {
            self.observe_tick();
            self.handle_load_report(&actor_ref);
        }
        self.handle_input(input, &actor_ref);
    }
}

/// `StoreCallResult` is the result of a store call, with the number of the call.
#[derive(Debug)]
struct StoreCallResult {
    call_number: u64,
    input: WatchInput,
}

impl Message<StoreCallResult> for RegistryActor {
    type Reply = ();

    async fn handle(&mut self, result: StoreCallResult, context: &mut Context<Self, ()>) {
        // The result of a cancelled call may already be in the queue of the actor.
        if result.call_number == self.store_call_number {
            let actor_ref = context.actor_ref().clone();
            self.handle_input(result.input, &actor_ref);
        }
    }
}

/// `NumberedWriteResult` is the result of a write, with the number of the write.
#[derive(Debug)]
struct NumberedWriteResult {
    write_number: u64,
    input: WatchInput,
}

impl Message<NumberedWriteResult> for RegistryActor {
    type Reply = ();

    async fn handle(&mut self, result: NumberedWriteResult, context: &mut Context<Self, ()>) {
        if result.write_number == self.write_number {
            let actor_ref = context.actor_ref().clone();
            self.handle_input(result.input, &actor_ref);
        }
    }
}

/// `ReadChanges` requests the registry changes after a position, for another host.
#[derive(Debug)]
pub(super) struct ReadChanges(pub(super) StorePosition);

/// `ChangesReply` is the reply to [`ReadChanges`].
#[derive(Debug, kameo::Reply)]
pub(super) struct ChangesReply(pub(super) ChangeBatch);

impl Message<ReadChanges> for RegistryActor {
    type Reply = ChangesReply;

    async fn handle(
        &mut self,
        request: ReadChanges,
        _context: &mut Context<Self, ChangesReply>,
    ) -> ChangesReply {
        ChangesReply(self.controller.changes_after(request.0, self.resources.clock.now()))
    }
}

/// `ReadAdminPages` requests the contents of the admin pages.
#[derive(Debug)]
pub(super) struct ReadAdminPages;

/// `AdminPagesReply` is the reply to [`ReadAdminPages`]: the status as JSON, the rules as text.
#[derive(Debug, kameo::Reply)]
pub(super) struct AdminPagesReply {
    pub(super) status: String,
    pub(super) rules: String,
}

impl Message<ReadAdminPages> for RegistryActor {
    type Reply = AdminPagesReply;

    async fn handle(
        &mut self,
        _request: ReadAdminPages,
        _context: &mut Context<Self, AdminPagesReply>,
    ) -> AdminPagesReply {
        let status = self.controller.status(self.resources.clock.now());
        let status = StatusPage::new(&self.resources.host_name, &status);
        AdminPagesReply {
            status: status.to_json(),
            rules: render_rules_page(self.controller.registry()),
        }
    }
}

/// `ReloadSettings` are the settings that can change while the host runs.
pub struct ReloadSettings {
    /// Addresses of the configured seed hosts.
    pub seed_hosts: Vec<Ipv4Addr>,
    /// New client of the platform's store.
    pub store: Box<dyn RegistryStore>,
}

impl std::fmt::Debug for ReloadSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ReloadSettings")
            .field("seed_hosts", &self.seed_hosts)
            .finish_non_exhaustive()
    }
}

impl Message<ReloadSettings> for RegistryActor {
    type Reply = ();

    async fn handle(&mut self, reload: ReloadSettings, context: &mut Context<Self, ()>) {
        let actor_ref = context.actor_ref().clone();
        self.resources.store = reload.store;
        self.handle_input(WatchInput::SeedHosts(reload.seed_hosts), &actor_ref);
    }
}
