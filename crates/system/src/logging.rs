//! Logs on standard error: one short line each, without a time, as the platform adds it.

use env_logger::{Builder, Env};
use std::io::Write;

/// Variable that sets the levels, such as `debug` or `info,pebblepost_control=debug`. `RUST_LOG`
/// is read where it is not set.
const LEVELS_VARIABLE: &str = "PEBBLEPOST_LOG";
const USUAL_VARIABLE: &str = "RUST_LOG";
const USUAL_LEVEL: &str = "info";
/// What the targets of our crates begin with; left out of the lines.
const CRATE_PREFIX: &str = "pebblepost_";

/// Starts the logger.
pub fn start() {
    let variable = if std::env::var_os(LEVELS_VARIABLE).is_some() { LEVELS_VARIABLE } else { USUAL_VARIABLE };
    let levels = Env::new().filter_or(variable, USUAL_LEVEL);
    Builder::from_env(levels)
        .format(|line, record| {
            let target = record.target();
            let target = target.strip_prefix(CRATE_PREFIX).unwrap_or(target);
            let short = target.split("::").next().unwrap_or(target);
            writeln!(line, "{} {short}: {}", record.level(), record.args())
        })
        .init();
}
