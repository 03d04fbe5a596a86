//! Messages between proxies and storage machines, and the types of batch jobs.

use nanoserde::{DeBin, SerBin};

/// The call that scores the text of an item.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Scorer {
    /// `Request-Id` of the call.
    pub id: String,
    /// Host by which the call is routed.
    pub hostname: String,
    /// Path of the call.
    pub path: String,
    /// Body of the call, decoded.
    pub body: Vec<u8>,
}

/// An item of a batch job, as submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Item {
    /// Its id, sent as `Request-Id`.
    pub id: String,
    /// Path of its request.
    pub path: String,
    /// Headers of its request.
    pub headers: Vec<(String, String)>,
    /// Body of its request, decoded.
    pub body: Vec<u8>,
    /// Tokens of its prompt and the most out, summed.
    pub tokens: u64,
    /// Group whose items share their prompt.
    pub group: String,
    /// Call that scores its text, if any.
    pub scorer: Option<Scorer>,
}

/// What the route of a batch job said when the job was taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct JobTerms {
    /// Name of the route.
    pub route: String,
    /// Host of the route.
    pub hostname: String,
    /// Time after the first send by which all results are due.
    pub run_deadline_ms: u64,
    /// Time after the first send at which an item may be given up.
    pub queue_ttl_ms: u64,
    /// Failed attempts after which an item may be given up.
    pub max_attempts: u32,
    /// Rank, 0 highest.
    pub priority: u32,
    /// A text must be made under a single version.
    pub single_version: bool,
}

/// A batch job, as submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Job {
    /// Its id.
    pub id: String,
    /// Terms of its route.
    pub terms: JobTerms,
    /// Step of the trainer.
    pub step: u64,
    /// Model that makes the texts; empty where the job names none.
    pub model: String,
    /// Oldest version of the weights that may make its tokens.
    pub min_version: u64,
    /// Complete groups that the trainer waits for.
    pub desired_groups: u32,
    /// The items, in the order submitted.
    pub items: Vec<Item>,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub enum ResultState {
    /// Its whole text is there.
    #[default]
    Completed,
    /// Given up.
    DeadLetter,
}

/// Result of an item.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ItemResult {
    /// Id of the item.
    pub id: String,
    /// How it ended.
    pub state: ResultState,
    /// Data of all events in order, separated by line feeds.
    pub message: Vec<u8>,
    /// Every version that made an event of the text, in the order of their first event.
    pub versions: Vec<u64>,
    /// Stamp of the scorer's answer; empty where the item has no scorer.
    pub score: String,
}

/// Text of an item as far as it is known, to be continued after its last event.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct PartialText {
    /// Id of the last event; 0 for none.
    pub last_event: u64,
    /// Data of the events so far, separated by line feeds.
    pub message: Vec<u8>,
    /// Versions so far.
    pub versions: Vec<u64>,
}

/// An item that a proxy is to run.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct LeasedItem {
    /// The item.
    pub item: Item,
    /// Attempts that failed so far, of the text.
    pub failed_attempts: u32,
    /// Attempts that failed so far, of the scorer's call.
    pub failed_scorer_attempts: u32,
    /// Text that is kept.
    pub partial: PartialText,
}

/// Items of one group of samples that a proxy is to run, under one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct WorkLease {
    /// Number of the lease, unique for its group of jobs and epoch.
    pub lease: u64,
    /// Group of batch jobs.
    pub store_group: u32,
    /// Epoch of that group.
    pub epoch: u64,
    /// Id of the job.
    pub job: String,
    /// Terms of the job's route.
    pub terms: JobTerms,
    /// Model; empty for none.
    pub model: String,
    /// Oldest version allowed.
    pub min_version: u64,
    /// Milliseconds until the results are due; 0 if that has passed.
    pub due_in_ms: u64,
    /// Milliseconds until items may be given up; 0 if that has passed.
    pub expires_in_ms: u64,
    /// The items.
    pub items: Vec<LeasedItem>,
}

/// How a leased item ended at a proxy.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ItemOutcome {
    /// Listed as it is.
    Finished(ItemResult),
    /// Not finished: handed back with what is known, to be leased again.
    Returned {
        /// Id of the item.
        id: String,
        /// Failed attempts of the text.
        failed_attempts: u32,
        /// Failed attempts of the scorer's call.
        failed_scorer_attempts: u32,
        /// Text so far.
        partial: PartialText,
    },
}

