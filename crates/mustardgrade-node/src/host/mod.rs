//! An entry host: all its threads, from start to stop.

mod control;
mod errors;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use mustardgrade_core::clock::Clock;
use mustardgrade_core::flow::{FlowOptions, PlacementMode, RecordTransfer};
use mustardgrade_core::identity::{DataCentreId, HostId, HostIncarnation};
use mustardgrade_core::membership::{
    ControllerInput, ControllerOptions, HostController, MemberTableOptions,
};
use mustardgrade_core::placement::PlannerOptions;
use mustardgrade_core::request::{RequestOptions, TicketKey};
use mustardgrade_core::rule::RuleSet;
use mustardgrade_wire::peer::FrameSealer;
use tokio::sync::{mpsc, watch};

use crate::calls::CallClient;
use crate::clock::UnixClock;
use crate::control::{
    ControlActor, ControlResources, spawn_call_server, spawn_digest_receiver, spawn_store_watchers,
    spawn_ticker, spawn_transfer_sender,
};
use crate::fleet::{
    FleetEdges, FleetSettings, FleetSwitches, FleetThreads, ReloadFleet, start_fleet,
};
use crate::metrics::{HostMetrics, serve_metrics};
use crate::requests::{RequestChannels, RequestSettings, spawn_request_thread};
use crate::settings::HostSettings;
use crate::store::StoreClient;
use crate::traffic::{
    SharedTrafficState, TrafficCommand, TrafficThreadChannels, TrafficThreadSettings, bind_udp,
    spawn_traffic_thread,
};

pub(crate) use control::spawn_control;
pub use errors::{HostError, Result};

/// Commands that wait for a traffic thread.
const LANE_QUEUE: usize = 1_024;

/// Packets with requests that wait for the request thread; more are dropped and counted.
const REQUEST_QUEUE: usize = 4_096;

/// Record lists that wait to be handed over.
const TRANSFER_QUEUE: usize = 256;

/// Longest time that a graceful stop takes beyond what the settings allow.
const STOP_MARGIN: Duration = Duration::from_millis(250);

/// Longest time that a graceful stop takes.
const STOP_PATIENCE: Duration = Duration::from_secs(10);

/// Time between two looks at a stopping host.
const STOP_POLL: Duration = Duration::from_millis(20);

/// `EntryHost` is a running entry host.
#[derive(Debug)]
pub struct EntryHost {
    name: String,
    metrics: Arc<HostMetrics>,
    status: watch::Receiver<String>,
    leave: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    stopped: watch::Receiver<bool>,
    idle: watch::Receiver<bool>,
    reload: Option<mpsc::Sender<ReloadFleet>>,
    patience: Duration,
    threads: Vec<JoinHandle<()>>,
}

impl EntryHost {
    /// Starts a host; its sockets are bound when this returns.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound, a thread cannot be started, or the store's address is
    /// unusable.
    pub fn start(settings: HostSettings) -> Result<Self> {
        let settings = Arc::new(settings);
        let clock = UnixClock::new();
        let me = HostIncarnation {
            host: HostId::from_name(&settings.name),
            // Milliseconds since the epoch: a restarted host counts as newer.
            incarnation: clock.now().as_millis() as u64,
        };
        let lanes = settings.flow.traffic_threads;
        let metrics = HostMetrics::new(usize::from(lanes));
        let shared = SharedTrafficState::new();
        let (leave, leave_seen) = watch::channel(false);
        let (stop, stop_seen) = watch::channel(false);
        let (idle_sender, idle) = watch::channel(false);
        let (rules, rules_seen) = watch::channel(Arc::new(RuleSet::default()));
        let (packets, packets_seen) = mpsc::channel(REQUEST_QUEUE);
        let (transfers, transfers_seen) = mpsc::channel(TRANSFER_QUEUE);
        let mut threads = Vec::new();
        let mut commands = Vec::new();
        for lane in 0..lanes {
            let (sender, receiver) = mpsc::channel(LANE_QUEUE);
            commands.push(sender);
            threads.push(spawn_traffic_thread(
                lane_settings(&settings, me, lane),
                Arc::clone(&shared),
                Arc::clone(&metrics),
                clock,
                TrafficThreadChannels {
                    commands: receiver,
                    request_packets: packets.clone(),
                    transfers: transfers.clone(),
                    stop_requested: stop_seen.clone(),
                },
            )?);
        }
        threads.push(spawn_request_thread(
            request_settings(&settings, me),
            Arc::clone(&shared),
            Arc::clone(&metrics),
            clock,
            RequestChannels {
                packets: packets_seen,
                rules: rules_seen,
                leave_requested: leave_seen.clone(),
                is_idle: idle_sender,
                stop_requested: stop_seen.clone(),
            },
        )?);
        let (status_sender, status) = watch::channel(String::from("{}"));
        let (stopped_sender, stopped) = watch::channel(false);
        let control = ControlThread {
            settings: Arc::clone(&settings),
            me,
            clock,
            shared,
            metrics: Arc::clone(&metrics),
            commands,
            transfers: transfers_seen,
            rules,
            status: status_sender,
            stopped: stopped_sender,
            leave: leave_seen,
            stop: stop_seen,
        };
        threads.push(control.spawn()?);
        let name = settings.name.clone();
        Ok(Self {
            name,
            metrics,
            status,
            leave,
            stop,
            stopped,
            idle,
            reload: None,
            patience: STOP_PATIENCE,
            threads,
        })
    }

