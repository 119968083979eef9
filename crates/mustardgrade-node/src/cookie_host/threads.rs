//! Start and graceful stop of the threads of a host that routes flows by cookie.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use mustardgrade_core::clock::Clock;
use mustardgrade_core::identity::{DataCentreId, HostId, HostIncarnation};
use mustardgrade_core::watch::{WatchController, WatchInput, WatchOptions};
use mustardgrade_wire::peer::FrameSealer;
use tokio::sync::{mpsc, watch};

use super::actor::{RegistryActor, RegistryActorResources, ReloadSettings};
use super::adapters::{PlatformAdapters, RegistryStore};
use super::explain_page::ExplainPage;
use super::settings::CookieHostSettings;
use super::shared_state::SharedState;
use super::tasks::{
    serve_admin_pages, serve_readiness, spawn_call_responder, spawn_message_receiver, spawn_ticker,
};
use super::traffic_thread::spawn_traffic_thread;
use crate::calls::{CallClient, serve_calls};
use crate::clock::UnixClock;
use crate::host::{Result, spawn_control_thread};
use crate::metrics::HostMetrics;
use crate::traffic::bind_udp;

/// Maximum number of queued calls from other hosts; further ones are declined.
const CALL_QUEUE_CAPACITY: usize = 64;

/// Maximum number of queued reloads of the settings.
const RELOAD_QUEUE_CAPACITY: usize = 4;

/// Minimum time for which a leaving host continues to route. The platform probes readiness twice a
/// second and takes a host out of rotation after two failed probes.
const MIN_LEAVE_DURATION: Duration = Duration::from_millis(1_600);

/// Time without a packet after which a leaving host assumes that it is out of rotation.
const OUT_OF_ROTATION_SILENCE: Duration = Duration::from_millis(400);

/// Interval at which a leaving host checks whether it is out of rotation.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// `CookieHostThreads` are the handles of the running threads.
#[derive(Debug)]
pub(crate) struct CookieHostThreads {
    pub(crate) threads: Vec<JoinHandle<()>>,
    pub(crate) metrics: Arc<HostMetrics>,
    pub(crate) reload_sender: mpsc::Sender<ReloadSettings>,
}

/// `LifecycleChannels` connect the threads to the handle of the host: they carry the requests to
/// leave and to stop, the end of the leave phase, and the status.
#[derive(Debug)]
pub(crate) struct LifecycleChannels {
    pub(crate) leave_receiver: watch::Receiver<bool>,
    pub(crate) stop_receiver: watch::Receiver<bool>,
    pub(crate) leave_complete_sender: watch::Sender<bool>,
    pub(crate) status_sender: watch::Sender<String>,
}

/// Starts the traffic thread and the control thread; all sockets are bound when this returns.
pub(crate) fn start_cookie_threads(
    settings: CookieHostSettings,
    adapters: PlatformAdapters,
    channels: LifecycleChannels,
) -> Result<CookieHostThreads> {
    let clock = UnixClock::new();
    let metrics = HostMetrics::new(1);
    let shared = Arc::new(SharedState::default());
    let traffic_socket = std::net::UdpSocket::bind(settings.traffic_address)?;
    let traffic_thread = spawn_traffic_thread(
        traffic_socket,
        adapters.packet_codec,
        settings.router_options,
        Arc::clone(&shared),
        Arc::clone(&metrics),
        clock,
    )?;
    let (reload_sender, reload_receiver) = mpsc::channel(RELOAD_QUEUE_CAPACITY);
    let control = CookieControlParts {
        settings,
        clock,
        metrics: Arc::clone(&metrics),
        shared,
        store: adapters.store,
        reload_receiver,
        channels,
    };
    Ok(CookieHostThreads {
        threads: vec![traffic_thread, control.spawn()?],
        metrics,
        reload_sender,
    })
}

/// `CookieControlParts` holds what is moved to the control thread: settings, state and channels.
struct CookieControlParts {
    settings: CookieHostSettings,
    clock: UnixClock,
    metrics: Arc<HostMetrics>,
    shared: Arc<SharedState>,
    store: Box<dyn RegistryStore>,
    reload_receiver: mpsc::Receiver<ReloadSettings>,
    channels: LifecycleChannels,
}

impl CookieControlParts {
    fn spawn(self) -> Result<JoinHandle<()>> {
        let shared = Arc::clone(&self.shared);
        let stop = self.channels.stop_receiver.clone();
        let on_end = move || shared.stop_requested.store(true, Ordering::Relaxed);
        spawn_control_thread(move || self.start(), stop, on_end)
    }

