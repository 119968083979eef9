//! What the control actor does about the controller's outputs.

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

use super::actor::{ControlActor, StoreRead, TakeDocument, WriteFinished};
use crate::calls::CallClient;
use crate::metrics::{ByteKind, HostMetrics};
use crate::store::{
    PLACEMENT_KEY, RULES_KEY, RulesDocument, StoreClient, decode_placement, encode_placement,
};
use crate::traffic::{LaneCommand, LaneRecords};

impl ControlActor {
    /// Carries out one output of the controller.
    pub(super) fn carry_out(&mut self, output: ControllerOutput, me: &ActorRef<Self>) {
        match output {
            ControllerOutput::SendDigest { recipients, digest } => {
                self.send_digest(&recipients, &digest)
            }
            ControllerOutput::FetchConfiguration(address) => self.fetch_state(address, me),
            ControllerOutput::FetchAllExceptions(address) => self.fetch_exceptions(address, me),
            ControllerOutput::FetchBucketExceptions {
                owner,
                address,
                service,
                generation,
                buckets,
            } => {
                self.fetch_settled(owner, address, service, generation, buckets, me);
            }
            ControllerOutput::FetchRecords(addresses) => self.fetch_records(addresses, me),
            ControllerOutput::ReadStore => self.read_store(me),
            ControllerOutput::WritePlacement(book) => self.write_placement(book, me),
            ControllerOutput::InstallSnapshot(snapshot) => self.install(snapshot),
            ControllerOutput::SetTablesCurrentAt(at) => self.links.shared.heard.set(at),
            ControllerOutput::Exit => {
                self.links.stopped.send_replace(true);
            }
        }
    }

    fn install(&mut self, snapshot: Arc<RoutingSnapshot>) {
        log::debug!(
            generation = snapshot.generation,
            rules_revision = snapshot.rules_revision,
            members = snapshot.members.len();
            "snapshot in force"
        );
        self.links.shared.routing.store(snapshot);
    }

