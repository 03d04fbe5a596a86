//! Logging to standard error, one line per event. Lines carry no timestamp because the platform adds one.
//! A panic is also logged on one line, and ends the process.

use env_logger::{Builder, Env};
use std::io::Write;
use std::panic::PanicHookInfo;

/// Environment variable with the log levels, such as `debug` or `info,pebblepost_control=debug`.
const LEVELS_VARIABLE: &str = "PEBBLEPOST_LOG";
/// Environment variable that is read if [`LEVELS_VARIABLE`] is not set.
const FALLBACK_VARIABLE: &str = "RUST_LOG";
const DEFAULT_LEVELS: &str = "info";
/// Prefix of the workspace's log targets. It is removed from the printed lines.
const CRATE_PREFIX: &str = "pebblepost_";

/// Exit code after a panic. Rust uses the same code if `main` panics.
const PANIC_EXIT_CODE: i32 = 101;

/// Installs a panic hook that ends the process.
///
/// Without it `tokio` would end only the task that panicked, and the process would continue without that
/// task. The platform restarts a process that has ended. The hook ignores a panic during which `is_caught`
/// returns true, because the code that called the panicking function catches that panic.
pub fn exit_on_panic(is_caught: fn() -> bool) {
    std::panic::set_hook(Box::new(move |panic| {
        if is_caught() {
            return;
        }
        // Bypasses the logger: its levels may filter out the line, and the panic may come from the logger.
        let _ = writeln!(std::io::stderr(), "{}", format_panic(panic));
        std::process::exit(PANIC_EXIT_CODE);
    }));
}

fn format_panic(panic: &PanicHookInfo<'_>) -> String {
    let location = panic.location().map_or_else(|| "an unknown location".to_owned(), ToString::to_string);
    let cause =
        panic.payload_as_str().unwrap_or("no message").split_whitespace().collect::<Vec<_>>().join(" ");
    format!("ERROR system: panicked at {location}: {cause}")
}

/// Initializes the global logger.
///
/// # Panics
/// If a logger is already set.
pub fn init() {
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
