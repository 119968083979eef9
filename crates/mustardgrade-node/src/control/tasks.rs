//! Tasks of the control thread that send inputs to the control actor and answer calls.

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

use super::actor::{ControlActor, GetConfiguration, StoreRead};
use super::effects::{bucket_exceptions_reply, merge_records, send_transfer};
use crate::calls::{CallClient, IncomingCall, serve_calls};
use crate::metrics::HostMetrics;
use crate::store::{PLACEMENT_KEY, RULES_KEY, ReadReply, RulesDocument, StoreClient};
use crate::traffic::{BucketExceptionsRequest, SharedTrafficState, TrafficCommand};

/// Interval between two ticks of the controller.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time for which the store delays the reply to a watch while the value is unchanged.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);

/// Delay after the first failed watch, before jitter; it doubles with each further failure. A
/// failed read of the host list is repeated after five times this delay.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay after a failed watch, before jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Interval between two reads of the platform's host list, before jitter.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum size of a digest datagram.
const MAX_DIGEST_BYTES: usize = 2_048;

/// Maximum number of calls that wait for the control thread; further calls are declined.
const MAX_QUEUED_CALLS: usize = 64;

/// Starts a task that sends ticks to the control actor.
pub fn spawn_ticker(actor: ActorRef<ControlActor>) {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if actor.tell(ControllerInput::Tick).await.is_err() {
                return;
            }
        }
    });
}

