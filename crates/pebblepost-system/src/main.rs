//! One binary with a subcommand for each role and for operators.

mod command_line;
mod logging;
mod operator;

use clap::ArgMatches;
use eyre::Result;
use pebblepost_settings::Settings;
use std::process::ExitCode;

/// Exit code of a command that could not do its work.
const FAILED: u8 = 1;
/// Exit code of wrong settings or arguments, the same that `clap` uses.
const BAD_USAGE: u8 = 2;

fn main() -> ExitCode {
    logging::end_at_panic(pebblepost_link::is_decoding);
    logging::start();
    let matches = command_line::command_line().get_matches();
    let Some((name, arguments)) = matches.subcommand() else { return ExitCode::from(BAD_USAGE) };
    match run(name, arguments) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("error: {}", one_line(&error));
            ExitCode::from(operator::exit_code_of(&error).unwrap_or(FAILED))
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

/// Checks the settings file, and says "ok" or what is wrong.
fn check() -> u8 {
    match Settings::from_environment() {
        Ok(_) => {
            println!("ok");
            0
        }
        Err(error) => {
            eprintln!("error: {}", one_line(&error.into()));
            BAD_USAGE
        }
    }
}

/// An error with all its causes, in one line.
fn one_line(error: &eyre::Report) -> String {
    format!("{error:#}").split_whitespace().collect::<Vec<_>>().join(" ")
}
