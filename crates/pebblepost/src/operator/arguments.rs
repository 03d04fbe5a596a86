//! Commands of an operator as the command line has them. The doc comments of commands and options are their help texts.

use clap::{Args, Subcommand, ValueEnum};
use pebblepost_fleet::{Key, Limit, Name, Subject, SubjectKind, Text};
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::path::PathBuf;
use thiserror::Error;

/// Options of all commands: whom to ask, and how to print.
#[derive(Args, Debug)]
pub struct FleetArgs {
    /// The keepers, as NUMBER=ADDRESS with commas between.
    #[arg(
        long = "keepers",
        value_name = "KEEPERS",
        env = "PEBBLEPOST_KEEPERS",
        value_delimiter = ',',
        value_parser = parse_replica,
        global = true
    )]
    pub(super) replicas: Vec<(u64, SocketAddr)>,
    /// Gives up after so many seconds.
    #[arg(long, default_value_t = 10.0, global = true)]
    pub(super) within: f64,
    /// Answers as JSON, one object a line.
    #[arg(long, global = true)]
    pub(super) json: bool,
    /// Who asks, for the history.
    #[arg(long, env = "USER", default_value = "operator", global = true)]
    pub(super) by: String,
    #[command(subcommand)]
    pub(super) command: FleetCommand,
}

/// Why a replica on the command line is malformed.
#[derive(Debug, Error)]
enum ReplicaArgumentError {
    #[error("not NUMBER=ADDRESS")]
    Form,
    #[error("{text:?}: {error}")]
    Number { text: String, error: ParseIntError },
    #[error("{text:?}: {error}")]
    Address { text: String, error: AddrParseError },
}

fn parse_replica(text: &str) -> Result<(u64, SocketAddr), ReplicaArgumentError> {
    let (id, address) = text.split_once('=').ok_or(ReplicaArgumentError::Form)?;
    let id = id.parse().map_err(|error| ReplicaArgumentError::Number { text: id.to_owned(), error })?;
    let address =
        address.parse().map_err(|error| ReplicaArgumentError::Address { text: address.to_owned(), error })?;
    Ok((id, address))
}

