//! The `pebblepost-system` binary, with one subcommand per role and the commands for operators.
//!
//! Module `command_line` defines the arguments, `logging` sets up the logger and the panic hook, and
//! `operator` implements the operators' commands. Each role is implemented in a crate of its own; this
//! crate holds no state.

mod command_line;
mod logging;
mod operator;

use clap::ArgMatches;
use eyre::Result;
use pebblepost_settings::Settings;
use std::process::ExitCode;

/// Exit code for failures other than wrong usage and rejections.
const FAILURE_EXIT_CODE: u8 = 1;
/// Exit code for wrong arguments or settings. `clap` uses the same code.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    logging::exit_on_panic(pebblepost_link::is_decoding);
    logging::init();
    let matches = command_line::command_line().get_matches();
    let Some((name, arguments)) = matches.subcommand() else { return ExitCode::from(USAGE_EXIT_CODE) };
    match run(name, arguments) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("error: {}", format_on_one_line(&error));
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
        "check" => return Ok(check_settings()),
        _ => operator::run(name, arguments)?,
    }
    Ok(0)
}

/// Loads the settings file, prints `ok` or the error, and returns the exit code.
fn check_settings() -> u8 {
    match Settings::from_environment() {
        Ok(_) => {
            println!("ok");
            0
        }
        Err(error) => {
            eprintln!("error: {}", format_on_one_line(&error.into()));
            USAGE_EXIT_CODE
        }
    }
}

/// Formats an error and its causes on one line.
fn format_on_one_line(error: &eyre::Report) -> String {
    format!("{error:#}").split_whitespace().collect::<Vec<_>>().join(" ")
}
