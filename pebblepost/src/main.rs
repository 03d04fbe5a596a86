//! The daemon.

#![forbid(unsafe_code)]

use pebblepost::{config, turn};
use serde_json::{Value, json};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

const USAGE: &str = "usage: pebblepost [--operator FILE]   (README.md tells of the environment)
       pebblepost ctl ADDRESS show | drain WORKER | undrain WORKER | set NAME SECONDS | unset NAME";

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
    // First of all: from the start SIGHUP ends nothing.
    let (reload, notify) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(SIGHUP, notify)?;
    let mut args = std::env::args_os().skip(1);
    let mut operator = std::env::var_os("PEBBLEPOST_OPERATOR").map(PathBuf::from);
    while let Some(arg) = args.next() {
        match arg.to_str() {
            Some("--operator") => operator = Some(args.next().ok_or(USAGE)?.into()),
            Some("ctl") => {
                let words: Option<Vec<String>> = args.map(|a| a.into_string().ok()).collect();
                return ctl(&words.unwrap_or_default());
            }
            Some("--help" | "-h") => {
                println!("{USAGE}");
                return Ok(());
            }
            _ => return Err(USAGE.into()),
        }
    }
    let config = config::read(|name| std::env::var(name).ok(), operator.as_deref())?;
    let (stop, notify) = UnixStream::pair()?;
    for kind in [SIGTERM, SIGINT] {
        signal_hook::low_level::pipe::register(kind, notify.try_clone()?)?;
    }
    // `eprintln!` would panic if whoever reads the log has gone.
    let log = |line: &str| drop(writeln!(std::io::stderr(), "pebblepost: {line}"));
    // The environment speaks of the start only; the file may name another discovery since.
    let var = |name: &str| std::env::var(name).ok().filter(|_| name != "PROXY_DISCOVERY");
    let read = Box::new(move || config::read(var, operator.as_deref()));
    Ok(turn::Daemon::new(config, turn::Signals { stop, reload, read }, log)?.run()?)
}

/// Asks or changes the store of a running program.
fn ctl(words: &[String]) -> Result<(), Box<dyn std::error::Error>> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let change = |key: String, value: Value| json!({"set": {key: value}});
    let (address, line) = match words.as_slice() {
        [address, "show"] => (address, json!({"show": true})),
        [address, "drain", worker] => (address, change(format!("drain/{worker}"), json!(true))),
        [address, "undrain", worker] => (address, change(format!("drain/{worker}"), Value::Null)),
        [address, "set", name, secs] => {
            (address, change(format!("setting/{name}"), json!(secs.parse::<f64>()?)))
        }
        [address, "unset", name] => (address, change(format!("setting/{name}"), Value::Null)),
        _ => return Err(USAGE.into()),
    };
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    writeln!(stream, "{line}")?;
    let mut reply = String::new();
    BufReader::new(stream).read_line(&mut reply)?;
    let reply: Value = serde_json::from_str(&reply)?;
    match reply.get("error").and_then(Value::as_str) {
        Some(error) => Err(error.into()),
        None => {
            println!("{reply:#}");
            Ok(())
        }
    }
}
