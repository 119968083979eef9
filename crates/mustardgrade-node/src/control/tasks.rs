//! Tasks of the control thread that feed the control actor.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kameo::actor::ActorRef;
use mustardgrade_core::flow::RecordTransfer;
use mustardgrade_core::identity::HostIncarnation;
use mustardgrade_core::membership::ControllerInput;
use mustardgrade_wire::peer::{
    FleetKeys, FrameOpener, PeerCall, PeerMessage, PeerReply, ServiceRecordList,
};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};

use super::actor::{ControlActor, ReadState, StoreRead};
use super::effects::{answer_settled, merge_records, send_transfer};
use crate::calls::{CallClient, IncomingCall, serve_calls};
use crate::metrics::HostMetrics;
use crate::store::{PLACEMENT_KEY, RULES_KEY, ReadReply, StoreClient};
use crate::traffic::{LaneCommand, TrafficShared};

/// Time between two ticks of the controller.
const TICK: Duration = Duration::from_millis(100);

/// Longest time that one watch waits at the store.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// First pause after a failed store call; it doubles up to the longest.
const RETRY_FIRST: Duration = Duration::from_millis(200);

/// Longest pause after failed store calls.
const RETRY_LONGEST: Duration = Duration::from_secs(5);

/// Time between two reads of the platform's host list.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Largest datagram with a digest.
const MAX_DIGEST: usize = 2_048;

/// Calls that wait for the control thread; more are declined.
const CALL_QUEUE: usize = 64;

/// Ticks the controller.
pub fn spawn_ticker(actor: ActorRef<ControlActor>) {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if actor.tell(ControllerInput::Tick).await.is_err() {
                return;
            }
        }
    });
}

