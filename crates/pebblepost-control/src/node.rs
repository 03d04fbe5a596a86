//! A control node without I/O. Events are passed in as [`Input`]s; the actions to carry out are returned as
//! [`Output`]s.
//!
//! [`ControlNode`] owns one component per concern and routes between them. Components don't depend on each other:
//!
//! * `control_group`: the epoch register and the local replica of the control state.
//! * `inbound_links`, `peer_links`: links opened by other programs, and to other control nodes.
//! * `pending_requests`: HTTP requests whose response waits for a commit or for acknowledgements.
//! * `deferred`: requests and messages that wait until a primary is known.
//! * `primary`: state that only a primary has, with its components `order_lease`, `group_changes` and `storage_plan`.
//!
//! The modules `dispatch`, `requests`, `links`, `peering` and `leadership` implement the routing. No component reads a
//! clock, does I/O or draws random numbers other than those derived from [`NodeSettings::random_seed`].

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