/// Starts a task that receives the digests of other hosts; invalid frames are counted as refused.
pub fn spawn_digest_receiver(
    actor: ActorRef<ControlActor>,
    socket: Arc<UdpSocket>,
    keys: FleetKeys,
    metrics: Arc<HostMetrics>,
) {
    tokio::spawn(async move {
        let mut opener = FrameOpener::new(keys);
        let mut buffer = [0_u8; MAX_DIGEST_BYTES];
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

/// Starts tasks that watch the rules and the placement in the store while this host is a watcher,
/// and a task that reads the platform's host list.
pub fn spawn_store_watchers(
    actor: ActorRef<ControlActor>,
    store: StoreClient,
    metrics: Arc<HostMetrics>,
    is_watcher: watch::Receiver<bool>,
) {
    let list_store = store.clone();
    let list_actor = actor.clone();
    let list_metrics = Arc::clone(&metrics);
    let list_is_watcher = is_watcher.clone();
    tokio::spawn(poll_host_list(list_actor, list_store, list_metrics, list_is_watcher));
    for key in [RULES_KEY, PLACEMENT_KEY] {
        let watcher = KeyWatcher {
            key,
            actor: actor.clone(),
            store: store.clone(),
            metrics: Arc::clone(&metrics),
            is_watcher: is_watcher.clone(),
        };
        tokio::spawn(watcher.run());
    }
}

/// `KeyWatcher` watches one key of the store and forwards its values to the control actor.
struct KeyWatcher {
    key: &'static str,
    actor: ActorRef<ControlActor>,
    store: StoreClient,
    metrics: Arc<HostMetrics>,
    is_watcher: watch::Receiver<bool>,
}

impl KeyWatcher {
    async fn run(mut self) {
        let mut index = 0;
        let mut retry_delay = MIN_RETRY_DELAY;
        loop {
            if self.is_watcher.wait_for(|is_watcher| *is_watcher).await.is_err() {
                return;
            }
            self.metrics.store_calls.fetch_add(1, Ordering::Relaxed);
            match self.store.watch(self.key, index, MAX_WATCH_WAIT).await {
                Ok(reply) => {
                    retry_delay = MIN_RETRY_DELAY;
                    // The index decreases if the store has been restored: start afresh.
                    index = if reply.index < index { 0 } else { reply.index };
                    if !self.forward_reply(reply).await {
                        return;
                    }
                }
                Err(error) => {
                    self.metrics.store_failures.fetch_add(1, Ordering::Relaxed);
                    match error.is_undecodable() {
                        true => log::warn!(error:% = error; "stored value left out"),
                        false => log::debug!(key = self.key, error:% = error; "store watch failed"),
                    }
                    index = 0;
                    tokio::time::sleep(retry_delay.mul_f64(rand::random_range(0.5..1.0))).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    async fn forward_reply(&self, reply: ReadReply) -> bool {
        let message = match self.key {
            RULES_KEY => StoreRead::Rules(reply),
            _ => StoreRead::Placement(reply),
        };
        self.actor.tell(message).await.is_ok()
    }
}

async fn poll_host_list(
    actor: ActorRef<ControlActor>,
    store: StoreClient,
    metrics: Arc<HostMetrics>,
    is_watcher: watch::Receiver<bool>,
) {
    let mut is_list_known = false;
    loop {
        // Every host reads the list once to find its peers; after that, only watchers read it.
        if !is_list_known || *is_watcher.borrow() {
            metrics.store_calls.fetch_add(1, Ordering::Relaxed);
            match store.list_hosts().await {
                Ok(listed_hosts) => {
                    is_list_known = true;
                    if actor.tell(ControllerInput::HostListRead(listed_hosts)).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    metrics.store_failures.fetch_add(1, Ordering::Relaxed);
                    log::debug!(error:% = error; "host list cannot be read");
                }
            }
        }
        let delay = if is_list_known { HOST_LIST_INTERVAL } else { MIN_RETRY_DELAY * 5 };
        tokio::time::sleep(delay.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

/// Starts tasks that answer the calls of other hosts.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub async fn spawn_call_server(
    actor: ActorRef<ControlActor>,
    address: SocketAddr,
    local_incarnation: HostIncarnation,
    keys: FleetKeys,
    metrics: Arc<HostMetrics>,
    traffic_threads: Vec<mpsc::Sender<TrafficCommand>>,
) -> std::io::Result<()> {
    let (sender, mut incoming_calls) = mpsc::channel::<IncomingCall>(MAX_QUEUED_CALLS);
    let server = serve_calls(address, local_incarnation, keys, metrics, sender).await?;
    tokio::spawn(server);
    tokio::spawn(async move {
        while let Some(incoming) = incoming_calls.recv().await {
            let actor = actor.clone();
            let traffic_threads = traffic_threads.clone();
            tokio::spawn(async move {
                let reply = handle_call(&actor, &traffic_threads, incoming.call).await;
                let _result = incoming.reply_sender.send(reply);
            });
        }
    });
    Ok(())
}

async fn handle_call(
    actor: &ActorRef<ControlActor>,
    traffic_threads: &[mpsc::Sender<TrafficCommand>],
    call: PeerCall,
) -> PeerReply {
    match call {
        PeerCall::Configuration => configuration_reply(actor).await,
        PeerCall::BucketExceptions { service, buckets, min_generation } => {
            let request = BucketExceptionsRequest { service, buckets, min_generation };
            bucket_exceptions_reply(traffic_threads, request).await
        }
        PeerCall::AllExceptions => all_exceptions_reply(actor, traffic_threads).await,
        PeerCall::Records { host } => {
            let record_lists = collect_record_lists(traffic_threads, |reply_sender| {
                TrafficCommand::ListRecordsForHost { host, reply_sender }
            })
            .await;
            match record_lists {
                Some(record_lists) => PeerReply::Records { generation: 0, record_lists },
                None => PeerReply::Declined,
            }
        }
        PeerCall::TransferRecords { service, records } => {
            merge_records(traffic_threads, vec![ServiceRecordList { service, records }]).await;
            PeerReply::Accepted
        }
        // Only hosts that route flows by cookie have a registry.
        PeerCall::RegistryChanges { .. } => PeerReply::Declined,
    }
}

async fn configuration_reply(actor: &ActorRef<ControlActor>) -> PeerReply {
    let Ok(reply) = actor.ask(GetConfiguration).await else { return PeerReply::Declined };
    let configuration = reply.0;
    let document = configuration.rules.as_ref().map(RulesDocument::new).unwrap_or_default();
    PeerReply::Configuration {
        rules_revision: document.revision,
        recent_edits: document.recent_edits,
        rules_text: document.text,
        placement: configuration
            .placement
            .map(|placement| (*placement).clone())
            .unwrap_or_default(),
        host_addresses: configuration.host_addresses,
    }
}

async fn all_exceptions_reply(
    actor: &ActorRef<ControlActor>,
    traffic_threads: &[mpsc::Sender<TrafficCommand>],
) -> PeerReply {
    // The generation is read before the exceptions, so that none of this generation is missing;
    // exceptions that are settled in between are included as well.
    let Ok(reply) = actor.ask(GetConfiguration).await else { return PeerReply::Declined };
    let generation = reply.0.placement.map_or(0, |placement| placement.generation);
    // Exceptions are the same on all threads, but each thread records flows of its own buckets.
    match collect_record_lists(traffic_threads, TrafficCommand::ListAllExceptions).await {
        Some(record_lists) => PeerReply::Records { generation, record_lists },
        None => PeerReply::Declined,
    }
}

/// Collects the answers of all traffic threads; returns `None` if one of them has ended, since its
/// records would be missing.
async fn collect_record_lists(
    traffic_threads: &[mpsc::Sender<TrafficCommand>],
    make_command: impl Fn(oneshot::Sender<Vec<ServiceRecordList>>) -> TrafficCommand,
) -> Option<Vec<ServiceRecordList>> {
    let mut record_lists = Vec::new();
    for traffic_thread in traffic_threads {
        let (reply_sender, reply_receiver) = oneshot::channel();
        traffic_thread.send(make_command(reply_sender)).await.ok()?;
        record_lists.extend(reply_receiver.await.ok()?);
    }
    Some(record_lists)
}

/// Starts a task that sends the records queued by traffic threads to the hosts that have joined the
/// owner chains of their buckets.
pub fn spawn_transfer_sender(
    mut transfers: mpsc::Receiver<RecordTransfer>,
    call_client: CallClient,
    metrics: Arc<HostMetrics>,
    traffic_state: Arc<SharedTrafficState>,
) {
    tokio::spawn(async move {
        while let Some(transfer) = transfers.recv().await {
            let Some(address) = traffic_state.routing_snapshot.load().host_address(transfer.to)
            else {
                continue;
            };
            let list = ServiceRecordList { service: transfer.service, records: transfer.records };
            let call_client = call_client.clone();
            let metrics = Arc::clone(&metrics);
            tokio::spawn(async move { send_transfer(&call_client, &metrics, address, list).await });
        }
    });
}
