//! Messages from and to the batch store.

use super::job::Job;
use super::lease::{ActiveLease, ItemOutcome, WorkLease};
use super::result::ItemResult;
use crate::{DiskId, Member};
use nanoserde::{DeBin, SerBin};

/// To a storage machine.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ToStore {
    /// First message of a proxy.
    ProxyHello {
        /// Name of the machine.
        node: String,
        /// Its zone.
        zone: String,
    },
    /// Submits a batch job.
    Submit {
        /// Request number, unique on this connection.
        call: u64,
        /// Group of the job.
        store_group: u32,
        /// The job.
        job: Job,
    },
    /// Asks for the results from an offset on.
    Read {
        /// Request number.
        call: u64,
        /// Group of the job.
        store_group: u32,
        /// Id of the job.
        job: String,
        /// Offset of the first result wanted.
        start: u64,
        /// Longest time to wait for a result, in milliseconds (long polling).
        wait_ms: u64,
    },
    /// Asks for the body of an item.
    ItemBody {
        /// Request number.
        call: u64,
        /// Group of the job.
        store_group: u32,
        /// Id of the job.
        job: String,
        /// Id of the item.
        item: String,
    },
    /// Ends a job.
    End {
        /// Request number.
        call: u64,
        /// Group of the job.
        store_group: u32,
        /// Id of the job.
        job: String,
    },
    /// Asks for leases of up to this many more items.
    RequestWork {
        /// Most items to lease.
        max_items: u32,
    },
    /// Outcomes of leased items.
    Outcomes {
        /// Group of the job.
        store_group: u32,
        /// Id of the job.
        job: String,
        /// Number of the lease.
        lease: u64,
        /// The outcomes.
        outcomes: Vec<ItemOutcome>,
    },
    /// The leases that a proxy holds, reported to the new primary of their group.
    ActiveLeases(Vec<ActiveLease>),
    /// Heartbeat: keeps the connection and the leases alive.
    KeepAlive,
    /// First message of another storage machine: its disk.
    PeerHello {
        /// The machine.
        member: Member,
    },
    /// From another storage machine: a message of the replication library.
    Replication {
        /// Destination disk; a machine at the same address with another disk drops the message.
        to: DiskId,
        /// Group of batch jobs.
        store_group: u32,
        /// The message.
        message: Vec<u8>,
    },
    /// From another storage machine: it is shutting down gracefully, and its replicas are to move to other
    /// machines.
    ShuttingDown,
    /// Asks for the state of the store, for an operator's command.
    Status,
}

/// Response to [`ToStore::Submit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum SubmitOutcome {
    /// Stored durably, on as many disks as required.
    Accepted,
    /// Rejected: the job is not stored, and this request will not store it later.
    Rejected {
        /// Backoff asked of the client, in milliseconds.
        retry_after_ms: u64,
    },
    /// Not the primary: the job is not stored by this machine.
    NotPrimary,
    /// Unknown whether the job is stored.
    Unknown,
}

/// Response to a request about a job.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum JobResponse<T> {
    /// The value.
    Found(T),
    /// No such job or item.
    NotFound,
    /// This machine is not the primary, or its lease has expired.
    Unavailable,
}

/// Results of a job from an offset on.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ResultPage {
    /// Items of the job.
    pub total: u64,
    /// Offset of the first result.
    pub start: u64,
    /// The results.
    pub results: Vec<ItemResult>,
}

/// From a storage machine.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum FromStore {
    /// Response to [`ToStore::Submit`].
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
        /// The page.
        answer: JobResponse<ResultPage>,
    },
    /// Response to [`ToStore::ItemBody`].
    Body {
        /// Request number.
        call: u64,
        /// The bytes.
        answer: JobResponse<Vec<u8>>,
    },
    /// Response to [`ToStore::End`].
    Ended {
        /// Request number.
        call: u64,
        /// Whether the end is stored durably, on as many disks as required.
        answer: JobResponse<bool>,
    },
    /// Notification that there are items to lease.
    WorkAvailable,
    /// Leases, in response to [`ToStore::RequestWork`]; empty if there are no more items.
    Work(Vec<WorkLease>),
    /// Jobs that have ended: none of their requests may be sent any more.
    Cancel {
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
    /// Renews the leases of these groups and epochs for [`LEASE_DURATION_MS`](super::LEASE_DURATION_MS) from the receipt on.
    Renew {
        /// Group and epoch.
        groups: Vec<(u32, u64)>,
    },
    /// Heartbeat: keeps the connection alive.
    KeepAlive,
    /// Response to [`ToStore::Status`], JSON.
    Status(Vec<u8>),
}
