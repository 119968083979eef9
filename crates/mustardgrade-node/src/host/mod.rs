//! Starts, reloads and stops the threads of an entry host.

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
use crate::cookie_host::{
    CookieHostSettings, CookieHostThreads, LifecycleChannels, PlatformAdapters, ReloadSettings,
    start_cookie_threads,
};
use crate::metrics::{HostMetrics, serve_metrics};
use crate::requests::{RequestChannels, RequestSettings, spawn_request_thread};
use crate::settings::HostSettings;
use crate::store::StoreClient;
use crate::traffic::{
    SharedTrafficState, TrafficCommand, TrafficThreadChannels, TrafficThreadSettings, bind_udp,
    spawn_traffic_thread,
};

pub(crate) use control::spawn_control_thread;
pub use errors::{HostError, Result};

/// Maximum number of queued commands per traffic thread.
const COMMAND_QUEUE_CAPACITY: usize = 1_024;

/// Maximum number of request packets queued for the request thread; further ones are dropped and
/// counted.
const REQUEST_QUEUE_CAPACITY: usize = 4_096;

/// Maximum number of record transfers queued for the control thread.
const TRANSFER_QUEUE_CAPACITY: usize = 256;

/// Time beyond the configured stop timeout after which a host that routes by cookie stops
/// regardless of its leave phase.
const STOP_TIMEOUT_MARGIN: Duration = Duration::from_millis(250);

/// Time after which a host that places flows by rules stops regardless of handover and open
/// requests.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a stop checks whether handover and requests are complete.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// `EntryHost` is the handle of a running entry host.
#[derive(Debug)]
pub struct EntryHost {
    name: String,
    metrics: Arc<HostMetrics>,
    status_receiver: watch::Receiver<String>,
    leave_sender: watch::Sender<bool>,
    stop_sender: watch::Sender<bool>,
    leave_complete: watch::Receiver<bool>,
    requests_idle: watch::Receiver<bool>,
    reload_sender: Option<mpsc::Sender<ReloadSettings>>,
    stop_timeout: Duration,
    threads: Vec<JoinHandle<()>>,
}

impl EntryHost {
    /// Starts a host that places flows by rules; its sockets are bound when this returns.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound, a thread cannot be started, or the store client cannot be
    /// created.
    pub fn start(settings: HostSettings) -> Result<Self> {
        let settings = Arc::new(settings);
        let clock = UnixClock::new();
        let local_incarnation = HostIncarnation {
            host: HostId::from_name(&settings.name),
            // Milliseconds since the epoch, so that a restarted host has a higher incarnation.
            incarnation: clock.now().as_millis() as u64,
        };
        let traffic_thread_count = settings.flow.traffic_threads;
        let metrics = HostMetrics::new(usize::from(traffic_thread_count));
        let traffic_state = SharedTrafficState::new();
        let (leave_sender, leave_receiver) = watch::channel(false);
        let (stop_sender, stop_receiver) = watch::channel(false);
        let (requests_idle_sender, requests_idle) = watch::channel(false);
        let (rules_sender, rules_receiver) = watch::channel(Arc::new(RuleSet::default()));
        let (packet_sender, packet_receiver) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let (transfer_sender, transfer_receiver) = mpsc::channel(TRANSFER_QUEUE_CAPACITY);
        let mut threads = Vec::new();
        let mut command_senders = Vec::new();
        for lane in 0..traffic_thread_count {
            let (sender, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
            command_senders.push(sender);
            threads.push(spawn_traffic_thread(
                traffic_thread_settings(&settings, local_incarnation, lane),
                Arc::clone(&traffic_state),
                Arc::clone(&metrics),
                clock,
                TrafficThreadChannels {
                    commands: receiver,
                    request_packets: packet_sender.clone(),
                    transfers: transfer_sender.clone(),
                    stop_requested: stop_receiver.clone(),
                },
            )?);
        }
        threads.push(spawn_request_thread(
            request_settings(&settings, local_incarnation),
            Arc::clone(&traffic_state),
            Arc::clone(&metrics),
            clock,
            RequestChannels {
                packets: packet_receiver,
                rules: rules_receiver,
                leave_requested: leave_receiver.clone(),
                is_idle: requests_idle_sender,
                stop_requested: stop_receiver.clone(),
            },
        )?);
        let (status_sender, status_receiver) = watch::channel(String::from("{}"));
        let (leave_complete_sender, leave_complete) = watch::channel(false);
        let control = ControlThreadParts {
            settings: Arc::clone(&settings),
            local_incarnation,
            clock,
            traffic_state,
            metrics: Arc::clone(&metrics),
            command_senders,
            transfer_receiver,
            rules_sender,
            status_sender,
            leave_complete_sender,
            leave_receiver,
            stop_receiver,
        };
        threads.push(control.spawn()?);
        let name = settings.name.clone();
        Ok(Self {
            name,
            metrics,
            status_receiver,
            leave_sender,
            stop_sender,
            leave_complete,
            requests_idle,
            reload_sender: None,
            stop_timeout: STOP_TIMEOUT,
            threads,
        })
    }

    /// Starts a host that routes flows by cookie, connected to a platform by its adapters; the
    /// sockets are bound when this returns.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound or a thread cannot be started.
    pub fn start_cookie_host(
        settings: CookieHostSettings,
        adapters: PlatformAdapters,
    ) -> Result<Self> {
        let (leave_sender, leave_receiver) = watch::channel(false);
        let (stop_sender, stop_receiver) = watch::channel(false);
        let (leave_complete_sender, leave_complete) = watch::channel(false);
        let (status_sender, status_receiver) = watch::channel(String::from("{}"));
        // Open flows stay on their upstreams and there is no request thread, so only the leave
        // phase has to complete before the stop.
        let (_requests_idle_sender, requests_idle) = watch::channel(true);
        let name = settings.name.clone();
        let stop_timeout = settings.stop_timeout + STOP_TIMEOUT_MARGIN;
        let channels = LifecycleChannels {
            leave_receiver,
            stop_receiver,
            leave_complete_sender,
            status_sender,
        };
        let CookieHostThreads { threads, metrics, reload_sender } =
            start_cookie_threads(settings, adapters, channels)?;
        Ok(Self {
            name,
            metrics,
            status_receiver,
            leave_sender,
            stop_sender,
            leave_complete,
            requests_idle,
            reload_sender: Some(reload_sender),
            stop_timeout,
            threads,
        })
    }

    /// Queues changed settings for a host that routes flows by cookie.
    ///
    /// Returns false if the queue is full or the host does not route by cookie.
    #[must_use]
    pub fn reload(&self, reload: ReloadSettings) -> bool {
        self.reload_sender.as_ref().is_some_and(|sender| sender.try_send(reload).is_ok())
    }

    /// Returns the configured name of the host.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the metrics, which all threads of the host update.
    #[must_use]
    pub fn metrics(&self) -> &Arc<HostMetrics> {
        &self.metrics
    }

    /// Returns the latest published status as JSON; `{}` if there is none yet.
    #[must_use]
    pub fn status(&self) -> String {
        self.status_receiver.borrow().clone()
    }

    /// Stops gracefully: leaves the fleet, completes handover and open requests, and then ends all
    /// threads.
    ///
    /// Returns false if the stop timeout expired before handover and requests were complete.
    pub fn stop(self) -> bool {
        self.leave_sender.send_replace(true);
        let deadline = std::time::Instant::now() + self.stop_timeout;
        let is_finished = || *self.leave_complete.borrow() && *self.requests_idle.borrow();
        while !is_finished() && std::time::Instant::now() < deadline {
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        let graceful = is_finished();
        self.kill();
        graceful
    }

    /// Ends all threads without handover, as a crash would, and waits for them.
    pub fn kill(self) {
        self.stop_sender.send_replace(true);
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!(host = self.name.as_str(); "host thread panicked");
            }
        }
    }
}

