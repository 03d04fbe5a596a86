//! Tests of the agent against a simulated control process and simulated proxies over loopback.

mod exchanges;
mod harness;
mod shutdown_and_reload;
