//! Links to the stores, and the outcomes that are sent on them.
//!
//! * [`link`]: one connection to a storage machine, and the pending calls on it.
//! * [`links`]: a link to each machine that is primary of a store group.
//! * [`outbox`]: outcomes that are waiting to be sent, and recently sent ones.
//!
//! The messages of a store are handled by the layer above, through [`link::LinkEvents`].

pub(crate) mod link;
pub(crate) mod links;
pub(crate) mod outbox;