/// Reads digests.
pub fn spawn_digest_reader(
    actor: ActorRef<ControlActor>,
    socket: Arc<UdpSocket>,
    keys: FleetKeys,
    metrics: Arc<HostMetrics>,
) {
    tokio::spawn(async move {
        let mut opener = FrameOpener::new(keys);
        let mut buffer = [0_u8; MAX_DIGEST];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
            let opened = opener.open::<PeerMessage>(&buffer[..length]);
            match opened.map(|frame| (frame.sender, frame.sequence, frame.body)) {
                Ok((from, sequence, PeerMessage::Digest(body))) => {
                    let digest = body.assemble_host_digest(from, sequence);
                    if actor.tell(ControllerInput::DigestReceived(digest)).await.is_err() {
                        return;
                    }
                }
                Ok(_) | Err(_) => {
                    metrics.refused_frames.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    });
}

/// Watches the store for rules and placements while this host is a watcher, and reads the list of
/// hosts.
pub fn spawn_store_watch(
    actor: ActorRef<ControlActor>,
    store: StoreClient,
    metrics: Arc<HostMetrics>,
    watching: watch::Receiver<bool>,
) {
    let list_store = store.clone();
    let list_actor = actor.clone();
    let list_metrics = Arc::clone(&metrics);
    let list_watching = watching.clone();
    tokio::spawn(read_lists(list_actor, list_store, list_metrics, list_watching));
    for key in [RULES_KEY, PLACEMENT_KEY] {
        let watcher = KeyWatcher {
            key,
            actor: actor.clone(),
            store: store.clone(),
            metrics: Arc::clone(&metrics),
            watching: watching.clone(),
        };
        tokio::spawn(watcher.run());
    }
}

/// `KeyWatcher` watches one key of the store.
struct KeyWatcher {
    key: &'static str,
    actor: ActorRef<ControlActor>,
    store: StoreClient,
    metrics: Arc<HostMetrics>,
    watching: watch::Receiver<bool>,
}

impl KeyWatcher {
    async fn run(mut self) {
        let mut index = 0;
        let mut pause = RETRY_FIRST;
        loop {
            if self.watching.wait_for(|watching| *watching).await.is_err() {
                return;
            }
            self.metrics.store_calls.fetch_add(1, Ordering::Relaxed);
            match self.store.watch(self.key, index, WATCH_WAIT).await {
                Ok(reply) => {
                    pause = RETRY_FIRST;
                    // An index that went back means that the store was restored: read afresh.
                    index = if reply.index < index { 0 } else { reply.index };
                    if !self.report(reply).await {
                        return;
                    }
                }
                Err(error) => {
                    self.metrics.store_failures.fetch_add(1, Ordering::Relaxed);
                    log::debug!(key = self.key, error:% = error; "watch failed");
                    index = 0;
                    tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                    pause = (pause * 2).min(RETRY_LONGEST);
                }
            }
        }
    }

    async fn report(&self, reply: ReadReply) -> bool {
        let read = match self.key {
            RULES_KEY => StoreRead::Rules(reply),
            _ => StoreRead::Placement(reply),
        };
        self.actor.tell(read).await.is_ok()
    }
}

async fn read_lists(
    actor: ActorRef<ControlActor>,
    store: StoreClient,
    metrics: Arc<HostMetrics>,
    watching: watch::Receiver<bool>,
) {
    let mut known = false;
    loop {
        // Every host reads the list once, to find its peers; later only the watchers do.
        if !known || *watching.borrow() {
            metrics.store_calls.fetch_add(1, Ordering::Relaxed);
            match store.hosts().await {
                Ok(listed) => {
                    known = true;
                    if actor.tell(ControllerInput::HostListRead(listed)).await.is_err() {
                        return;
                    }
                }
                Err(_) => {
                    metrics.store_failures.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
        let interval = if known { LIST_INTERVAL } else { RETRY_FIRST * 5 };
        tokio::time::sleep(interval.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

/// Serves calls of other hosts.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub async fn spawn_call_server(
    actor: ActorRef<ControlActor>,
    address: SocketAddr,
    me: HostIncarnation,
    keys: FleetKeys,
    metrics: Arc<HostMetrics>,
    lanes: Vec<mpsc::Sender<LaneCommand>>,
) -> std::io::Result<()> {
    let (sender, mut receiver) = mpsc::channel::<IncomingCall>(CALL_QUEUE);
    let server = serve_calls(address, me, keys, metrics, sender).await?;
    tokio::spawn(server);
    tokio::spawn(async move {
        while let Some(incoming) = receiver.recv().await {
            let actor = actor.clone();
            let lanes = lanes.clone();
            tokio::spawn(async move {
                let reply = answer_call(&actor, &lanes, incoming.call).await;
                let _gone = incoming.reply.send(reply);
            });
        }
    });
    Ok(())
}

async fn answer_call(
    actor: &ActorRef<ControlActor>,
    lanes: &[mpsc::Sender<LaneCommand>],
    call: PeerCall,
) -> PeerReply {
    match call {
        PeerCall::Configuration => answer_state(actor).await,
        PeerCall::BucketExceptions { service, buckets } => {
            answer_settled(lanes, service, buckets).await
        }
        PeerCall::AllExceptions => answer_exceptions(actor, lanes).await,
        PeerCall::Records { host } => {
            let lists = gather(lanes, |reply| LaneCommand::ListRecords { host, reply }).await;
            PeerReply::Records { generation: 0, record_lists: lists }
        }
        PeerCall::TransferRecords { service, records } => {
            merge_records(lanes, vec![ServiceRecordList { service, records }]).await;
            PeerReply::Accepted
        }
        // Hosts that place by cookie keep a registry; this one does not.
        PeerCall::RegistryChanges { .. } => PeerReply::Declined,
    }
}

async fn answer_state(actor: &ActorRef<ControlActor>) -> PeerReply {
    let Ok(state) = actor.ask(ReadState).await else { return PeerReply::Declined };
    let placement = state.fetched.placement.map(|book| (*book).clone()).unwrap_or_default();
    let hosts = state.fetched.host_addresses;
    match state.document {
        Some(document) => PeerReply::Configuration {
            rules_revision: document.revision,
            rules_text: document.text.clone(),
            placement,
            host_addresses: hosts,
        },
        None => PeerReply::Configuration {
            rules_revision: 0,
            rules_text: String::new(),
            placement,
            host_addresses: hosts,
        },
    }
}

async fn answer_exceptions(
    actor: &ActorRef<ControlActor>,
    lanes: &[mpsc::Sender<LaneCommand>],
) -> PeerReply {
    // The generation is read first: exceptions that are settled later only add to the list.
    let Ok(state) = actor.ask(ReadState).await else { return PeerReply::Declined };
    let generation = state.fetched.placement.map_or(0, |book| book.generation);
    let Some(lane) = lanes.first() else { return PeerReply::Declined };
    let (reply, waiting) = oneshot::channel();
    if lane.send(LaneCommand::ListExceptions(reply)).await.is_err() {
        return PeerReply::Declined;
    }
    match waiting.await {
        Ok(services) => PeerReply::Records { generation, record_lists: services },
        Err(_) => PeerReply::Declined,
    }
}

async fn gather(
    lanes: &[mpsc::Sender<LaneCommand>],
    command: impl Fn(oneshot::Sender<Vec<ServiceRecordList>>) -> LaneCommand,
) -> Vec<ServiceRecordList> {
    let mut lists = Vec::new();
    for lane in lanes {
        let (reply, waiting) = oneshot::channel();
        if lane.send(command(reply)).await.is_ok() {
            lists.extend(waiting.await.unwrap_or_default());
        }
    }
    lists
}

/// Sends the records that traffic threads hand over to hosts that joined a chain.
pub fn spawn_transfers(
    mut transfers: mpsc::Receiver<RecordTransfer>,
    calls: CallClient,
    metrics: Arc<HostMetrics>,
    shared: Arc<TrafficShared>,
) {
    tokio::spawn(async move {
        while let Some(transfer) = transfers.recv().await {
            let Some(address) = shared.routing.load().host_address(transfer.to) else { continue };
            let list = ServiceRecordList { service: transfer.service, records: transfer.records };
            let calls = calls.clone();
            let metrics = Arc::clone(&metrics);
            tokio::spawn(async move { send_transfer(&calls, &metrics, address, list).await });
        }
    });
}
