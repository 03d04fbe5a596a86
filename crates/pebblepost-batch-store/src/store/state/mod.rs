//! State of the store: types with one concern each, which do not depend on the store.

pub(crate) mod connections;
pub(crate) mod deferred;
pub(crate) mod epoch_changes;
pub(crate) mod group;
pub(crate) mod lease_outcomes;
pub(crate) mod membership;
pub(crate) mod outbox;
pub(crate) mod periodic;
pub(crate) mod proposals;
pub(crate) mod recovery;
pub(crate) mod reservations;
pub(crate) mod submissions;
pub(crate) mod version_lags;