    /// Starts a host that places flows by cookie, between the edges of a platform.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound or a thread cannot be started.
    pub fn start_with_edges(settings: FleetSettings, edges: FleetEdges) -> Result<Self> {
        let (leave, leave_seen) = watch::channel(false);
        let (stop, stop_seen) = watch::channel(false);
        let (stopped_sender, stopped) = watch::channel(false);
        let (status_sender, status) = watch::channel(String::from("{}"));
        // Flows stay with their upstreams: nothing else has to finish before the stop.
        let (_idle_sender, idle) = watch::channel(true);
        let name = settings.name.clone();
        let patience = settings.stop_time + STOP_MARGIN;
        let switches = FleetSwitches {
            leave: leave_seen,
            stop: stop_seen,
            stopped: stopped_sender,
            status: status_sender,
        };
        let FleetThreads { threads, metrics, reload } = start_fleet(settings, edges, switches)?;
        Ok(Self {
            name,
            metrics,
            status,
            leave,
            stop,
            stopped,
            idle,
            reload: Some(reload),
            patience,
            threads,
        })
    }

    /// Hands changed settings to a host that places flows by cookie; returns whether it took them.
    #[must_use]
    pub fn reload(&self, reload: ReloadFleet) -> bool {
        self.reload.as_ref().is_some_and(|sender| sender.try_send(reload).is_ok())
    }

    /// Returns the name of the host.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the metrics of the host.
    #[must_use]
    pub fn metrics(&self) -> &Arc<HostMetrics> {
        &self.metrics
    }

    /// Returns the status of the host as JSON.
    #[must_use]
    pub fn status(&self) -> String {
        self.status.borrow().clone()
    }

    /// Hands over, finishes what runs, and stops, in bounded time.
    ///
    /// Returns whether everything was handed over and finished.
    pub fn stop(self) -> bool {
        self.leave.send_replace(true);
        let limit = std::time::Instant::now() + self.patience;
        let finished = || *self.stopped.borrow() && *self.idle.borrow();
        while !finished() && std::time::Instant::now() < limit {
            std::thread::sleep(STOP_POLL);
        }
        let graceful = finished();
        self.kill();
        graceful
    }

    /// Ends all threads at once, as a failure would.
    pub fn kill(self) {
        self.stop.send_replace(true);
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!(host = self.name.as_str(); "a thread of the host had panicked");
            }
        }
    }
}

fn lane_settings(settings: &HostSettings, me: HostIncarnation, lane: u8) -> TrafficThreadSettings {
    TrafficThreadSettings {
        local_incarnation: me,
        address: settings.address,
        fabric_return: settings.fabric_return,
        ports: settings.ports,
        keys: settings.keys.clone(),
        options: FlowOptions {
            mode: settings.flow.placement,
            fingerprint_seed: fingerprint_seed(&settings.secret),
            flow_capacity: settings.flow.capacity,
            record_capacity: settings.flow.records,
            idle_timeout: settings.flow.idle,
            lane,
            lane_count: settings.flow.traffic_threads,
            ..FlowOptions::default()
        },
    }
}

/// Derives the fingerprint seed, so that callers cannot aim flows at one bucket.
#[must_use]
pub fn fingerprint_seed(secret: &[u8]) -> u64 {
    let mut context = b"mustardgrade 2026 flow fingerprint".to_vec();
    context.extend_from_slice(secret);
    HostId::from_name(&String::from_utf8_lossy(&context)).0
}

