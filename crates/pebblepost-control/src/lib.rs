//! Control plane: a replicated group of processes that owns the configuration, the registry of transcribers, the
//! assignment of batch storage and the roll-out of weight versions.
//!
//! Each layer uses only those above it in this list, so state never depends on decisions nor decisions on I/O:
//!
//! * [`hash`]: stable hashes.
//! * [`state`]: the replicated state, its commands and stored forms.
//! * [`membership`], [`registry`], [`feed`], [`storage`], [`load_order`], [`api`]: one concern each, without I/O.
//! * [`node`]: a control process without I/O; routes between the concerns.
//! * [`runtime`]: sockets, disk, clocks and the loop.
//!
//! It never serves inference requests: proxies act by the feed alone and continue without the control plane.

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
