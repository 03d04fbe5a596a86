//! Switches that take single safety guards out, so that tests can show that their checkers
//! notice. Programs use the defaults.

/// Guards of the register.
#[derive(Clone, Copy, Debug)]
pub struct RegisterGuards {
    /// While a change of the witness set is unfinished, a majority of the former set counts too.
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
pub struct ReplicaGuards {
    /// An entry is committed only when every in-sync replica has it on disk.
    pub commit_waits_for_all: bool,
    /// While a change of the epoch is undecided, commits and the lease need its replicas too.
    pub joiner_waits: bool,
    /// A joiner is proposed only when it holds everything that may be committed.
    pub joiner_is_caught_up: bool,
    /// The primary acts only under its lease.
    pub lease: bool,
    /// A replica that confirmed a beacon, or started anew, waits before it stands or acts.
    pub grace: bool,
    /// Entries are acknowledged to the primary only when they are on disk.
    pub persisted_before_ack: bool,
    /// A primary that started anew does not go on in its old epoch.
    pub new_life_new_epoch: bool,
    /// Messages of older epochs are refused.
    pub old_epochs_refused: bool,
    /// The end of a primary makes way for the next one at once only if it is known to have acted in its term.
    pub ended_term_was_acted: bool,
    /// A replica that is counted as in sync, but may have given up what it held, does not stand.
    pub history_before_standing: bool,
}

impl Default for ReplicaGuards {
    fn default() -> Self {
        Self {
            commit_waits_for_all: true,
            joiner_waits: true,
            joiner_is_caught_up: true,
            lease: true,
            grace: true,
            persisted_before_ack: true,
            new_life_new_epoch: true,
            old_epochs_refused: true,
            ended_term_was_acted: true,
            history_before_standing: true,
        }
    }
}
