//! Tests of the control plane: single components without I/O, whole groups of control processes on a simulated network,
//! and the HTTP server on real connections.

mod api;
mod change_history;
mod concurrent_changes;
mod crowded_link;
mod deferred_requests;
mod failover;
mod failover_times;
mod fault_injection;
mod feed;
mod feed_sharing;
mod graceful_shutdown;
mod http;
mod load_orders;
mod membership;
mod order_deadline;
mod registry;
mod state;
mod status;
mod storage_groups;
mod stored_forms;
mod support;
mod whole_system_run;
