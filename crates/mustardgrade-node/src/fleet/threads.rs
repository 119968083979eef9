//! The threads of a host that places flows by cookie, from start to stop.

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

use super::actor::{RegistryActor, RegistryLinks, ReloadFleet};
use super::edges::{FleetEdges, StoreEdge};
use super::lane::{FleetShared, spawn_fleet_lane};
use super::settings::FleetSettings;
use super::tasks::{
    serve_pages, serve_ready, spawn_fleet_reader, spawn_fleet_ticker, spawn_registry_calls,
};
use crate::calls::{CallClient, serve_calls};
use crate::clock::UnixClock;
use crate::host::{Result, spawn_control};
use crate::metrics::HostMetrics;
use crate::traffic::bind_udp;

/// Calls of other hosts that wait; more are declined.
const CALL_QUEUE: usize = 64;

/// Reloads that wait.
const RELOAD_QUEUE: usize = 4;

/// Time for which a leaving host routes on at least: the platform asks twice a second and takes a
/// host out of rotation after two misses.
const LEAVE_TIME: Duration = Duration::from_millis(1_600);

/// Silence after which a leaving host takes itself for out of rotation.
const QUIET_TIME: Duration = Duration::from_millis(400);

/// Time between two looks at a leaving host.
const LEAVE_POLL: Duration = Duration::from_millis(50);

/// `FleetThreads` are the running threads.
#[derive(Debug)]
pub(crate) struct FleetThreads {
    pub(crate) threads: Vec<JoinHandle<()>>,
    pub(crate) metrics: Arc<HostMetrics>,
    pub(crate) reload: mpsc::Sender<ReloadFleet>,
}

/// `FleetSwitches` are the host's orders to its threads, and their answer.
#[derive(Debug)]
pub(crate) struct FleetSwitches {
    pub(crate) leave: watch::Receiver<bool>,
    pub(crate) stop: watch::Receiver<bool>,
    pub(crate) stopped: watch::Sender<bool>,
    pub(crate) status: watch::Sender<String>,
}

/// Starts the threads; all sockets are bound when this returns.
pub(crate) fn start_fleet(
    settings: FleetSettings,
    edges: FleetEdges,
    switches: FleetSwitches,
) -> Result<FleetThreads> {
    let clock = UnixClock::new();
    let metrics = HostMetrics::new(1);
    let shared = Arc::new(FleetShared::default());
    let socket = std::net::UdpSocket::bind(settings.traffic)?;
    let lane = spawn_fleet_lane(
        socket,
        edges.packets,
        settings.router,
        Arc::clone(&shared),
        Arc::clone(&metrics),
        clock,
    )?;
    let (reload, reloads) = mpsc::channel(RELOAD_QUEUE);
    let control = ControlParts {
        settings,
        clock,
        metrics: Arc::clone(&metrics),
        shared,
        store: edges.store,
        reloads,
        switches,
    };
    Ok(FleetThreads { threads: vec![lane, control.spawn()?], metrics, reload })
}

/// `ControlParts` is everything that the control thread starts with.
struct ControlParts {
    settings: FleetSettings,
    clock: UnixClock,
    metrics: Arc<HostMetrics>,
    shared: Arc<FleetShared>,
    store: Box<dyn StoreEdge>,
    reloads: mpsc::Receiver<ReloadFleet>,
    switches: FleetSwitches,
}

impl ControlParts {
    fn spawn(self) -> Result<JoinHandle<()>> {
        let shared = Arc::clone(&self.shared);
        let stop = self.switches.stop.clone();
        let ended = move || shared.stop.store(true, Ordering::Relaxed);
        spawn_control(move || self.start(), stop, ended)
    }

    async fn start(self) -> Result<()> {
        let settings = &self.settings;
        let me = HostIncarnation {
            host: HostId::from_name(&settings.name),
            incarnation: self.clock.now().as_millis() as u64,
        };
        let socket = Arc::new(bind_udp(settings.address, settings.digest_port)?);
        let keys = settings.keys.clone();
        let calls = CallClient::new(me, &keys, settings.call_port, Arc::clone(&self.metrics));
        let (ready, ready_seen) = watch::channel(false);
        let controller = WatchController::new(watch_options(settings, me), self.clock.now());
        let links = RegistryLinks {
            name: settings.name.clone(),
            clock: self.clock,
            shared: Arc::clone(&self.shared),
            metrics: Arc::clone(&self.metrics),
            socket: Arc::clone(&socket),
            digest_port: settings.digest_port,
            calls,
            store: self.store,
            ready,
            status: self.switches.status,
        };
        let sealer = FrameSealer::new(me, 0, keys.clone());
        let actor = RegistryActor::spawn(RegistryActor::new(controller, links, sealer));
        spawn_fleet_reader(actor.clone(), socket, keys.clone(), Arc::clone(&self.metrics));
        spawn_fleet_ticker(actor.clone());
        let (sender, receiver) = mpsc::channel(CALL_QUEUE);
        let address = SocketAddr::from((settings.address, settings.call_port));
        tokio::spawn(serve_calls(address, me, keys, Arc::clone(&self.metrics), sender).await?);
        spawn_registry_calls(actor.clone(), receiver);
        serve_ready(SocketAddr::V4(settings.ready), &settings.ready_path, ready_seen).await?;
        let pages = SocketAddr::from((settings.address, settings.page_port));
        serve_pages(pages, &self.metrics, actor.clone()).await?;
        spawn_reloads(actor.clone(), self.reloads);
        let leaving = LeavingHost {
            clock: self.clock,
            shared: self.shared,
            limit: settings.stop_time,
            stopped: self.switches.stopped,
        };
        tokio::spawn(leaving.run(actor, self.switches.leave));
        Ok(())
    }
}

fn watch_options(settings: &FleetSettings, me: HostIncarnation) -> WatchOptions {
    WatchOptions {
        address: settings.address,
        data_centre: DataCentreId::from_name(&settings.data_centre),
        incarnation: me.incarnation,
        cpu_millicores: settings.strength,
        seed_hosts: settings.seeds.clone(),
        schedule: settings.schedule,
        rng_seed: me.host.0 ^ me.incarnation.rotate_left(32) ^ rand::random::<u64>(),
    }
}

fn spawn_reloads(actor: ActorRef<RegistryActor>, mut reloads: mpsc::Receiver<ReloadFleet>) {
    tokio::spawn(async move {
        while let Some(reload) = reloads.recv().await {
            if actor.tell(reload).await.is_err() {
                return;
            }
        }
    });
}

/// `LeavingHost` routes on until the platform has taken the host out of rotation.
struct LeavingHost {
    clock: UnixClock,
    shared: Arc<FleetShared>,
    limit: Duration,
    stopped: watch::Sender<bool>,
}

impl LeavingHost {
    async fn run(self, actor: ActorRef<RegistryActor>, mut leave: watch::Receiver<bool>) {
        if leave.wait_for(|leave| *leave).await.is_err() {
            return;
        }
        let asked = self.clock.now();
        let _stopped = actor.tell(WatchInput::Leave).await;
        loop {
            tokio::time::sleep(LEAVE_POLL).await;
            let now = self.clock.now();
            let last = Duration::from_millis(self.shared.last_packet.load(Ordering::Relaxed));
            let quiet = now.saturating_sub(last) >= QUIET_TIME;
            let waited = now.saturating_sub(asked);
            if (quiet && waited >= LEAVE_TIME) || waited >= self.limit {
                break;
            }
        }
        self.stopped.send_replace(true);
    }
}
