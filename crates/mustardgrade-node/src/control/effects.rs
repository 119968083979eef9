//! Execution of the controller's outputs: messages to peers, store access and commands to traffic
//! threads.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use kameo::actor::ActorRef;
use mustardgrade_core::flow::RoutingSnapshot;
use mustardgrade_core::identity::{HostId, ServiceId};
use mustardgrade_core::membership::{ControllerInput, ControllerOutput, HostDigest};
use mustardgrade_core::placement::{BucketIndex, PlacementMap};
use mustardgrade_wire::peer::{DigestBody, PeerCall, PeerMessage, PeerReply, ServiceRecordList};
use tokio::sync::{mpsc, oneshot};

use super::actor::{ApplyPeerRules, ControlActor, PlacementWriteFinished, StoreRead};
use crate::calls::CallClient;
use crate::metrics::{HostMetrics, SentByteKind};
use crate::store::{
    PLACEMENT_KEY, RULES_KEY, RulesDocument, StoreClient, decode_placement, encode_placement,
};
use crate::traffic::{BucketExceptions, TrafficCommand};

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
            ControllerOutput::FetchBucketExceptions {
                owner,
                address,
                service,
                generation,
                buckets,
            } => {
                self.fetch_bucket_exceptions(
                    owner, address, service, generation, buckets, actor_ref,
                );
            }
            ControllerOutput::FetchRecords(addresses) => self.fetch_records(addresses, actor_ref),
            ControllerOutput::ReadStore => self.read_store(actor_ref),
            ControllerOutput::WritePlacement(placement) => {
                self.write_placement(placement, actor_ref)
            }
            ControllerOutput::InstallSnapshot(snapshot) => self.install_snapshot(snapshot),
            ControllerOutput::SetTablesConfirmedAt(at) => {
                self.resources.traffic_state.tables_confirmed_at.set(at)
            }
            ControllerOutput::Exit => {
                self.resources.leave_complete.send_replace(true);
            }
        }
    }

    fn install_snapshot(&mut self, snapshot: Arc<RoutingSnapshot>) {
        log::debug!(
            generation = snapshot.generation,
            rules_revision = snapshot.rules_revision,
            members = snapshot.members.len();
            "routing snapshot installed"
        );
        self.resources.traffic_state.routing_snapshot.store(snapshot);
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
                rules_text,
                placement,
                host_addresses,
            }) = reply
            else {
                return;
            };
            let _result =
                actor_ref.tell(ControllerInput::PeerAddressesReceived(host_addresses)).await;
            if revision > 0 {
                let document =
                    RulesDocument { revision, edit: 0, recent_edits: Vec::new(), text: rules_text };
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
            install_exceptions(&traffic_threads, record_lists).await;
            let input = ControllerInput::AllExceptionsFetched { peer: address, generation };
            let _result = actor_ref.tell(input).await;
        });
    }

    fn fetch_bucket_exceptions(
        &self,
        owner: HostId,
        address: Ipv4Addr,
        service: ServiceId,
        min_generation: u64,
        buckets: Vec<BucketIndex>,
        actor_ref: &ActorRef<Self>,
    ) {
        let call_client = self.resources.call_client.clone();
        let traffic_threads = self.resources.traffic_threads.clone();
        let is_local = owner == HostId::from_name(&self.resources.settings.name);
        let actor_ref = actor_ref.clone();
        tokio::spawn(async move {
            let call = PeerCall::BucketExceptions { service, buckets: buckets.clone() };
            let reply = match is_local {
                true => bucket_exceptions_reply(&traffic_threads, service, buckets.clone()).await,
                false => call_client.call(address, &call).await.unwrap_or(PeerReply::Declined),
            };
            let PeerReply::Records { generation: owner_generation, record_lists } = reply else {
                return;
            };
            if owner_generation < min_generation {
                return;
            }
            install_exceptions(&traffic_threads, record_lists).await;
            let input = ControllerInput::BucketExceptionsFetched {
                service,
                generation: owner_generation,
                buckets,
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
            let _result = actor_ref.tell(PlacementWriteFinished).await;
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

/// Sends settled exceptions to all traffic threads.
///
/// Every thread needs all exceptions, since any of them may receive a packet of the flow.
async fn install_exceptions(
    traffic_threads: &[mpsc::Sender<TrafficCommand>],
    record_lists: Vec<ServiceRecordList>,
) {
    for traffic_thread in traffic_threads {
        let _result =
            traffic_thread.send(TrafficCommand::InstallExceptions(record_lists.clone())).await;
    }
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

/// Collects the settled exceptions of buckets from all traffic threads.
///
/// The reply states the lowest placement generation in force on any of them.
pub(super) async fn bucket_exceptions_reply(
    traffic_threads: &[mpsc::Sender<TrafficCommand>],
    service: ServiceId,
    buckets: Vec<BucketIndex>,
) -> PeerReply {
    let mut generation = u64::MAX;
    let mut records = Vec::new();
    for traffic_thread in traffic_threads {
        let (reply_sender, reply_receiver) = oneshot::channel();
        let command = TrafficCommand::ListBucketExceptions {
            service,
            buckets: buckets.clone(),
            reply_sender,
        };
        if traffic_thread.send(command).await.is_err() {
            return PeerReply::Declined;
        }
        let Ok(BucketExceptions { generation: thread_generation, records: thread_records }) =
            reply_receiver.await
        else {
            return PeerReply::Declined;
        };
        generation = generation.min(thread_generation);
        records.extend(thread_records);
    }
    PeerReply::Records { generation, record_lists: vec![ServiceRecordList { service, records }] }
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
