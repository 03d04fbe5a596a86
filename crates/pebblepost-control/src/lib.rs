//! Control plane: a replicated group of control nodes that owns the configuration, the registry of instances, the
//! assignment of store groups and the roll-out of weight versions.
//!
//! Each module uses only those above it in this list, so state does not depend on decisions, and decisions do not
//! depend on I/O:
//!
//! * [`hash`]: stable hash functions.
//! * [`state`]: the replicated state, its commands and stored forms.
//! * [`membership`], [`registry`], [`feed`], [`storage`], [`load_order`], [`api`]: one concern each, without I/O.
//! * [`node`]: a control node without I/O; routes between these modules.
//! * [`runtime`]: sockets, disk, clocks and the event loop.
//!
//! The control plane is not on the path of inference requests. Proxies depend on the feed alone and continue to work
//! while the control plane is unavailable.

pub mod api;
pub mod feed;
pub mod hash;
pub mod load_order;
pub mod membership;
pub mod node;
pub mod registry;
pub mod runtime;
pub mod state;
pub mod storage;

pub use runtime::{ControlError, run};
