//! Logging to standard error: one line an event, without a time, which the platform adds. A panic is
//! logged as one line too, and ends the process.

use env_logger::{Builder, Env};
use std::io::Write;
use std::panic::PanicHookInfo;

/// Variable with the levels, such as `debug` or `info,pebblepost_control=debug`.
const LEVELS_VARIABLE: &str = "PEBBLEPOST_LOG";
/// Variable with the levels where [`LEVELS_VARIABLE`] is not set.
const FALLBACK_VARIABLE: &str = "RUST_LOG";
const DEFAULT_LEVELS: &str = "info";
/// Prefix of the workspace's targets, left out of the lines.
const CRATE_PREFIX: &str = "pebblepost_";

/// Exit code of a process that panicked, as Rust's for a panic of `main`.
const PANIC_EXIT_CODE: i32 = 101;

/// Makes every panic end the process. `tokio` would end the task only, and the program would go on
/// without it; the platform restarts the process. A panic while `is_caught` returns true is left to
/// the code that catches it.
pub fn exit_on_panic(is_caught: fn() -> bool) {
    std::panic::set_hook(Box::new(move |panic| {
        if is_caught() {
            return;
        }
        // Not through the logger, whose levels might hide the line and which might be what panicked.
        let _ = writeln!(std::io::stderr(), "{}", panic_line(panic));
        std::process::exit(PANIC_EXIT_CODE);
    }));
}

fn panic_line(panic: &PanicHookInfo<'_>) -> String {
    let location = panic.location().map_or_else(|| "an unknown place".to_owned(), ToString::to_string);
    let cause =
        panic.payload_as_str().unwrap_or("no message").split_whitespace().collect::<Vec<_>>().join(" ");
    format!("ERROR system: panicked at {location}: {cause}")
}

/// Starts the logger.
pub fn start() {
    let variable =
        if std::env::var_os(LEVELS_VARIABLE).is_some() { LEVELS_VARIABLE } else { FALLBACK_VARIABLE };
    let levels = Env::new().filter_or(variable, DEFAULT_LEVELS);
    Builder::from_env(levels)
        .format(|line, record| {
            let target = record.target();
            let target = target.strip_prefix(CRATE_PREFIX).unwrap_or(target);
            let short = target.split("::").next().unwrap_or(target);
            writeln!(line, "{} {short}: {}", record.level(), record.args())
        })
        .init();
}
