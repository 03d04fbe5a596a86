//! Switches that disable single safety rules.
//!
//! Tests use them to show that the checkers of the simulation detect each missing rule. Programs use
//! the defaults, with every rule enabled.

/// Safety rules of the epoch register.
#[derive(Clone, Copy, Debug)]
pub struct RegisterGuards {
    /// While a change of the witness set is unfinished, a quorum also needs a majority of the former
    /// set.
    pub requires_former_majority: bool,
    /// Promises and acceptances are sent only after they are on disk.
    pub persists_before_reply: bool,
    /// A record accepted by less than a quorum is completed before a successor is proposed.
    pub completes_accepted: bool,
}

impl Default for RegisterGuards {
    fn default() -> Self {
        Self { requires_former_majority: true, persists_before_reply: true, completes_accepted: true }
    }
}

/// Safety rules of the replica.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent switches, one for each safety rule")]
pub struct ReplicaGuards {
    /// An entry is committed only when every in-sync replica has it on disk.
    pub commit_requires_all_in_sync: bool,
    /// While a change of the epoch is undecided, commits and the lease also require the replicas that
    /// it would add.
    pub commit_requires_pending_joiners: bool,
    /// A joiner is proposed as in sync only when it holds everything that may be committed.
    pub requires_caught_up_joiner: bool,
    /// The primary acts only while it holds its lease.
    pub requires_lease: bool,
    /// A replica that acknowledged a heartbeat, or was restarted, waits for the election timeout
    /// before it campaigns or acts.
    pub waits_for_election_timeout: bool,
    /// Entries are acknowledged to the primary only after they are on disk.
    pub persists_before_ack: bool,
    /// A restarted primary needs a new epoch before it acts again.
    pub requires_new_epoch_after_restart: bool,
    /// Messages of older epochs are rejected.
    pub rejects_old_epochs: bool,
    /// When the process of a primary is known to have ended, its successor skips the wait for the
    /// lease only if that primary is known to have acted in its term.
    pub early_takeover_requires_acted_term: bool,
    /// A replica that the record names as in sync, but that may have lost its data, does not campaign.
    pub campaign_requires_complete_log: bool,
}

impl Default for ReplicaGuards {
    fn default() -> Self {
        Self {
            commit_requires_all_in_sync: true,
            commit_requires_pending_joiners: true,
            requires_caught_up_joiner: true,
            requires_lease: true,
            waits_for_election_timeout: true,
            persists_before_ack: true,
            requires_new_epoch_after_restart: true,
            rejects_old_epochs: true,
            early_takeover_requires_acted_term: true,
            campaign_requires_complete_log: true,
        }
    }
}
