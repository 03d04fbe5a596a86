//! Tests of the agent against a control process and proxies played over loopback.

mod exchanges;
mod life;
mod scene;
