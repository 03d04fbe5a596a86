//! Links to the stores, and the outcomes that go out on them.
//!
//! * [`link`]: one connection to a storage machine, and the calls under way on it.
//! * [`links`]: a link to each machine that is primary of a store group.
//! * [`outbox`]: outcomes that wait to be sent, and those sent lately.
//!
//! What is done about a store's messages is decided above, through [`link::LinkEvents`].

pub(crate) mod link;
pub(crate) mod links;
pub(crate) mod outbox;