#[derive(Subcommand, Debug)]
pub(super) enum FleetCommand {
    /// Begins a group of all keepers named; once in a group's life.
    Begin,
    /// Says of each keeper what it knows.
    Status,
    /// Shows the agreed state, or what stands at some keys.
    Show {
        /// Keys such as drain/WORKER; all, if none is named.
        keys: Vec<Key>,
    },
    /// Shows the members: dispatchers and keepers that have joined.
    Members,
    /// Shows the last changes, the newest last.
    History {
        /// How many.
        #[arg(long, default_value_t = 20)]
        last: usize,
    },
    /// Follows all changes until interrupted.
    Watch {
        /// From this revision on; 0: the whole state first, if the log does not reach back so far.
        #[arg(long, default_value_t = 0)]
        from: u64,
    },
    /// Nothing new goes to these workers.
    Drain(Workers),
    /// Takes drain marks back.
    Undrain(Workers),
    /// Changes a setting while programs run.
    Set {
        /// Its name.
        name: Name,
        /// Its value; none: what the operator's file says.
        value: Option<f64>,
        #[command(flatten)]
        reason: Reason,
    },
    /// Takes in a keeper, first without a vote, then with one.
    Add {
        /// Its number.
        id: u64,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Leaves a keeper out.
    Remove {
        /// Its number.
        id: u64,
    },
    /// Asks for a drain at one dispatcher (or takes one back, or shows): it holds there at once, also while no keeper is
    /// reached, and is offered to the group.
    Here {
        /// The dispatcher's `fleet.control`.
        address: SocketAddr,
        /// What: drain, undrain or show.
        what: LocalCommand,
        /// The worker.
        #[arg(required_if_eq_any([("what", "drain"), ("what", "undrain")]))]
        worker: Option<Name>,
        /// Why, for the history.
        #[arg(long, default_value = "")]
        why: Text,
    },
    /// Writes the agreed state to a file, which must not exist.
    Backup {
        /// The file.
        file: PathBuf,
    },
    /// Drains, settings and workers become what a backup says; members stay as they are.
    Restore {
        /// The file.
        file: PathBuf,
    },
    /// Takes over the file of the store that the program had before it had keepers: its drains and settings.
    Import {
        /// The file.
        file: PathBuf,
    },
    /// Says how many dispatchers or workers may be out at once, or shows what is out and what waits.
    Budget {
        /// Of what: dispatcher or worker; both are shown, if none is named.
        kind: Option<SubjectKind>,
        /// Most in the fleet: a count, or a percentage such as 10%. Without it the budget is shown.
        #[arg(long, requires = "kind")]
        most: Option<Limit>,
        /// Most in each zone.
        #[arg(long, requires = "most")]
        zone: Option<Limit>,
        /// Most of each kind of machine, for workers.
        #[arg(long, requires = "most")]
        machine_kind: Option<Limit>,
        /// Least that stay in each zone.
        #[arg(long, requires = "most", default_value_t = 0)]
        least: u32,
        /// Takes the budget away: nothing of the kind may go out.
        #[arg(long, requires = "kind", conflicts_with = "most")]
        none: bool,
    },
    /// Permits to go out: for a dispatcher to end and come back, for a worker to be switched off.
    Permit {
        /// What becomes of them.
        what: PermitCommand,
        /// Which: dispatcher/NAME or worker/NAME.
        #[arg(required = true)]
        subjects: Vec<Subject>,
        /// Goes before those that are not urgent; not over the budget.
        #[arg(long)]
        urgent: bool,
        /// The version that a dispatcher must have to count as back.
        #[arg(long, default_value = "")]
        want: Text,
        /// Why, for the history; `force` needs one.
        #[arg(long, default_value = "")]
        why: Text,
    },
    /// Waits until a worker that goes by a permit may be switched off: every dispatcher has confirmed its drain, and has
    /// nothing out there. Exit code 0: it may; 1: not within `--within`.
    Off {
        /// The worker.
        worker: Name,
    },
    /// A release: all dispatchers go over to a version, wave by wave.
    #[command(subcommand)]
    Release(ReleaseCommand),
    /// Nothing more of a kind goes out until it is resumed.
    Halt {
        /// Of what: dispatcher or worker.
        kind: SubjectKind,
        /// Why, for the history.
        #[arg(long, default_value = "")]
        why: Text,
    },
    /// Ends a halt.
    Resume {
        /// Of what: dispatcher or worker.
        kind: SubjectKind,
    },
    /// Forgets a member that has left or is lost.
    Dismiss {
        /// Its name.
        member: Name,
    },
}

#[derive(Subcommand, Debug)]
pub(super) enum ReleaseCommand {
    /// Begins it, for all that have another version; nothing more than the first wave goes until it is driven.
    Start {
        /// The version.
        want: Text,
        /// How many may have it in each wave, those of the waves before among them.
        #[arg(long, value_delimiter = ',', default_value = "1,5%,25%,100%")]
        waves: Vec<Limit>,
        /// Zones in the order in which they go: nobody goes while one of an earlier zone waits.
        #[arg(long, value_delimiter = ',')]
        zones: Vec<Text>,
        /// Why, for the history.
        #[arg(long, default_value = "")]
        why: Text,
    },
    /// Plays it through without beginning it: which dispatchers go in each wave, and when; or why it would never end.
    Plan {
        /// The version.
        want: Text,
        /// How many may have it in each wave, those of the waves before among them.
        #[arg(long, value_delimiter = ',', default_value = "1,5%,25%,100%")]
        waves: Vec<Limit>,
        /// Zones in the order in which they go: nobody goes while one of an earlier zone waits.
        #[arg(long, value_delimiter = ',')]
        zones: Vec<Text>,
        /// A wave that is back is watched for so many seconds before the next one begins.
        #[arg(long, default_value_t = 60.0)]
        pause_s: f64,
        /// From a dispatcher's permit until it is back, in seconds.
        #[arg(long, default_value_t = 10.0)]
        restart_s: f64,
    },
    /// Drives it to its end, or until a sign halts it (exit code 1). It may be killed and started again, and run twice.
    Drive {
        /// A wave that is back is watched for so many seconds before the next one begins.
        #[arg(long, default_value_t = 60.0)]
        pause_s: f64,
        /// A wave that is not back within so many seconds halts the release.
        #[arg(long = "patience-s", value_name = "PATIENCE_S", default_value_t = 600.0)]
        wave_timeout_s: f64,
        /// So many crashes of dispatchers with the new version halt it.
        #[arg(long, default_value_t = 3)]
        crashes: u64,
        /// The share of requests that the new version serves may be lower by this than the old one's, while a wave is watched.
        #[arg(long, default_value_t = 0.05)]
        drop: f64,
        /// Shares of fewer answers than this tell nothing. 0: shares are not looked at.
        #[arg(long, default_value_t = 200)]
        sample: u64,
    },
    /// Gives it up: all that have its version, or may be going over to it, go back to this one.
    Back {
        /// The version.
        to: Text,
        /// Why, for the history.
        #[arg(long, default_value = "")]
        why: Text,
    },
    /// Shows how far it is.
    Status,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(super) enum PermitCommand {
    /// Asks for them; one that has a permit keeps it.
    Ask,
    /// Those that wait do not want it any more.
    Withdraw,
    /// Workers are back.
    Back,
    /// They count as back, whatever is seen; with a reason.
    Force,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(super) enum LocalCommand {
    Drain,
    Undrain,
    Show,
}

#[derive(Args, Debug)]
pub(super) struct Workers {
    /// The workers.
    #[arg(required = true)]
    pub(super) workers: Vec<Name>,
    #[command(flatten)]
    pub(super) reason: Reason,
}

#[derive(Args, Debug)]
pub(super) struct Reason {
    /// Why, for the history.
    #[arg(long, default_value = "")]
    pub(super) why: Text,
    /// Nothing is changed unless the key was changed last at this revision (0: it is not there).
    #[arg(long)]
    pub(super) expect: Option<u64>,
}

impl Reason {
    /// No reason, and no revision that is expected.
    pub(super) fn none() -> Self {
        Self { why: Text::default(), expect: None }
    }
}
