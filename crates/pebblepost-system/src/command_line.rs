//! Definition of the command line. The help texts are part of the operators' interface.

use clap::{Arg, ArgAction, Command, value_parser};
use std::net::SocketAddr;
use std::path::PathBuf;

const AFTER_HELP: &str = "\
Environment:
  PEBBLEPOST_SETTINGS  settings file (TOML) of this machine; needed by the roles and by check, and read by the
                       operators' commands for addresses that the command line doesn't give
  PEBBLEPOST_LOG       levels of the logs, such as debug or info,pebblepost_control=debug (else RUST_LOG; info)

Exit codes:
  0  done
  1  failed: no answer, or the system could not do it now
  2  wrong arguments, settings or files
  3  refused: another version is in place (412), in conflict with the state (409), or invalid (400, 404, 413, 422)

Signals, for the roles:
  SIGTERM  finish what is open within bounds.grace_s, then end
  SIGHUP   read the settings file again";

/// Builds the definition of all commands and arguments.
pub fn command_line() -> Command {
    Command::new("pebblepost-system")
        .about("Rollout scheduler for trainers: proxies, control plane and store machines in one program")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(AFTER_HELP)
        .subcommands(role_commands())
        .subcommand(Command::new("check").about("Checks the settings file and says ok, or what is wrong"))
        .subcommands([status_command(), config_command(), retire_command(), versions_command()])
}

fn role_commands() -> [Command; 4] {
    [
        Command::new("proxy").about("Role of edge machines: serves clients and executes batch items"),
        Command::new("agent").about("Role of edge machines: feeds the proxy of its machine"),
        Command::new("control").about("Role of core machines: holds the control state"),
        Command::new("store").about("Role of storage machines: holds batch jobs"),
    ]
}

fn status_command() -> Command {
    Command::new("status")
        .about("Prints the state of the control plane, or of a store machine")
        .arg(link_arg())
        .arg(
            Arg::new("store")
                .long("store")
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .help("Ask the store machine with this internal address (port_range[0] + 1) instead"),
        )
        .arg(json_arg())
}

fn versions_command() -> Command {
    Command::new("versions")
        .about("Prints the newest named version of each model")
        .arg(link_arg())
        .arg(json_arg())
}

fn config_command() -> Command {
    let file = || {
        Arg::new("file")
            .value_name("FILE")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("JSON document; - reads standard input")
    };
    let base = || {
        Arg::new("base")
            .long("base")
            .value_name("VERSION")
            .value_parser(value_parser!(u64))
            .help("The version that the change builds on; by default the one in force")
    };
    Command::new("config")
        .about("Reads, changes or checks the operator's configuration")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("get").about("Prints the configuration in force").arg(control_arg()))
        .subcommand(
            Command::new("put")
                .about("Sends a whole configuration")
                .arg(file())
                .arg(base())
                .arg(control_arg()),
        )
        .subcommand(
            Command::new("patch")
                .about("Sends a change of named items")
                .arg(file())
                .arg(base())
                .arg(control_arg()),
        )
        .subcommand(
            Command::new("check").about("Checks a whole configuration without sending it").arg(file()),
        )
}

fn retire_command() -> Command {
    Command::new("retire")
        .about("Has a store machine emptied, so that it can be taken away")
        .arg(Arg::new("node").value_name("NODE").required(true).help("Name of the machine (node_name)"))
        .arg(
            Arg::new("duration-s")
                .long("duration-s")
                .value_name("N")
                .required(true)
                .value_parser(value_parser!(u64))
                .help("Seconds in which it should be empty"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until it is empty; fails after ten times the duration"),
        )
        .arg(control_arg())
}

fn json_arg() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON")
}

fn control_arg() -> Arg {
    Arg::new("control")
        .long("control")
        .value_name("IP:PORT")
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help("Control address (listen.control) to call; may be given several times; by default the seeds")
}

fn link_arg() -> Arg {
    Arg::new("link")
        .long("link")
        .value_name("IP:PORT")
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help(
            "Internal address of a control process (port_range[0]); may be given several times; by default \
             that of the seeds",
        )
}
