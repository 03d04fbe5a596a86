//! A control process without I/O: whatever happens is an [`Input`], whatever has to be done is an [`Output`].
//!
//! [`ControlNode`] owns one part per concern and routes between them; the parts know nothing of each other:
//!
//! * `control_group`: the epoch register and the replica of the control state.
//! * `inbound_links`, `peer_links`: links opened by other programs, and to other control processes.
//! * `pending_requests`: HTTP requests that wait for a commit or for acknowledgements.
//! * `deferred`: requests and links that wait for a primary to be known.
//! * `primary`: what only a primary has; `order_lease`, `group_changes` and `storage_plan` are parts of it.
//!
//! The files `dispatch`, `requests`, `links`, `peering` and `leadership` are the routing. No part reads a clock, draws
//! random numbers of its own or does I/O.

mod control_group;
mod control_node;
mod deferred;
mod dispatch;
mod events;
mod group_changes;
mod inbound_links;
mod leadership;
mod links;
mod order_lease;
mod peer_links;
mod peering;
mod pending_requests;
mod primary;
mod requests;
mod settings;
mod status;
mod storage_plan;

pub use control_node::ControlNode;
pub use events::{Input, Output, RequestId};
pub use settings::NodeSettings;
