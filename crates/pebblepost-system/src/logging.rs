//! Logs on standard error: one short line each, without a time, as the platform adds it. A panic is one line too,
//! and the end of the process.

use env_logger::{Builder, Env};
use std::io::Write;
use std::panic::PanicHookInfo;

/// Variable that sets the levels, such as `debug` or `info,pebblepost_control=debug`. `RUST_LOG`
/// is read where it is not set.
const LEVELS_VARIABLE: &str = "PEBBLEPOST_LOG";
const USUAL_VARIABLE: &str = "RUST_LOG";
const USUAL_LEVEL: &str = "info";
/// What the targets of our crates begin with; left out of the lines.
const CRATE_PREFIX: &str = "pebblepost_";

/// Exit code of a process that panicked, the one that Rust uses for a panic of `main`.
const PANICKED: i32 = 101;

/// Has a panic end the process, wherever it is. `tokio` would otherwise end the task only, and the program would go
/// on without it; the platform starts the process again. A panic where `is_caught` says so is left to the code that
/// catches it.
pub fn end_at_panic(is_caught: fn() -> bool) {
    std::panic::set_hook(Box::new(move |panic| {
        if is_caught() {
            return;
        }
        // Not by the logger: its levels might hide the line, or the panic be within it.
        let _ = writeln!(std::io::stderr(), "{}", panic_line(panic));
        std::process::exit(PANICKED);
    }));
}

fn panic_line(panic: &PanicHookInfo<'_>) -> String {
    let place = panic.location().map_or_else(|| "an unknown place".to_owned(), ToString::to_string);
    let cause =
        panic.payload_as_str().unwrap_or("no message").split_whitespace().collect::<Vec<_>>().join(" ");
    format!("ERROR system: panicked at {place}: {cause}")
}

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
