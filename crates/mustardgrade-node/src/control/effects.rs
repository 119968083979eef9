//! Execution of the controller's outputs: messages to peers, store access and commands to traffic
//! threads.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use kameo::actor::ActorRef;
use mustardgrade_core::flow::RoutingSnapshot;
use mustardgrade_core::identity::HostId;
use mustardgrade_core::membership::{ControllerInput, ControllerOutput, HostDigest, RecordKeeper};
use mustardgrade_core::placement::PlacementMap;
use mustardgrade_wire::peer::{DigestBody, PeerCall, PeerMessage, PeerReply, ServiceRecordList};
use tokio::sync::{mpsc, oneshot};

use super::actor::{ApplyPeerRules, ControlActor, StoreRead, StoreWriteFinished};
use crate::calls::CallClient;
use crate::metrics::{HostMetrics, SentByteKind};
use crate::store::{
    PLACEMENT_KEY, RULES_KEY, RulesDocument, StoreClient, decode_placement, encode_placement,
};
use crate::traffic::{BucketExceptionsRequest, TrafficCommand};

impl ControlActor {
    /// Performs one output of the controller.
    ///
    /// Calls and store access run in separate tasks, which report their results to the actor.
    pub(super) fn perform_output(&mut self, output: ControllerOutput, actor_ref: &ActorRef<Self>) {
        match output {
            ControllerOutput::SendDigest { recipients, digest } => {
                self.send_digest(&recipients, &digest)
            }
            ControllerOutput::FetchConfiguration(address) => {
                self.fetch_configuration(address, actor_ref)
            }
            ControllerOutput::FetchAllExceptions(address) => {
                self.fetch_all_exceptions(address, actor_ref)
            }
            ControllerOutput::FetchBucketExceptions { keepers, service, generation, buckets } => {
                let request =
                    BucketExceptionsRequest { service, buckets, min_generation: generation };
                self.fetch_bucket_exceptions(keepers, request, actor_ref);
            }
            ControllerOutput::FetchRecords(addresses) => self.fetch_records(addresses, actor_ref),
            ControllerOutput::ReadStore => self.read_store(actor_ref),
            ControllerOutput::WritePlacement(placement) => {
                self.write_placement(placement, actor_ref)
            }
            ControllerOutput::RestoreRules { rules, replaced_revision } => {
                self.restore_rules(&rules, replaced_revision, actor_ref)
            }
            ControllerOutput::RestorePlacement(placement) => {
                self.restore_placement(placement, actor_ref)
            }
            ControllerOutput::InstallSnapshot(snapshot) => {
                self.install_snapshot(snapshot, actor_ref)
            }
            ControllerOutput::SetTablesConfirmedAt(at) => {
                self.resources.traffic_state.tables_confirmed_at.set(at)
            }
            ControllerOutput::Exit => {
                self.resources.leave_complete.send_replace(true);
            }
        }
    }

    /// Publishes a snapshot to the traffic threads, and tells the controller once all of them route
    /// by it.
    fn install_snapshot(&mut self, snapshot: Arc<RoutingSnapshot>, actor_ref: &ActorRef<Self>) {
        log::debug!(
            generation = snapshot.generation,
            rules_revision = snapshot.rules_revision,
            members = snapshot.members.len();
            "routing snapshot installed"
        );
        let input = ControllerInput::SnapshotInstalled {
            generation: snapshot.generation,
            rules_revision: snapshot.rules_revision,
        };
        self.resources.traffic_state.routing_snapshot.store(snapshot);
        let traffic_threads = self.resources.traffic_threads.clone();
        let actor_ref = actor_ref.clone();
        tokio::spawn(async move {
            if confirm_on_all(&traffic_threads, TrafficCommand::ConfirmSnapshot).await {
                let _result = actor_ref.tell(input).await;
            }
        });
    }

