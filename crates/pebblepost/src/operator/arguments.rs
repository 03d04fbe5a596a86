//! Command-line arguments of the operator's commands.
//!
//! The doc comments of commands and options are their help texts, and operators' scripts use the names on the command line.
//! Attributes keep those names where an identifier differs.

use clap::{Args, Subcommand, ValueEnum};
use pebblepost_fleet::{Key, Limit, Name, Subject, SubjectKind, Text};
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::path::PathBuf;
use thiserror::Error;

/// Options of all commands: the replicas to query, and the output format.
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
    #[arg(long = "within", value_name = "WITHIN", default_value_t = 10.0, global = true)]
    pub(super) timeout_s: f64,
    /// Answers as JSON, one object a line.
    #[arg(long, global = true)]
    pub(super) json: bool,
    /// Who asks, for the history.
    #[arg(long = "by", value_name = "BY", env = "USER", default_value = "operator", global = true)]
    pub(super) issuer: String,
    #[command(subcommand)]
    pub(super) command: FleetCommand,
}

/// A malformed replica on the command line.
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
    #[command(name = "begin")]
    InitializeGroup,
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
    Drain(DrainArgs),
    /// Takes drain marks back.
    Undrain(DrainArgs),
    /// Changes a setting while programs run.
    Set {
        /// Its name.
        name: Name,
        /// Its value; none: what the operator's file says.
        value: Option<f64>,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Takes in a keeper, first without a vote, then with one.
    #[command(name = "add")]
    AddReplica {
        /// Its number.
        id: u64,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Leaves a keeper out.
    #[command(name = "remove")]
    RemoveReplica {
        /// Its number.
        id: u64,
    },
    /// Asks for a drain at one dispatcher (or takes one back, or shows): it holds there at once, also while no keeper is
    /// reached, and is offered to the group.
    #[command(name = "here")]
    Local {
        /// The dispatcher's `fleet.control`.
        address: SocketAddr,
        /// What: drain, undrain or show.
        #[arg(value_name = "WHAT")]
        action: LocalAction,
        /// The worker.
        #[arg(required_if_eq_any([("action", "drain"), ("action", "undrain")]))]
        worker: Option<Name>,
        /// Why, for the history.
        #[arg(long = "why", value_name = "WHY", default_value = "")]
        reason: Text,
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
        #[arg(long = "most", value_name = "MOST", requires = "kind")]
        max_unavailable: Option<Limit>,
        /// Most in each zone.
        #[arg(long = "zone", value_name = "ZONE", requires = "max_unavailable")]
        max_unavailable_per_zone: Option<Limit>,
        /// Most of each kind of machine, for workers.
        #[arg(long = "machine-kind", value_name = "MACHINE_KIND", requires = "max_unavailable")]
        max_unavailable_per_machine_type: Option<Limit>,
        /// Least that stay in each zone.
        #[arg(long = "least", value_name = "LEAST", requires = "max_unavailable", default_value_t = 0)]
        min_available_per_zone: u32,
        /// Takes the budget away: nothing of the kind may go out.
        #[arg(long = "none", requires = "kind", conflicts_with = "max_unavailable")]
        remove: bool,
    },
    /// Permits to go out: for a dispatcher to end and come back, for a worker to be switched off.
    Permit {
        /// What becomes of them.
        #[arg(value_name = "WHAT")]
        action: PermitAction,
        /// Which: dispatcher/NAME or worker/NAME.
        #[arg(required = true)]
        subjects: Vec<Subject>,
        /// Goes before those that are not urgent; not over the budget.
        #[arg(long)]
        urgent: bool,
        /// The version that a dispatcher must have to count as back.
        #[arg(long = "want", value_name = "WANT", default_value = "")]
        version: Text,
        /// Why, for the history; `force` needs one.
        #[arg(long = "why", value_name = "WHY", default_value = "")]
        reason: Text,
    },
    /// Waits until a worker that goes by a permit may be switched off: every dispatcher has confirmed its drain, and has
    /// nothing out there. Exit code 0: it may; 1: not within `--within`.
    #[command(name = "off")]
    WaitUntilDrained {
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
        #[arg(long = "why", value_name = "WHY", default_value = "")]
        reason: Text,
    },
    /// Ends a halt.
    Resume {
        /// Of what: dispatcher or worker.
        kind: SubjectKind,
    },
    /// Forgets a member that has left or is lost.
    #[command(name = "dismiss")]
    RemoveMember {
        /// Its name.
        member: Name,
    },
}

#[derive(Subcommand, Debug)]
pub(super) enum ReleaseCommand {
    /// Begins it, for all that have another version; nothing more than the first wave goes until it is driven.
    Start {
        /// The version.
        #[arg(value_name = "WANT")]
        version: Text,
        /// How many may have it in each wave, those of the waves before among them.
        #[arg(long, value_delimiter = ',', default_value = "1,5%,25%,100%")]
        waves: Vec<Limit>,
        /// Zones in the order in which they go: nobody goes while one of an earlier zone waits.
        #[arg(long = "zones", value_name = "ZONES", value_delimiter = ',')]
        zone_order: Vec<Text>,
        /// Why, for the history.
        #[arg(long = "why", value_name = "WHY", default_value = "")]
        reason: Text,
    },
    /// Plays it through without beginning it: which dispatchers go in each wave, and when; or why it would never end.
    Plan {
        /// The version.
        #[arg(value_name = "WANT")]
        version: Text,
        /// How many may have it in each wave, those of the waves before among them.
        #[arg(long, value_delimiter = ',', default_value = "1,5%,25%,100%")]
        waves: Vec<Limit>,
        /// Zones in the order in which they go: nobody goes while one of an earlier zone waits.
        #[arg(long = "zones", value_name = "ZONES", value_delimiter = ',')]
        zone_order: Vec<Text>,
        /// A wave that is back is watched for so many seconds before the next one begins.
        #[arg(long = "pause-s", value_name = "PAUSE_S", default_value_t = 60.0)]
        observation_s: f64,
        /// From a dispatcher's permit until it is back, in seconds.
        #[arg(long, default_value_t = 10.0)]
        restart_s: f64,
    },
    /// Drives it to its end, or until a sign halts it (exit code 1). It may be killed and started again, and run twice.
    Drive {
        /// A wave that is back is watched for so many seconds before the next one begins.
        #[arg(long = "pause-s", value_name = "PAUSE_S", default_value_t = 60.0)]
        observation_s: f64,
        /// A wave that is not back within so many seconds halts the release.
        #[arg(long = "patience-s", value_name = "PATIENCE_S", default_value_t = 600.0)]
        wave_timeout_s: f64,
        /// So many crashes of dispatchers with the new version halt it.
        #[arg(long = "crashes", value_name = "CRASHES", default_value_t = 3)]
        max_crashes: u64,
        /// The share of requests that the new version serves may be lower by this than the old one's, while a wave is watched.
        #[arg(long = "drop", value_name = "DROP", default_value_t = 0.05)]
        max_success_rate_drop: f64,
        /// Shares of fewer answers than this tell nothing. 0: shares are not looked at.
        #[arg(long = "sample", value_name = "SAMPLE", default_value_t = 200)]
        min_answers: u64,
    },
    /// Gives it up: all that have its version, or may be going over to it, go back to this one.
    #[command(name = "back")]
    RollBack {
        /// The version.
        #[arg(value_name = "TO")]
        version: Text,
        /// Why, for the history.
        #[arg(long = "why", value_name = "WHY", default_value = "")]
        reason: Text,
    },
    /// Shows how far it is.
    Status,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(super) enum PermitAction {
    /// Asks for them; one that has a permit keeps it.
    #[value(name = "ask")]
    Request,
    /// Those that wait do not want it any more.
    Withdraw,
    /// Workers are back.
    #[value(name = "back")]
    Complete,
    /// They count as back, whatever is seen; with a reason.
    #[value(name = "force")]
    ForceComplete,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(super) enum LocalAction {
    Drain,
    Undrain,
    Show,
}

#[derive(Args, Debug)]
pub(super) struct DrainArgs {
    /// The workers.
    #[arg(required = true)]
    pub(super) workers: Vec<Name>,
    #[command(flatten)]
    pub(super) options: ChangeOptions,
}

#[derive(Args, Debug)]
pub(super) struct ChangeOptions {
    /// Why, for the history.
    #[arg(long = "why", value_name = "WHY", default_value = "")]
    pub(super) reason: Text,
    /// Nothing is changed unless the key was changed last at this revision (0: it is not there).
    #[arg(long = "expect", value_name = "EXPECT")]
    pub(super) expected_revision: Option<u64>,
}

impl ChangeOptions {
    /// Options without a reason and without an expected revision.
    pub(super) fn none() -> Self {
        Self::with_reason(Text::default())
    }

    /// Options with a reason and without an expected revision.
    pub(super) fn with_reason(reason: Text) -> Self {
        Self { reason, expected_revision: None }
    }
}