/// A lease that a proxy holds, announced to a new primary.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ActiveLease {
    /// Group of batch jobs.
    pub store_group: u32,
    /// Id of the job.
    pub job: String,
    /// Ids of the items still at work.
    pub items: Vec<String>,
}

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
    /// A batch job to take into custody.
    Submit {
        /// Number of the call on this connection.
        call: u64,
        /// Group of the job.
        store_group: u32,
        /// The job.
        job: Job,
    },
    /// Results from a position on.
    Read {
        /// Number of the call.
        call: u64,
        /// Group of the job.
        store_group: u32,
        /// Id of the job.
        job: String,
        /// First position.
        start: u64,
        /// How long the answer may be held for a result.
        wait_ms: u64,
    },
    /// Body of an item.
    ItemBody {
        /// Number of the call.
        call: u64,
        /// Group of the job.
        store_group: u32,
        /// Id of the job.
        job: String,
        /// Id of the item.
        item: String,
    },
    /// The end of a job.
    End {
        /// Number of the call.
        call: u64,
        /// Group of the job.
        store_group: u32,
        /// Id of the job.
        job: String,
    },
    /// The proxy has capacity for this many more items.
    RequestWork {
        /// Most items to lease.
        max_items: u32,
    },
    /// Ends of leased items.
    Outcomes {
        /// Group of the job.
        store_group: u32,
        /// Id of the job.
        job: String,
        /// Number of the lease.
        lease: u64,
        /// The ends.
        outcomes: Vec<ItemOutcome>,
    },
    /// The leases of a proxy, announced to the new primary of their group.
    ActiveLeases(Vec<ActiveLease>),
    /// Nothing to say; keeps the connection and the leases alive.
    KeepAlive,
    /// First message of another storage machine: its disk.
    PeerHello {
        /// The machine.
        member: crate::Member,
    },
    /// From another storage machine: a message of the replication library.
    Replication {
        /// Disk that it is meant for; another one at the same address drops it.
        to: crate::DiskId,
        /// Group of batch jobs.
        store_group: u32,
        /// The message.
        message: Vec<u8>,
    },
    /// From another storage machine: it is about to shut down, and its replicas are to move to other
    /// machines.
    ShuttingDown,
    /// An operator's command asks for the state of the store.
    Status,
}

/// Answer to [`ToStore::Submit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum SubmitOutcome {
    /// In custody, on as many disks as must be.
    Accepted,
    /// Rejected: the job is not stored, and this call will not store it later.
    Rejected {
        /// Back-off that the client is asked to keep.
        retry_after_ms: u64,
    },
    /// This machine is not the primary, and did not take it.
    NotPrimary,
    /// Not known whether it is taken.
    Unknown,
}

/// Answer to a call about a job.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum JobAnswer<T> {
    /// The answer.
    Found(T),
    /// No such job or item.
    NotFound,
    /// This machine cannot answer: it is not the primary, or its lease has expired.
    Uncertain,
}

/// Results of a job from a position on.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ResultPage {
    /// Items of the job.
    pub total: u64,
    /// First position of the page.
    pub start: u64,
    /// The results.
    pub results: Vec<ItemResult>,
}

/// From a storage machine.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum FromStore {
    /// Answer to [`ToStore::Submit`].
    Submitted {
        /// Number of the call.
        call: u64,
        /// What became of it.
        outcome: SubmitOutcome,
    },
    /// Answer to [`ToStore::Read`].
    Results {
        /// Number of the call.
        call: u64,
        /// The page.
        answer: JobAnswer<ResultPage>,
    },
    /// Answer to [`ToStore::ItemBody`].
    Body {
        /// Number of the call.
        call: u64,
        /// The bytes.
        answer: JobAnswer<Vec<u8>>,
    },
    /// Answer to [`ToStore::End`].
    Ended {
        /// Number of the call.
        call: u64,
        /// Done, on as many disks as must be.
        answer: JobAnswer<bool>,
    },
    /// There are items to lease.
    WorkAvailable,
    /// Leases, in answer to [`ToStore::RequestWork`]; empty if there is nothing more.
    Work(Vec<WorkLease>),
    /// Jobs that have ended: nothing of them may be sent any more.
    Cancel {
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
    /// Leases of these groups, in these epochs, hold for [`LEASE_MS`] from the receipt on.
    Renew {
        /// Group and epoch.
        groups: Vec<(u32, u64)>,
    },
    /// Nothing to say; keeps the connection alive.
    KeepAlive,
    /// Answer to [`ToStore::Status`], JSON.
    Status(Vec<u8>),
}

/// How long a work lease holds after its last renewal, in milliseconds.
pub const LEASE_MS: u64 = 1500;
/// How often a primary renews the leases that it gave, in milliseconds.
pub const RENEW_MS: u64 = 400;
/// Groups that batch jobs are spread over.
pub const STORE_GROUPS: u32 = 8;

/// Group that a batch job belongs to: FNV-1a over its id.
pub fn store_group_of(job: &str) -> u32 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let hash = job.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    u32::try_from(hash % u64::from(STORE_GROUPS)).unwrap_or(0)
}
