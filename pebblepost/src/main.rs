//! The daemon.

#![forbid(unsafe_code)]

use pebblepost::{config, turn::Daemon};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "usage: pebblepost [--operator FILE]   (see README.md for the environment)";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pebblepost: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args_os().skip(1);
    let mut operator = std::env::var_os("PEBBLEPOST_OPERATOR").map(PathBuf::from);
    while let Some(arg) = args.next() {
        match arg.to_str() {
            Some("--operator") => operator = Some(args.next().ok_or(USAGE)?.into()),
            Some("--help" | "-h") => {
                println!("{USAGE}");
                return Ok(());
            }
            _ => return Err(USAGE.into()),
        }
    }
    let config = config::read(|name| std::env::var(name).ok(), operator.as_deref())?;
    let (signal, notify) = UnixStream::pair()?;
    for kind in [SIGTERM, SIGINT] {
        signal_hook::low_level::pipe::register(kind, notify.try_clone()?)?;
    }
    let log = |line: &str| eprintln!("pebblepost: {line}");
    Ok(Daemon::new(config, signal, log)?.run()?)
}
