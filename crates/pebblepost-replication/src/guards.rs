//! Switches that take single safety rules out, so that tests can show that their checkers notice.
//! Programs use the defaults.

/// Guards of the register.
#[derive(Clone, Copy, Debug)]
pub struct RegisterGuards {
    /// While a change of the witness set is unfinished, a quorum needs a majority of the former set
    /// too.
    pub former_majority: bool,
    /// Promises and acceptances are on disk before they are sent.
    pub persisted_before_reply: bool,
    /// A record accepted by less than a quorum is completed before anything builds on it.
    pub completes_accepted: bool,
}

impl Default for RegisterGuards {
    fn default() -> Self {
        Self { former_majority: true, persisted_before_reply: true, completes_accepted: true }
    }
}

/// Guards of the replica.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent switches, one for each safety rule")]
pub struct ReplicaGuards {
    /// An entry is committed only when every in-sync replica has it on disk.
    pub commit_waits_for_all: bool,
    /// While a change of the epoch is undecided, commits and the lease need its replicas too.
    pub commit_waits_for_joiner: bool,
    /// A joiner is proposed only when it holds everything that may be committed.
    pub joiner_is_caught_up: bool,
    /// The primary acts only under its lease.
    pub lease: bool,
    /// A replica that acknowledged a heartbeat, or was restarted, waits for the election timeout
    /// before it stands or acts.
    pub election_timeout: bool,
    /// Entries are acknowledged to the primary only when they are on disk.
    pub persisted_before_ack: bool,
    /// A primary that was restarted does not go on in its old epoch.
    pub new_epoch_after_restart: bool,
    /// Messages of older epochs are rejected.
    pub old_epochs_rejected: bool,
    /// The end of a primary lets the next one act at once only if it is known to have acted in its
    /// term.
    pub takeover_needs_acted_term: bool,
    /// A replica that is counted as in sync, but may have dropped what it held, does not stand for
    /// election.
    pub complete_log_before_standing: bool,
}

impl Default for ReplicaGuards {
    fn default() -> Self {
        Self {
            commit_waits_for_all: true,
            commit_waits_for_joiner: true,
            joiner_is_caught_up: true,
            lease: true,
            election_timeout: true,
            persisted_before_ack: true,
            new_epoch_after_restart: true,
            old_epochs_rejected: true,
            takeover_needs_acted_term: true,
            complete_log_before_standing: true,
        }
    }
}
