//! One binary with a subcommand for each role and for operators.
//!
//! `command_line` defines the commands, `logging` the logs, `operator` the commands for operators. Each
//! role is a crate of its own; this one holds no state.

mod command_line;
mod logging;
mod operator;

use clap::ArgMatches;
use eyre::Result;
use pebblepost_settings::Settings;
use std::process::ExitCode;

/// Exit code of a command that failed.
const FAILURE_EXIT_CODE: u8 = 1;
/// Exit code of wrong settings or arguments, as that of `clap`.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    logging::exit_on_panic(pebblepost_link::is_decoding);
    logging::start();
    let matches = command_line::command_line().get_matches();
    let Some((name, arguments)) = matches.subcommand() else { return ExitCode::from(USAGE_EXIT_CODE) };
    match run(name, arguments) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("error: {}", one_line(&error));
            ExitCode::from(operator::exit_code_of(&error).unwrap_or(FAILURE_EXIT_CODE))
        }
    }
}

fn run(name: &str, arguments: &ArgMatches) -> Result<u8> {
    match name {
        "proxy" => pebblepost_proxy::run(Settings::from_environment()?)?,
        "agent" => pebblepost_agent::run(Settings::from_environment()?)?,
        "control" => pebblepost_control::run(Settings::from_environment()?)?,
        "store" => pebblepost_batch_store::run(Settings::from_environment()?)?,
        "check" => return Ok(check()),
        _ => operator::run(name, arguments)?,
    }
    Ok(0)
}

/// Checks the settings file and prints "ok" or the error.
fn check() -> u8 {
    match Settings::from_environment() {
        Ok(_) => {
            println!("ok");
            0
        }
        Err(error) => {
            eprintln!("error: {}", one_line(&error.into()));
            USAGE_EXIT_CODE
        }
    }
}

/// An error with its causes, as one line.
fn one_line(error: &eyre::Report) -> String {
    format!("{error:#}").split_whitespace().collect::<Vec<_>>().join(" ")
}