    fn send_digest(&mut self, to: &[Ipv4Addr], digest: &HostDigest) {
        let body = PeerMessage::Digest(DigestBody::from(digest));
        let frame = self.sealer.seal(&body, &[]);
        for address in to {
            let to = SocketAddr::from((*address, self.links.settings.ports.peer));
            match self.links.peer_socket.try_send_to(&frame, to) {
                Ok(_) => self.links.metrics.count_bytes(ByteKind::ControlSent, frame.len()),
                Err(_) => {
                    self.links.metrics.overflow.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    fn fetch_state(&self, address: Ipv4Addr, me: &ActorRef<Self>) {
        let calls = self.links.calls.clone();
        let me = me.clone();
        tokio::spawn(async move {
            let reply = calls.call(address, &PeerCall::Configuration).await;
            let Ok(PeerReply::Configuration {
                rules_revision: revision,
                rules_text: rules,
                placement,
                host_addresses: hosts,
            }) = reply
            else {
                return;
            };
            let _gone = me.tell(ControllerInput::PeerAddressesReceived(hosts)).await;
            if revision > 0 {
                let document =
                    RulesDocument { revision, edit: 0, recent_edits: Vec::new(), text: rules };
                let _gone = me.tell(TakeDocument(document)).await;
            }
            let _gone = me.tell(ControllerInput::PlacementReceived(Arc::new(placement))).await;
        });
    }

    fn fetch_exceptions(&self, address: Ipv4Addr, me: &ActorRef<Self>) {
        let calls = self.links.calls.clone();
        let lanes = self.links.lanes.clone();
        let me = me.clone();
        tokio::spawn(async move {
            let reply = calls.call(address, &PeerCall::AllExceptions).await;
            let Ok(PeerReply::Records { generation, record_lists: services }) = reply else {
                return;
            };
            install_exceptions(&lanes, services).await;
            let fetched = ControllerInput::AllExceptionsFetched { peer: address, generation };
            let _gone = me.tell(fetched).await;
        });
    }

    fn fetch_settled(
        &self,
        owner: HostId,
        address: Ipv4Addr,
        service: ServiceId,
        generation: u64,
        buckets: Vec<BucketIndex>,
        me: &ActorRef<Self>,
    ) {
        let calls = self.links.calls.clone();
        let lanes = self.links.lanes.clone();
        let is_own = owner == HostId::from_name(&self.links.settings.name);
        let me = me.clone();
        tokio::spawn(async move {
            let call = PeerCall::BucketExceptions { service, buckets: buckets.clone() };
            let reply = match is_own {
                true => answer_settled(&lanes, service, buckets.clone()).await,
                false => calls.call(address, &call).await.unwrap_or(PeerReply::Declined),
            };
            let PeerReply::Records { generation: seen, record_lists: services } = reply else {
                return;
            };
            if seen < generation {
                return;
            }
            install_exceptions(&lanes, services).await;
            let settled =
                ControllerInput::BucketExceptionsFetched { service, generation: seen, buckets };
            let _gone = me.tell(settled).await;
        });
    }

    fn fetch_records(&self, addresses: Vec<Ipv4Addr>, me: &ActorRef<Self>) {
        let calls = self.links.calls.clone();
        let lanes = self.links.lanes.clone();
        let host = HostId::from_name(&self.links.settings.name);
        let me = me.clone();
        tokio::spawn(async move {
            for address in addresses {
                let reply = calls.call(address, &PeerCall::Records { host }).await;
                if let Ok(PeerReply::Records { record_lists: services, .. }) = reply {
                    merge_records(&lanes, services).await;
                }
            }
            let _gone = me.tell(ControllerInput::RecordsFetched).await;
        });
    }

    fn read_store(&self, me: &ActorRef<Self>) {
        let store = self.links.store.clone();
        let metrics = Arc::clone(&self.links.metrics);
        let me = me.clone();
        tokio::spawn(async move {
            metrics.store_calls.fetch_add(2, Ordering::Relaxed);
            if let Ok(reply) = store.read(RULES_KEY).await {
                let _gone = me.tell(StoreRead::Rules(reply)).await;
            }
            if let Ok(reply) = store.read(PLACEMENT_KEY).await {
                let _gone = me.tell(StoreRead::Placement(reply)).await;
            }
        });
    }

    fn write_placement(&mut self, book: Arc<PlacementMap>, me: &ActorRef<Self>) {
        if self.writing {
            return;
        }
        self.writing = true;
        let store = self.links.store.clone();
        let metrics = Arc::clone(&self.links.metrics);
        let me = me.clone();
        tokio::spawn(async move {
            publish_placement(&store, &metrics, &book, &me).await;
            let _gone = me.tell(WriteFinished).await;
        });
    }
}

/// Writes a generation if the store holds the one before, and reports what the store holds.
async fn publish_placement(
    store: &StoreClient,
    metrics: &HostMetrics,
    book: &PlacementMap,
    me: &ActorRef<ControlActor>,
) {
    metrics.store_calls.fetch_add(1, Ordering::Relaxed);
    let Ok(current) = store.read(PLACEMENT_KEY).await else {
        metrics.store_failures.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let held = current.value.as_ref().and_then(|stored| decode_placement(&stored.value).ok());
    let held_generation = held.map_or(0, |held| held.generation);
    if held_generation + 1 != book.generation {
        let _gone = me.tell(StoreRead::Placement(current)).await;
        return;
    }
    let expected = current.value.map_or(0, |stored| stored.modify_index);
    metrics.store_calls.fetch_add(1, Ordering::Relaxed);
    match store.write(PLACEMENT_KEY, &encode_placement(book), expected).await {
        Ok(true) => {
            log::info!(generation = book.generation; "placement published");
            let _gone = me.tell(ControllerInput::PlacementReceived(Arc::new(book.clone()))).await;
        }
        // Another host was faster, or the answer was lost: the next read settles it.
        Ok(false) => {}
        Err(_) => {
            metrics.store_failures.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Splits records by the traffic thread that keeps their buckets, and sends them there.
///
/// Every thread gets all exceptions, since any of them may receive a packet of the flow.
async fn install_exceptions(lanes: &[mpsc::Sender<LaneCommand>], lists: Vec<ServiceRecordList>) {
    for lane in lanes {
        let _gone = lane.send(LaneCommand::InstallExceptions(lists.clone())).await;
    }
}

/// Sends records to every traffic thread; only the one that keeps a bucket is ever asked for it.
pub(super) async fn merge_records(
    lanes: &[mpsc::Sender<LaneCommand>],
    lists: Vec<ServiceRecordList>,
) {
    for lane in lanes {
        let _gone = lane.send(LaneCommand::MergeRecords(lists.clone())).await;
    }
}

/// Gathers the settled exceptions of buckets from all traffic threads.
pub(super) async fn answer_settled(
    lanes: &[mpsc::Sender<LaneCommand>],
    service: ServiceId,
    buckets: Vec<BucketIndex>,
) -> PeerReply {
    let mut generation = u64::MAX;
    let mut records = Vec::new();
    for lane in lanes {
        let (reply, waiting) = oneshot::channel();
        let command = LaneCommand::ListSettled { service, buckets: buckets.clone(), reply };
        if lane.send(command).await.is_err() {
            return PeerReply::Declined;
        }
        let Ok(LaneRecords { generation: seen, records: found }) = waiting.await else {
            return PeerReply::Declined;
        };
        generation = generation.min(seen);
        records.extend(found);
    }
    PeerReply::Records { generation, record_lists: vec![ServiceRecordList { service, records }] }
}

/// Hands records to a host that has joined the chain of their buckets.
pub(super) async fn send_transfer(
    calls: &CallClient,
    metrics: &HostMetrics,
    address: Ipv4Addr,
    list: ServiceRecordList,
) {
    let call = PeerCall::TransferRecords { service: list.service, records: list.records };
    if calls.call(address, &call).await.is_err() {
        log::warn!(address:% = address; "records could not be handed over");
        metrics.overflow.fetch_add(1, Ordering::Relaxed);
    }
}