fn request_settings(settings: &HostSettings, me: HostIncarnation) -> RequestSettings {
    let data_centre = DataCentreId::from_name(&settings.data_centre);
    let key = TicketKey::derive(&settings.secret);
    let seed = me.host.0 ^ me.incarnation.rotate_left(32) ^ rand::random::<u64>();
    RequestSettings {
        local_incarnation: me,
        address: settings.address,
        fabric_return: settings.fabric_return,
        ports: settings.ports,
        keys: settings.keys.clone(),
        options: RequestOptions { seed, ..RequestOptions::new(me, data_centre, key) },
    }
}

/// `ControlThread` is everything that the control thread starts with.
struct ControlThread {
    settings: Arc<HostSettings>,
    me: HostIncarnation,
    clock: UnixClock,
    shared: Arc<SharedTrafficState>,
    metrics: Arc<HostMetrics>,
    commands: Vec<mpsc::Sender<TrafficCommand>>,
    transfers: mpsc::Receiver<RecordTransfer>,
    rules: watch::Sender<Arc<RuleSet>>,
    status: watch::Sender<String>,
    stopped: watch::Sender<bool>,
    leave: watch::Receiver<bool>,
    stop: watch::Receiver<bool>,
}

impl ControlThread {
    fn spawn(self) -> Result<JoinHandle<()>> {
        let stop = self.stop.clone();
        spawn_control(move || self.start(), stop, || ())
    }

    async fn start(self) -> Result<()> {
        let address = self.settings.address;
        let ports = self.settings.ports;
        let keys = self.settings.keys.clone();
        let socket = Arc::new(bind_udp(address, ports.peer)?);
        let calls = CallClient::new(self.me, &keys, ports.call, Arc::clone(&self.metrics));
        let store =
            StoreClient::new(&self.settings.platform_url, self.settings.platform_token.clone())?;
        let (watching, watching_seen) = watch::channel(false);
        let status_seen = self.status.subscribe();
        let controller = HostController::new(controller_options(&self.settings, self.me));
        let links = ControlResources {
            settings: Arc::clone(&self.settings),
            clock: self.clock,
            traffic_state: Arc::clone(&self.shared),
            metrics: Arc::clone(&self.metrics),
            traffic_threads: self.commands.clone(),
            digest_socket: Arc::clone(&socket),
            call_client: calls.clone(),
            store: store.clone(),
            rules: self.rules,
            is_watcher: watching,
            status_json: self.status,
            stopped: self.stopped,
        };
        let sealer = FrameSealer::new(self.me, 0, keys.clone());
        let actor = ControlActor::spawn(ControlActor::new(controller, links, sealer));
        let call_address = SocketAddr::from((address, ports.call));
        spawn_call_server(
            actor.clone(),
            call_address,
            self.me,
            keys.clone(),
            Arc::clone(&self.metrics),
            self.commands,
        )
        .await?;
        spawn_digest_receiver(actor.clone(), socket, keys, Arc::clone(&self.metrics));
        spawn_store_watchers(actor.clone(), store, Arc::clone(&self.metrics), watching_seen);
        spawn_transfer_sender(self.transfers, calls, Arc::clone(&self.metrics), self.shared);
        spawn_ticker(actor.clone());
        spawn_leave(actor, self.leave);
        let metrics_address = SocketAddr::from((address, ports.metrics));
        let status = move || status_seen.borrow().clone();
        tokio::spawn(serve_metrics(metrics_address, self.metrics, status).await?);
        Ok(())
    }
}

fn spawn_leave(actor: ActorRef<ControlActor>, mut leave: watch::Receiver<bool>) {
    tokio::spawn(async move {
        if leave.wait_for(|leave| *leave).await.is_ok() {
            let _gone = actor.tell(ControllerInput::LeaveRequested).await;
        }
    });
}

fn controller_options(settings: &HostSettings, me: HostIncarnation) -> ControllerOptions {
    ControllerOptions {
        own_incarnation: me,
        address: settings.address,
        data_centre: DataCentreId::from_name(&settings.data_centre),
        seeds: settings.peers.clone(),
        placement_mode: settings.flow.placement,
        member_table: MemberTableOptions::default(),
        planner: PlannerOptions {
            guards_enabled: settings.flow.placement == PlacementMode::Guarded,
            collecting_duration: settings.flow.collect,
            ..PlannerOptions::default()
        },
    }
}
