//! Messages to and from the batch store.

use super::encoded_job::EncodedJob;
use super::lease::{ActiveLease, ItemOutcome, UnsendableItems, WorkLease};
use super::result::ItemResult;
use crate::{DiskId, Member};
use nanoserde::{DeBin, SerBin};

/// Message to a storage machine.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ToStore {
    /// First message of a proxy on a connection.
    ProxyHello {
        /// Name of the machine.
        node: String,
        /// Zone of the machine.
        zone: String,
    },
    /// Submission of a batch job.
    Submit {
        /// Request number, unique on this connection. The response carries the same number.
        call: u64,
        /// Store group of the job.
        store_group: u32,
        /// The job.
        job: EncodedJob,
    },
    /// Request for the results of a job from an offset on.
    Read {
        /// Request number.
        call: u64,
        /// Store group of the job.
        store_group: u32,
        /// Id of the job.
        job: String,
        /// Offset of the first result wanted.
        start: u64,
        /// Maximum time to wait for a result, in milliseconds (long polling).
        wait_ms: u64,
    },
    /// Request for the body of an item.
    ItemBody {
        /// Request number.
        call: u64,
        /// Store group of the job.
        store_group: u32,
        /// Id of the job.
        job: String,
        /// Id of the item.
        item: String,
    },
    /// Request to end a job.
    End {
        /// Request number.
        call: u64,
        /// Store group of the job.
        store_group: u32,
        /// Id of the job.
        job: String,
    },
    /// Request for work leases of further items.
    RequestWork {
        /// Maximum number of items to lease.
        max_items: u32,
    },
    /// Outcomes of leased items.
    Outcomes {
        /// Store group of the job.
        store_group: u32,
        /// Id of the job.
        job: String,
        /// Number of the work lease.
        lease: u64,
        /// The outcomes.
        outcomes: Vec<ItemOutcome>,
    },
    /// The work leases that a proxy holds, reported to the new primary of their store group.
    ActiveLeases(Vec<ActiveLease>),
    /// Heartbeat: keeps the connection and the work leases alive.
    KeepAlive,
    /// First message of another storage machine on a connection: its identity.
    PeerHello {
        /// The machine and its disk.
        member: Member,
    },
    /// From another storage machine: a message of the replication library.
    Replication {
        /// Disk for which the message is meant. A machine at the same address with another disk discards the message.
        to: DiskId,
        /// Store group that the message is about.
        store_group: u32,
        /// Encoded message.
        message: Vec<u8>,
    },
    /// From another storage machine: it is shutting down gracefully, so its replicas must move to other machines.
    ShuttingDown,
    /// Request for the state of the store, for an operator's command.
    Status,
    /// Like [`ToStore::RequestWork`], by a proxy that cannot send some items at present. Such items are not leased to
    /// it.
    RequestSendableWork {
        /// Maximum number of items to lease.
        max_items: u32,
        /// Items that must not be leased.
        unsendable: Vec<UnsendableItems>,
    },
    /// From the primary of a store group: request to reserve memory for a job, before the job is replicated. The
    /// response is [`ToStore::ReserveMemoryResponse`]. A repeated request has the effect of one.
    ReserveMemory {
        /// Number of the job's submission, unique in the life of the sender's process.
        submission: u64,
        /// Store group of the job.
        store_group: u32,
        /// Id of the job.
        job: String,
        /// Estimated memory of the job, in bytes.
        bytes: u64,
    },
    /// Response to [`ToStore::ReserveMemory`].
    ReserveMemoryResponse {
        /// Number of the job's submission.
        submission: u64,
        /// Whether the memory is reserved. It is not if there is no room.
        is_granted: bool,
    },
    /// From the primary of a store group: the job of this submission is not replicated, so its memory is released.
    ReleaseMemory {
        /// Number of the job's submission.
        submission: u64,
    },
    /// Announcement of a large job, which the proxy sends with [`ToStore::Submit`] once the response is
    /// [`SubmitOutcome::Reserved`]. Any other outcome is that of the job.
    AnnounceJob {
        /// Request number.
        call: u64,
        /// Store group of the job.
        store_group: u32,
        /// Id of the job.
        job: String,
        /// Estimated memory of the job at a store, in bytes.
        bytes: u64,
    },
}

/// Response to [`ToStore::Submit`] and [`ToStore::AnnounceJob`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum SubmitOutcome {
    /// The job is stored durably, on as many disks as required.
    Accepted,
    /// The job is not stored, and this request will not store it later.
    Rejected {
        /// Time that the client should wait before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// This machine is not the primary of the store group and does not store the job.
    NotPrimary,
    /// It is unknown whether the job is stored.
    Unknown,
    /// Memory is reserved for the announced job, which is to be sent now.
    Reserved,
}

/// Response to a request about a job.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum JobResponse<T> {
    /// The requested value.
    Found(T),
    /// The job or item does not exist.
    NotFound,
    /// This machine is not the primary, or its lease has expired.
    Unavailable,
}

/// Results of a job from an offset on.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ResultPage {
    /// Number of items of the job.
    pub total: u64,
    /// Offset of the first result of this page.
    pub start: u64,
    /// Results in their order.
    pub results: Vec<ItemResult>,
}

/// Message from a storage machine.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum FromStore {
    /// Response to [`ToStore::Submit`] and [`ToStore::AnnounceJob`].
    Submitted {
        /// Request number.
        call: u64,
        /// Outcome of the submission.
        outcome: SubmitOutcome,
    },
    /// Response to [`ToStore::Read`].
    Results {
        /// Request number.
        call: u64,
        /// Page of results.
        answer: JobResponse<ResultPage>,
    },
    /// Response to [`ToStore::ItemBody`].
    Body {
        /// Request number.
        call: u64,
        /// Body of the item.
        answer: JobResponse<Vec<u8>>,
    },
    /// Response to [`ToStore::End`].
    Ended {
        /// Request number.
        call: u64,
        /// Whether the end of the job is stored durably, on as many disks as required.
        answer: JobResponse<bool>,
    },
    /// Notification that items are available for work leases.
    WorkAvailable,
    /// Work leases in response to [`ToStore::RequestWork`]; empty if no items are available.
    Work(Vec<WorkLease>),
    /// Jobs that have ended. No further request of theirs may be sent.
    Cancel {
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
    /// Renews the work leases of these store groups and epochs for [`LEASE_DURATION_MS`](super::LEASE_DURATION_MS) from
    /// the receipt on.
    Renew {
        /// Number and epoch of each store group.
        groups: Vec<(u32, u64)>,
    },
    /// Heartbeat: keeps the connection alive.
    KeepAlive,
    /// Response to [`ToStore::Status`]: the state as JSON.
    Status(Vec<u8>),
}