    fn send_digest(&mut self, recipients: &[Ipv4Addr], digest: &HostDigest) {
        let body = PeerMessage::Digest(DigestBody::from(digest));
        let frame = self.sealer.seal(&body, &[]);
        for address in recipients {
            let destination = SocketAddr::from((*address, self.resources.settings.ports.peer));
            match self.resources.digest_socket.try_send_to(&frame, destination) {
                Ok(_) => self.resources.metrics.add_sent_bytes(SentByteKind::Control, frame.len()),
                Err(_) => {
                    self.resources.metrics.overflows.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    fn fetch_configuration(&self, address: Ipv4Addr, actor_ref: &ActorRef<Self>) {
        let call_client = self.resources.call_client.clone();
        let actor_ref = actor_ref.clone();
        tokio::spawn(async move {
            let reply = call_client.call(address, &PeerCall::Configuration).await;
            let Ok(PeerReply::Configuration {
                rules_revision: revision,
                recent_edits,
                rules_text: text,
                placement,
                host_addresses,
            }) = reply
            else {
                return;
            };
            let _result =
                actor_ref.tell(ControllerInput::PeerAddressesReceived(host_addresses)).await;
            if revision > 0 {
                let edit = recent_edits.first().copied().unwrap_or_default();
                let document = RulesDocument { revision, edit, recent_edits, text };
                let _result = actor_ref.tell(ApplyPeerRules(document)).await;
            }
            let _result =
                actor_ref.tell(ControllerInput::PlacementReceived(Arc::new(placement))).await;
        });
    }

    fn fetch_all_exceptions(&self, address: Ipv4Addr, actor_ref: &ActorRef<Self>) {
        let call_client = self.resources.call_client.clone();
        let traffic_threads = self.resources.traffic_threads.clone();
        let actor_ref = actor_ref.clone();
        tokio::spawn(async move {
            let reply = call_client.call(address, &PeerCall::AllExceptions).await;
            let Ok(PeerReply::Records { generation, record_lists }) = reply else {
                return;
            };
            if !install_exceptions(&traffic_threads, record_lists).await {
                return;
            }
            let input = ControllerInput::AllExceptionsFetched { peer: address, generation };
            let _result = actor_ref.tell(input).await;
        });
    }

    /// Fetches the exceptions of buckets from all hosts that keep their records; the fetch succeeds
    /// only if each of them answers.
    fn fetch_bucket_exceptions(
        &self,
        keepers: Vec<RecordKeeper>,
        request: BucketExceptionsRequest,
        actor_ref: &ActorRef<Self>,
    ) {
        let call_client = self.resources.call_client.clone();
        let traffic_threads = self.resources.traffic_threads.clone();
        let local_host = HostId::from_name(&self.resources.settings.name);
        let actor_ref = actor_ref.clone();
        tokio::spawn(async move {
            for keeper in keepers {
                let reply = match keeper.host == local_host {
                    true => bucket_exceptions_reply(&traffic_threads, request.clone()).await,
                    false => call_bucket_exceptions(&call_client, keeper.address, &request).await,
                };
                let PeerReply::Records { record_lists, .. } = reply else {
                    return;
                };
                if !install_exceptions(&traffic_threads, record_lists).await {
                    return;
                }
            }
            let input = ControllerInput::BucketExceptionsFetched {
                service: request.service,
                generation: request.min_generation,
                buckets: request.buckets,
            };
            let _result = actor_ref.tell(input).await;
        });
    }

    fn fetch_records(&self, addresses: Vec<Ipv4Addr>, actor_ref: &ActorRef<Self>) {
        let call_client = self.resources.call_client.clone();
        let traffic_threads = self.resources.traffic_threads.clone();
        let own_host = HostId::from_name(&self.resources.settings.name);
        let actor_ref = actor_ref.clone();
        tokio::spawn(async move {
            for address in addresses {
                let reply = call_client.call(address, &PeerCall::Records { host: own_host }).await;
                if let Ok(PeerReply::Records { record_lists, .. }) = reply {
                    merge_records(&traffic_threads, record_lists).await;
                }
            }
            let _result = actor_ref.tell(ControllerInput::RecordsFetched).await;
        });
    }

    fn read_store(&self, actor_ref: &ActorRef<Self>) {
        let store = self.resources.store.clone();
        let metrics = Arc::clone(&self.resources.metrics);
        let actor_ref = actor_ref.clone();
        tokio::spawn(async move {
            metrics.store_calls.fetch_add(2, Ordering::Relaxed);
            if let Ok(reply) = store.read(RULES_KEY).await {
                let _result = actor_ref.tell(StoreRead::Rules(reply)).await;
            }
            if let Ok(reply) = store.read(PLACEMENT_KEY).await {
                let _result = actor_ref.tell(StoreRead::Placement(reply)).await;
            }
        });
    }

    fn write_placement(&mut self, placement: Arc<PlacementMap>, actor_ref: &ActorRef<Self>) {
        if self.is_writing_placement {
            return;
        }
        self.is_writing_placement = true;
        let store = self.resources.store.clone();
        let metrics = Arc::clone(&self.resources.metrics);
        let actor_ref = actor_ref.clone();
        tokio::spawn(async move {
            publish_placement(&store, &metrics, &placement, &actor_ref).await;
            let _result = actor_ref.tell(StoreWriteFinished::Placement).await;
        });
    }
}

/// Writes a placement if the store holds its predecessor; otherwise reports the stored placement to
/// the actor.
async fn publish_placement(
    store: &StoreClient,
    metrics: &HostMetrics,
    placement: &PlacementMap,
    actor_ref: &ActorRef<ControlActor>,
) {
    metrics.store_calls.fetch_add(1, Ordering::Relaxed);
    let Ok(reply) = store.read(PLACEMENT_KEY).await else {
        metrics.store_failures.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let stored_placement =
        reply.value.as_ref().and_then(|stored| decode_placement(&stored.value).ok());
    let stored_generation = stored_placement.map_or(0, |placement| placement.generation);
    if stored_generation + 1 != placement.generation {
        let _result = actor_ref.tell(StoreRead::Placement(reply)).await;
        return;
    }
    let expected_index = reply.value.map_or(0, |stored| stored.modify_index);
    metrics.store_calls.fetch_add(1, Ordering::Relaxed);
    match store.write(PLACEMENT_KEY, &encode_placement(placement), expected_index).await {
        Ok(true) => {
            log::info!(generation = placement.generation; "placement published");
            let _result = actor_ref
                .tell(ControllerInput::PlacementReceived(Arc::new(placement.clone())))
                .await;
        }
        // Another host wrote first, or an earlier write succeeded although its reply was lost: the
        // next read returns the placement that is stored.
        Ok(false) => {}
        Err(_) => {
            metrics.store_failures.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn call_bucket_exceptions(
    call_client: &CallClient,
    address: Ipv4Addr,
    request: &BucketExceptionsRequest,
) -> PeerReply {
    let call = PeerCall::BucketExceptions {
        service: request.service,
        buckets: request.buckets.clone(),
        min_generation: request.min_generation,
    };
    call_client.call(address, &call).await.unwrap_or(PeerReply::Declined)
}

/// Installs settled exceptions on all traffic threads, and returns whether all route by them.
///
/// Every thread needs all exceptions, since any of them may receive a packet of the flow. Once this
/// host reports the exceptions, the move may end; a thread that took over the next snapshot before
/// them would then misroute the flows.
async fn install_exceptions(
    traffic_threads: &[mpsc::Sender<TrafficCommand>],
    record_lists: Vec<ServiceRecordList>,
) -> bool {
    let make_command = |done_sender| TrafficCommand::InstallExceptions {
        record_lists: record_lists.clone(),
        done_sender,
    };
    confirm_on_all(traffic_threads, make_command).await
}

/// Sends a command to all traffic threads, and returns whether all have carried it out.
async fn confirm_on_all(
    traffic_threads: &[mpsc::Sender<TrafficCommand>],
    make_command: impl Fn(oneshot::Sender<()>) -> TrafficCommand,
) -> bool {
    let mut receivers = Vec::with_capacity(traffic_threads.len());
    for traffic_thread in traffic_threads {
        let (done_sender, done_receiver) = oneshot::channel();
        if traffic_thread.send(make_command(done_sender)).await.is_err() {
            return false;
        }
        receivers.push(done_receiver);
    }
    for receiver in receivers {
        if receiver.await.is_err() {
            return false;
        }
    }
    true
}

/// Sends records to all traffic threads; each record is only looked up by the thread to which its
/// bucket is assigned.
pub(super) async fn merge_records(
    traffic_threads: &[mpsc::Sender<TrafficCommand>],
    record_lists: Vec<ServiceRecordList>,
) {
    for traffic_thread in traffic_threads {
        let _result = traffic_thread.send(TrafficCommand::MergeRecords(record_lists.clone())).await;
    }
}

/// Collects the settled exceptions of buckets from all traffic threads; declines if one of them may
/// lack some.
pub(super) async fn bucket_exceptions_reply(
    traffic_threads: &[mpsc::Sender<TrafficCommand>],
    request: BucketExceptionsRequest,
) -> PeerReply {
    let mut records = Vec::new();
    for traffic_thread in traffic_threads {
        let (reply_sender, reply_receiver) = oneshot::channel();
        let command =
            TrafficCommand::ListBucketExceptions { request: request.clone(), reply_sender };
        if traffic_thread.send(command).await.is_err() {
            return PeerReply::Declined;
        }
        let Ok(Some(thread_records)) = reply_receiver.await else {
            return PeerReply::Declined;
        };
        records.extend(thread_records);
    }
    let record_list = ServiceRecordList { service: request.service, records };
    PeerReply::Records { generation: request.min_generation, record_lists: vec![record_list] }
}

/// Sends records to a host that has joined the owner chain of their buckets.
pub(super) async fn send_transfer(
    call_client: &CallClient,
    metrics: &HostMetrics,
    address: Ipv4Addr,
    list: ServiceRecordList,
) {
    let call = PeerCall::TransferRecords { service: list.service, records: list.records };
    if call_client.call(address, &call).await.is_err() {
        log::warn!(address:% = address; "record transfer failed");
        metrics.overflows.fetch_add(1, Ordering::Relaxed);
    }
}