    async fn start(self) -> Result<()> {
        let settings = &self.settings;
        let local_incarnation = HostIncarnation {
            host: HostId::from_name(&settings.name),
            incarnation: self.clock.now().as_millis() as u64,
        };
        let digest_socket = Arc::new(bind_udp(settings.address, settings.digest_port)?);
        let keys = settings.keys.clone();
        let call_client = CallClient::new(
            local_incarnation,
            &keys,
            settings.call_port,
            Arc::clone(&self.metrics),
        );
        let (ready_sender, ready_receiver) = watch::channel(false);
        let controller =
            WatchController::new(watch_options(settings, local_incarnation), self.clock.now());
        let resources = RegistryActorResources {
            host_name: settings.name.clone(),
            clock: self.clock,
            shared: Arc::clone(&self.shared),
            metrics: Arc::clone(&self.metrics),
            digest_socket: Arc::clone(&digest_socket),
            peer_digest_port: settings.digest_port,
            call_client,
            store: self.store,
            ready_sender,
            status_sender: self.channels.status_sender,
        };
        let sealer = FrameSealer::new(local_incarnation, 0, keys.clone());
        let actor = RegistryActor::spawn(RegistryActor::new(controller, resources, sealer));
        spawn_message_receiver(
            actor.clone(),
            digest_socket,
            keys.clone(),
            Arc::clone(&self.metrics),
        );
        spawn_ticker(actor.clone());
        let (call_sender, call_receiver) = mpsc::channel(CALL_QUEUE_CAPACITY);
        let call_address = SocketAddr::from((settings.address, settings.call_port));
        tokio::spawn(
            serve_calls(
                call_address,
                local_incarnation,
                keys,
                Arc::clone(&self.metrics),
                call_sender,
            )
            .await?,
        );
        spawn_call_responder(actor.clone(), call_receiver);
        serve_readiness(
            SocketAddr::V4(settings.ready_address),
            &settings.ready_path,
            ready_receiver,
        )
        .await?;
        let admin_address = SocketAddr::from((settings.address, settings.admin_port));
        let explain_page =
            ExplainPage::new(&settings.name, Arc::clone(&self.shared), actor.clone());
        serve_admin_pages(admin_address, &self.metrics, actor.clone(), explain_page).await?;
        spawn_reload_task(actor.clone(), self.reload_receiver);
        let leave_task = LeaveTask {
            clock: self.clock,
            shared: self.shared,
            timeout: settings.stop_timeout,
            leave_complete_sender: self.channels.leave_complete_sender,
        };
        tokio::spawn(leave_task.run(actor, self.channels.leave_receiver));
        Ok(())
    }
}

fn watch_options(
    settings: &CookieHostSettings,
    local_incarnation: HostIncarnation,
) -> WatchOptions {
    WatchOptions {
        address: settings.address,
        data_centre: DataCentreId::from_name(&settings.data_centre),
        incarnation: local_incarnation.incarnation,
        cpu_millicores: settings.cpu_millicores,
        seed_hosts: settings.seed_hosts.clone(),
        schedule: settings.watch_schedule,
        rng_seed: local_incarnation.host.0
            ^ local_incarnation.incarnation.rotate_left(32)
            ^ rand::random::<u64>(),
    }
}

fn spawn_reload_task(
    actor: ActorRef<RegistryActor>,
    mut reload_receiver: mpsc::Receiver<ReloadSettings>,
) {
    tokio::spawn(async move {
        while let Some(reload) = reload_receiver.recv().await {
            if actor.tell(reload).await.is_err() {
                return;
            }
        }
    });
}

/// `LeaveTask` announces that the host leaves and reports the leave phase as complete once the
/// platform has taken the host out of rotation, or after a timeout.
struct LeaveTask {
    clock: UnixClock,
    shared: Arc<SharedState>,
    timeout: Duration,
    leave_complete_sender: watch::Sender<bool>,
}

impl LeaveTask {
    async fn run(self, actor: ActorRef<RegistryActor>, mut leave_receiver: watch::Receiver<bool>) {
        if leave_receiver.wait_for(|leave| *leave).await.is_err() {
            return;
        }
        let leave_started_at = self.clock.now();
        let _actor_stopped = actor.tell(WatchInput::Leave).await;
        loop {
            tokio::time::sleep(LEAVE_POLL_INTERVAL).await;
            let now = self.clock.now();
            let last_packet_at =
                Duration::from_millis(self.shared.last_packet_ms.load(Ordering::Relaxed));
            let is_quiet = now.saturating_sub(last_packet_at) >= OUT_OF_ROTATION_SILENCE;
            let elapsed = now.saturating_sub(leave_started_at);
            if (is_quiet && elapsed >= MIN_LEAVE_DURATION) || elapsed >= self.timeout {
                break;
            }
        }
        self.leave_complete_sender.send_replace(true);
    }
}
