//! Channels between the traffic threads and the other threads of a host, and the commands on them.

use mustardgrade_core::flow::{BindingRecord, RecordTransfer};
use mustardgrade_core::identity::{HostId, ServiceId};
use mustardgrade_core::placement::BucketIndex;
use mustardgrade_wire::peer::ServiceRecordList;
use tokio::sync::{mpsc, oneshot, watch};

/// `TrafficCommand` is a command from the control thread to a traffic thread.
#[derive(Debug)]
pub enum TrafficCommand {
    /// Add records received from another host; existing records of the same flows are retained.
    MergeRecords(Vec<ServiceRecordList>),
    /// Store settled exceptions, replacing earlier ones of the same flows.
    InstallExceptions {
        /// Exceptions by service.
        record_lists: Vec<ServiceRecordList>,
        /// Confirms that packets are routed by the exceptions.
        done_sender: oneshot::Sender<()>,
    },
    /// Confirm that packets are routed by the latest routing snapshot.
    ConfirmSnapshot(oneshot::Sender<()>),
    /// Return all settled exceptions, and the records of buckets that are guarded only because of
    /// a network partition, by service.
    ListAllExceptions(oneshot::Sender<Vec<ServiceRecordList>>),
    /// Return the settled exceptions of buckets, or `None` if this host may lack some of them.
    ListBucketExceptions {
        /// Service and buckets concerned, and the minimum placement generation.
        request: BucketExceptionsRequest,
        /// Channel for the exceptions.
        reply_sender: oneshot::Sender<Option<Vec<BindingRecord>>>,
    },
    /// Return the records of all buckets whose owner chain a host may enter, by service.
    ListRecordsForHost {
        /// Host that requests the records.
        host: HostId,
        /// Channel for the records.
        reply_sender: oneshot::Sender<Vec<ServiceRecordList>>,
    },
}

/// `BucketExceptionsRequest` names the buckets whose settled exceptions a host asks for.
#[derive(Debug, Clone)]
pub struct BucketExceptionsRequest {
    /// Service to which the buckets belong.
    pub service: ServiceId,
    /// Buckets whose exceptions are concerned.
    pub buckets: Vec<BucketIndex>,
    /// Minimum placement generation of the answer.
    pub min_generation: u64,
}

/// `TrafficThreadChannels` connect a traffic thread to the other threads of the host.
#[derive(Debug)]
pub struct TrafficThreadChannels {
    /// Commands from the control thread.
    pub commands: mpsc::Receiver<TrafficCommand>,
    /// Packets that carry requests, for the request thread.
    pub request_packets: mpsc::Sender<Vec<u8>>,
    /// Records for hosts that have joined an owner chain, sent by the control thread.
    pub transfers: mpsc::Sender<RecordTransfer>,
    /// Becomes true when the thread must end.
    pub stop_requested: watch::Receiver<bool>,
}