fn traffic_thread_settings(
    settings: &HostSettings,
    local_incarnation: HostIncarnation,
    lane: u8,
) -> TrafficThreadSettings {
    TrafficThreadSettings {
        local_incarnation,
        address: settings.address,
        fabric_return: settings.fabric_return,
        ports: settings.ports,
        keys: settings.keys.clone(),
        options: FlowOptions {
            mode: settings.flow.placement_mode,
            fingerprint_seed: fingerprint_seed(&settings.fleet_secret),
            flow_capacity: settings.flow.flow_capacity,
            record_capacity: settings.flow.record_capacity,
            idle_timeout: settings.flow.idle_timeout,
            lane,
            lane_count: settings.flow.traffic_threads,
            ..FlowOptions::default()
        },
    }
}

/// Derives the seed of the flow fingerprints from the fleet secret.
///
/// Callers do not know the seed and so cannot choose flows that fall into the same bucket.
#[must_use]
pub fn fingerprint_seed(secret: &[u8]) -> u64 {
    let mut seed_input = b"mustardgrade 2026 flow fingerprint".to_vec();
    seed_input.extend_from_slice(secret);
    HostId::from_name(&String::from_utf8_lossy(&seed_input)).0
}

fn request_settings(
    settings: &HostSettings,
    local_incarnation: HostIncarnation,
) -> RequestSettings {
    let data_centre = DataCentreId::from_name(&settings.data_centre);
    let ticket_key = TicketKey::derive(&settings.fleet_secret);
    let rng_seed = local_incarnation.host.0
        ^ local_incarnation.incarnation.rotate_left(32)
        ^ rand::random::<u64>();
    RequestSettings {
        local_incarnation,
        address: settings.address,
        fabric_return: settings.fabric_return,
        ports: settings.ports,
        keys: settings.keys.clone(),
        options: RequestOptions {
            seed: rng_seed,
            ..RequestOptions::new(local_incarnation, data_centre, ticket_key)
        },
    }
}

/// `ControlThreadParts` holds what is moved to the control thread: settings, state and channels.
struct ControlThreadParts {
    settings: Arc<HostSettings>,
    local_incarnation: HostIncarnation,
    clock: UnixClock,
    traffic_state: Arc<SharedTrafficState>,
    metrics: Arc<HostMetrics>,
    command_senders: Vec<mpsc::Sender<TrafficCommand>>,
    transfer_receiver: mpsc::Receiver<RecordTransfer>,
    rules_sender: watch::Sender<Arc<RuleSet>>,
    status_sender: watch::Sender<String>,
    leave_complete_sender: watch::Sender<bool>,
    leave_receiver: watch::Receiver<bool>,
    stop_receiver: watch::Receiver<bool>,
}

impl ControlThreadParts {
    fn spawn(self) -> Result<JoinHandle<()>> {
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
