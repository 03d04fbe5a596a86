//! `pebblepost fleet`: an operator asks the keepers, or has them change something.

use crate::kept;
use clap::{Args, Subcommand, ValueEnum};
use pebblepost_fleet::command::{Act, Op};
use pebblepost_fleet::driver::{Driver, Next, Pace};
use pebblepost_fleet::rehearsal::{Never, Play, rehearse};
use pebblepost_fleet::sight::Sight;
use pebblepost_fleet::state::{Change, Entry, Presence, Snapshot, Value};
use pebblepost_fleet::{Budget, Expect, Key, Kind, Limit, Name, Refusal, Subject, Text};
use pebblepost_store::client::{Client, Unreachable, command};
use pebblepost_store::group::Peer;
use pebblepost_store::keeper::ask_once;
use pebblepost_store::wire::{Ask, Say, Status};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Who is asked, and how it is told.
#[derive(Args, Debug)]
pub struct FleetArgs {
    /// The keepers, as NUMBER=ADDRESS with commas between.
    #[arg(long, env = "PEBBLEPOST_KEEPERS", value_delimiter = ',', value_parser = keeper, global = true)]
    keepers: Vec<(u64, SocketAddr)>,
    /// Gives up after so many seconds.
    #[arg(long, default_value_t = 10.0, global = true)]
    within: f64,
    /// Answers as JSON, one object a line.
    #[arg(long, global = true)]
    json: bool,
    /// Who asks, for the history.
    #[arg(long, env = "USER", default_value = "operator", global = true)]
    by: String,
    #[command(subcommand)]
    what: What,
}

fn keeper(text: &str) -> std::result::Result<(u64, SocketAddr), String> {
    let (id, address) = text.split_once('=').ok_or("not NUMBER=ADDRESS")?;
    let id = id.parse().map_err(|e| format!("{id:?}: {e}"))?;
    Ok((id, address.parse().map_err(|e| format!("{address:?}: {e}"))?))
}

#[derive(Subcommand, Debug)]
enum What {
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
        what: Here,
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
        kind: Option<Kind>,
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
        what: PermitWhat,
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
    Release(ReleaseWhat),
    /// Nothing more of a kind goes out until it is resumed.
    Halt {
        /// Of what: dispatcher or worker.
        kind: Kind,
        /// Why, for the history.
        #[arg(long, default_value = "")]
        why: Text,
    },
    /// Ends a halt.
    Resume {
        /// Of what: dispatcher or worker.
        kind: Kind,
    },
    /// Forgets a member that has left or is lost.
    Dismiss {
        /// Its name.
        member: Name,
    },
}

#[derive(Subcommand, Debug)]
enum ReleaseWhat {
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
        #[arg(long, default_value_t = 600.0)]
        patience_s: f64,
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
enum PermitWhat {
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
enum Here {
    Drain,
    Undrain,
    Show,
}

#[derive(Args, Debug)]
struct Workers {
    /// The workers.
    #[arg(required = true)]
    workers: Vec<Name>,
    #[command(flatten)]
    reason: Reason,
}

#[derive(Args, Debug)]
struct Reason {
    /// Why, for the history.
    #[arg(long, default_value = "")]
    why: Text,
    /// Nothing is changed unless the key was changed last at this revision (0: it is not there).
    #[arg(long)]
    expect: Option<u64>,
}

impl Reason {
    fn none() -> Self {
        Self { why: Text::default(), expect: None }
    }
}

/// Why a command came to nothing. The exit code tells the kinds apart.
#[derive(Debug, Error)]
pub enum FleetError {
    /// Exit code 1: the group has refused it.
    #[error("refused: {0}")]
    Refused(#[from] Refusal),
    /// Exit code 2: it makes no sense.
    #[error("{0}")]
    Usage(String),
    /// Exit code 3: it is not known whether it was done.
    #[error("{0}; it is not known whether it was done: ask again, or look at `fleet history`")]
    Unreachable(#[from] Unreachable),
    /// Exit code 1: a keeper could not do it.
    #[error("{0}")]
    Failed(String),
}

impl FleetError {
    /// The exit code.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) | Self::Failed(_) => 1,
            Self::Usage(_) => 2,
            Self::Unreachable(_) => 3,
        })
    }
}

type Result<T> = std::result::Result<T, FleetError>;

/// Carries out one command of an operator.
pub fn run(args: FleetArgs) -> Result<()> {
    let usage = |e: &dyn std::fmt::Display| FleetError::Usage(e.to_string());
    if let What::Here { address, what, worker, why } = &args.what {
        return here(*address, *what, worker.as_ref(), why, args.within);
    }
    if args.keepers.is_empty() {
        return Err(FleetError::Usage(
            "no keepers: name them with --keepers 1=127.0.0.1:7501,2=... or in PEBBLEPOST_KEEPERS".to_owned(),
        ));
    }
    if !(0.01..=3_600.0).contains(&args.within) {
        return Err(FleetError::Usage("--within: 0.01 to 3600 seconds".to_owned()));
    }
    if let Some((_, address)) = args.keepers.iter().find(|(_, a)| !a.ip().is_loopback()) {
        return Err(FleetError::Usage(format!("--keepers: {address} is no loopback address")));
    }
    let by = args.by.parse().map_err(|e| FleetError::Usage(format!("--by: {e}")))?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| usage(&e))?;
    let keepers: BTreeMap<u64, String> = args.keepers.iter().map(|(id, a)| (*id, a.to_string())).collect();
    let within = Duration::from_secs_f64(args.within);
    let client = Client::new(keepers.clone());
    let mut desk = Desk { client, keepers, within, by, json: args.json };
    runtime.block_on(desk.carry_out(args.what))
}

/// One line to a dispatcher's agent, and its answer.
fn here(address: SocketAddr, what: Here, worker: Option<&Name>, why: &Text, within: f64) -> Result<()> {
    let failed = |e: &dyn std::fmt::Display| FleetError::Failed(format!("{address}: {e}"));
    if !(0.01..=3_600.0).contains(&within) {
        return Err(FleetError::Usage("--within: 0.01 to 3600 seconds".to_owned()));
    }
    let ask = match what {
        Here::Show => json!({"show": true}),
        Here::Drain => json!({"drain": worker, "why": why}),
        Here::Undrain => json!({"undrain": worker}),
    };
    let limit = Duration::from_secs_f64(within);
    let mut stream = TcpStream::connect_timeout(&address, limit).map_err(|e| failed(&e))?;
    stream.set_read_timeout(Some(limit)).map_err(|e| failed(&e))?;
    writeln!(stream, "{ask}").map_err(|e| failed(&e))?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(|e| failed(&e))?;
    let reply: Json = serde_json::from_str(&line).map_err(|e| failed(&e))?;
    match reply.get("error").and_then(Json::as_str) {
        Some(why) => Err(failed(&why)),
        None => {
            let _ = writeln!(std::io::stdout(), "{reply}");
            Ok(())
        }
    }
}

fn read_backup(path: &Path) -> Result<Snapshot> {
    let wrong = |what: &dyn std::fmt::Display| FleetError::Usage(format!("{}: {what}", path.display()));
    let body = kept::read(path).map_err(|e| wrong(&e))?;
    serde_json::from_str(&body).map_err(|e| wrong(&format!("no backup: {e}")))
}

/// The drains and settings in a file of the old store: a checksum, then registers as JSON.
fn old_store(path: &Path) -> Result<Vec<Op>> {
    let wrong = |what: &dyn std::fmt::Display| FleetError::Usage(format!("{}: {what}", path.display()));
    let body = kept::read(path).map_err(|e| wrong(&e))?;
    let json: Json = serde_json::from_str(&body).map_err(|e| wrong(&e))?;
    let registers = json.get("registers").and_then(Json::as_object).ok_or_else(|| wrong(&"no registers"))?;
    let mut ops = Vec::new();
    for (key, register) in registers {
        // [VALUE, COUNTER, NODE]
        let value = register.get(0).unwrap_or(&Json::Null);
        match key.split_once('/') {
            Some(("drain", worker)) if value == true => {
                ops.push(Op::Drain(worker.parse().map_err(|e| wrong(&e))?));
            }
            Some(("setting", name)) if value.is_number() => {
                let name = name.parse().map_err(|e| wrong(&e))?;
                ops.push(Op::Set(name, value.as_f64().unwrap_or(f64::NAN)));
            }
            _ => {}
        }
    }
    Ok(ops)
}

fn seconds(name: &str, s: f64) -> Result<Duration> {
    Duration::try_from_secs_f64(s).map_err(|e| FleetError::Usage(format!("--{name}: {s}: {e}")))
}

struct Desk {
    client: Client,
    keepers: BTreeMap<u64, String>,
    within: Duration,
    by: Name,
    json: bool,
}

fn misplaced(say: &Say) -> FleetError {
    FleetError::Failed(format!("an answer out of place: {say:?}"))
}

fn told(value: &Value) -> String {
    match value {
        Value::Drain { by, at_ms, why } if why.as_str().is_empty() => format!("by {by} at {at_ms}"),
        Value::Drain { by, at_ms, why } => format!("by {by} at {at_ms}: {why}"),
        Value::Worker(w) => {
            let at = w.dial.map_or_else(|| "-".to_owned(), |at| at.to_string());
            let seen = match w.sight {
                Some(Sight::Ready) => ", ready",
                Some(Sight::Cold) => ", cold",
                Some(Sight::Out) => ", drains or does not answer",
                None => "",
            };
            format!("{at} zone {} kind {} slots {}{seen}", w.zone, w.kind, w.slots)
        }
        Value::Setting(value) => value.to_string(),
        Value::Member(m) => {
            let presence = match m.presence {
                Presence::Here => "here",
                Presence::Left => "left",
                Presence::Lost => "lost",
            };
            let address = m.card.address.map_or_else(|| "-".to_owned(), |a| a.to_string());
            let ready = if m.card.ready { "ready" } else { "not ready" };
            format!(
                "{presence} life {} session {} version {} zone {} at {address}, {ready}",
                m.incarnation, m.session, m.card.version, m.card.zone
            )
        }
        Value::Budget(b) => told_budget(b),
        Value::Halt { by, at_ms, why } => format!("by {by} at {at_ms}: {why}"),
        Value::Release(r) => {
            let waves: Vec<String> = r.waves.iter().map(ToString::to_string).collect();
            format!("{} in waves of {}, now wave {}, begun by {}", r.want, waves.join(", "), r.wave + 1, r.by)
        }
        Value::Lease(l) => {
            let holder = l.holder.as_ref().map_or_else(
                || "free".to_owned(),
                |h| format!("held by {} (session {}), fence {}", h.member, h.session, h.fence),
            );
            let ends = if l.ends { ", asked back" } else { "" };
            format!("{holder}{ends}, {} wait", l.queue.len())
        }
        Value::Permit(p) => {
            let stage = p.granted.map_or_else(|| "waits".to_owned(), |at| format!("granted at {at}"));
            let urgent = if p.urgent { ", urgent" } else { "" };
            let want = if p.want.as_str().is_empty() { "" } else { ", back as " };
            format!("{stage}{urgent}{want}{}, asked by {} at {}: {}", p.want, p.by, p.asked, p.why)
        }
    }
}

fn told_budget(b: &Budget) -> String {
    let zone = b.most_in_zone.map_or_else(String::new, |z| format!(", {z} in a zone"));
    let machines = b.most_in_kind.map_or_else(String::new, |k| format!(", {k} of a kind of machine"));
    format!("at most {} out{zone}{machines}, at least {} stay in a zone", b.most, b.least_in_zone)
}

impl Desk {
    fn say(&self, json: serde_json::Value, text: &dyn Fn() -> String) {
        let line = if self.json { json.to_string() } else { text() };
        if writeln!(std::io::stdout(), "{line}").is_err() {
            std::process::exit(0); // Whoever read it has gone.
        }
    }

    fn entry(&self, key: &Key, entry: &Entry) {
        self.say(json!({"key": key, "revision": entry.revision, "value": entry.value}), &|| {
            format!("{key}\t{}\t(revision {})", told(&entry.value), entry.revision)
        });
    }

    fn change(&self, change: &Change) {
        self.say(json!(change), &|| {
            let items = change.items.iter().map(|(key, value)| match value {
                Some(value) => format!("{key} = {}", told(value)),
                None => format!("{key} is gone"),
            });
            let items: Vec<String> = items.collect();
            format!("{}\t{} by {}: {}", change.revision, change.at_ms, change.by, items.join(", "))
        });
    }

    async fn ask(&mut self, ask: &Ask) -> Result<Say> {
        Ok(self.client.ask(ask, self.within).await?)
    }

    async fn statuses(&self) -> Vec<(u64, std::result::Result<Status, String>)> {
        let mut all = Vec::new();
        for (id, address) in &self.keepers {
            let status = match ask_once(address, &Ask::Status).await {
                Ok(Say::Status(status)) => Ok(*status),
                Ok(other) => Err(format!("{other:?}")),
                Err(error) => Err(error.to_string()),
            };
            all.push((*id, status));
        }
        all
    }

    async fn carry_out(&mut self, what: What) -> Result<()> {
        match what {
            What::Begin => self.begin().await,
            What::Status => self.status().await,
            What::Show { keys } => self.show(keys, |_| true).await,
            What::Members => self.show(Vec::new(), |key| matches!(key, Key::Member(_))).await,
            What::History { last } => match self.ask(&Ask::History(last)).await? {
                Say::History(changes) => {
                    changes.iter().for_each(|c| self.change(c));
                    Ok(())
                }
                other => Err(misplaced(&other)),
            },
            What::Watch { from } => self.watch(from).await,
            What::Drain(w) => self.change_all(w.workers.into_iter().map(Op::Drain), w.reason).await,
            What::Undrain(w) => self.change_all(w.workers.into_iter().map(Op::Undrain), w.reason).await,
            What::Set { name, value, reason } => {
                let op = value.map_or_else(|| Op::Unset(name.clone()), |v| Op::Set(name.clone(), v));
                self.change_all([op], reason).await
            }
            What::Dismiss { member } => self.change_all([Op::Dismiss(member)], Reason::none()).await,
            What::Budget { kind: Some(kind), most: Some(most), zone, machine_kind, least, .. } => {
                let (most_in_zone, most_in_kind) = (zone, machine_kind);
                let budget = Budget { most, most_in_zone, most_in_kind, least_in_zone: least };
                self.change_all([Op::Budget(kind, budget)], Reason::none()).await
            }
            What::Budget { kind: Some(kind), none: true, .. } => {
                self.change_all([Op::Unbudget(kind)], Reason::none()).await
            }
            What::Budget { kind, .. } => self.budgets(kind).await,
            What::Permit { what, subjects, urgent, want, why } => {
                self.permits(what, subjects, urgent, &want, why).await
            }
            What::Off { worker } => self.off(&worker).await,
            What::Release(ReleaseWhat::Start { want, waves, zones, why }) => {
                self.change_all([Op::Release { want, waves, zones }], Reason { why, expect: None }).await
            }
            What::Release(ReleaseWhat::Back { to, why }) => {
                self.change_all([Op::GoBack(to)], Reason { why, expect: None }).await
            }
            What::Release(ReleaseWhat::Status) => {
                let snapshot = self.all().await?;
                self.release_status(&snapshot);
                Ok(())
            }
            What::Release(ReleaseWhat::Plan { want, waves, zones, pause_s, restart_s }) => {
                let (pause, restart) = (seconds("pause-s", pause_s)?, seconds("restart-s", restart_s)?);
                self.plan(&Play { want, waves, zones, pause, restart }).await
            }
            What::Release(ReleaseWhat::Drive { pause_s, patience_s, crashes, drop, sample }) => {
                let (pause, patience) = (seconds("pause-s", pause_s)?, seconds("patience-s", patience_s)?);
                if !(0.0..=1.0).contains(&drop) {
                    return Err(FleetError::Usage(format!("--drop: {drop} is not within 0 and 1")));
                }
                self.drive(Pace { pause, patience, crashes, drop, sample }).await
            }
            What::Halt { kind, why } => self.change_all([Op::Halt(kind)], Reason { why, expect: None }).await,
            What::Resume { kind } => self.change_all([Op::Resume(kind)], Reason::none()).await,
            What::Here { .. } => Ok(()), // Carried out before: it needs no keeper.
            What::Backup { file } => self.backup(&file).await,
            What::Restore { file } => {
                let backup = read_backup(&file)?;
                self.command(Act::Restore(backup)).await
            }
            What::Import { file } => {
                let ops = old_store(&file)?;
                let why = format!("taken over from {}", file.display());
                let why = why.parse().map_err(|e| FleetError::Usage(format!("{}: {e}", file.display())))?;
                self.change_all(ops, Reason { why, expect: None }).await
            }
            What::Add { id, address } => self.add(id, address).await,
            What::Remove { id } => self.done(&Ask::Remove(id)).await,
        }
    }

    async fn done(&mut self, ask: &Ask) -> Result<()> {
        match self.ask(ask).await? {
            Say::Done => {
                self.say(json!({"done": true}), &|| "done".to_owned());
                Ok(())
            }
            other => Err(misplaced(&other)),
        }
    }

    /// Begins the group, with each keeper's disk as it is now.
    async fn begin(&mut self) -> Result<()> {
        let mut group = BTreeMap::new();
        for (id, status) in self.statuses().await {
            match status {
                Ok(s) if s.id == id => {
                    let address = self.keepers.get(&id).cloned().unwrap_or_default();
                    group.insert(id, Peer { address, disk: s.disk });
                }
                Ok(s) => return Err(FleetError::Usage(format!("keeper {} listens there, not {id}", s.id))),
                Err(why) => return Err(FleetError::Failed(format!("keeper {id}: {why}"))),
            }
        }
        match ask_once(self.keepers.values().next().map_or("", String::as_str), &Ask::Begin(group)).await {
            Ok(Say::Done) => {
                self.say(json!({"done": true}), &|| "the group has begun".to_owned());
                Ok(())
            }
            Ok(Say::Failed(why)) => Err(FleetError::Failed(why)),
            Ok(other) => Err(misplaced(&other)),
            Err(error) => Err(FleetError::Failed(error.to_string())),
        }
    }

    async fn status(&mut self) -> Result<()> {
        let all = self.statuses().await;
        for (id, status) in &all {
            match status {
                Ok(s) => self.say(json!(s), &|| {
                    let leader = s.leader.map_or_else(|| "nobody".to_owned(), |l| l.to_string());
                    format!(
                        "keeper {id}: group {:?}, led by {leader} in term {}, revision {}, log {} (applied {}), voters {:?}",
                        s.group, s.term, s.revision, s.last_log, s.applied, s.voters
                    )
                }),
                Err(why) => self.say(json!({"id": id, "error": why}), &|| format!("keeper {id}: {why}")),
            }
        }
        if all.iter().all(|(_, s)| s.is_err()) {
            return Err(FleetError::Failed("no keeper answers".to_owned()));
        }
        Ok(())
    }

    async fn add(&mut self, id: u64, address: SocketAddr) -> Result<()> {
        let address = address.to_string();
        let status = match ask_once(&address, &Ask::Status).await {
            Ok(Say::Status(status)) if status.id == id => *status,
            Ok(Say::Status(s)) => {
                return Err(FleetError::Usage(format!("keeper {} listens at {address}, not {id}", s.id)));
            }
            Ok(other) => return Err(misplaced(&other)),
            Err(error) => return Err(FleetError::Failed(format!("{address}: {error}"))),
        };
        match self.ask(&Ask::Learn(id, Peer { address, disk: status.disk })).await? {
            Say::Done => self.done(&Ask::Promote(id)).await,
            Say::Answer(Err(refused)) => Err(refused.into()),
            other => Err(misplaced(&other)),
        }
    }

    async fn show(&mut self, keys: Vec<Key>, hit: fn(&Key) -> bool) -> Result<()> {
        match self.ask(&Ask::Get(keys)).await? {
            Say::Found { revision, entries } => {
                entries.iter().filter(|(key, _)| hit(key)).for_each(|(key, entry)| self.entry(key, entry));
                self.say(json!({"revision": revision}), &|| format!("revision {revision}"));
                Ok(())
            }
            other => Err(misplaced(&other)),
        }
    }

    /// The whole state as of now.
    async fn all(&mut self) -> Result<Snapshot> {
        match self.ask(&Ask::Get(Vec::new())).await? {
            Say::Found { revision, entries } => Ok(Snapshot { revision, entries }),
            other => Err(misplaced(&other)),
        }
    }

    /// What is out and what waits, and why.
    async fn budgets(&mut self, only: Option<Kind>) -> Result<()> {
        let snapshot = self.all().await?;
        for kind in [Kind::Dispatcher, Kind::Worker].into_iter().filter(|k| only.is_none_or(|o| o == *k)) {
            let roll = snapshot.roll(kind);
            let waits = |name: &Name| roll.fits(name).err().map_or_else(String::new, |w| w.to_string());
            let queue: Vec<Json> =
                roll.queue().into_iter().map(|n| json!({"name": n, "waits": waits(n)})).collect();
            let out: Vec<Json> = roll
                .all
                .iter()
                .filter(|(_, s)| s.out)
                .map(|(n, s)| json!({"name": n, "permit": s.permit.and_then(|p| p.granted)}))
                .collect();
            let told = json!({
                "kind": kind, "all": roll.all.len(), "out": out, "queue": queue,
                "budget": roll.budget, "halted": roll.halted,
            });
            self.say(told, &|| {
                let budget = roll.budget.map_or("no budget".to_owned(), |b| told_budget(&b));
                let halted = if roll.halted { ", halted" } else { "" };
                let mut text = format!("{kind}: {} of {} out; {budget}{halted}", roll.out(), roll.all.len());
                for (name, standing) in roll.all.iter().filter(|(_, s)| s.out) {
                    let why = match standing.permit.and_then(|p| p.granted) {
                        Some(at) => format!("by a permit of revision {at}"),
                        None => "without a permit".to_owned(),
                    };
                    text.push_str(&format!("\n  out    {name}\t{why}"));
                }
                for (place, name) in roll.queue().into_iter().enumerate() {
                    text.push_str(&format!("\n  waits  {name}\t{} in the queue: {}", place + 1, waits(name)));
                }
                text
            });
        }
        Ok(())
    }

    fn release_status(&self, snapshot: &Snapshot) {
        let roll = snapshot.roll(Kind::Dispatcher);
        let (all, out, reached, queue) = (roll.all.len(), roll.out(), roll.reached(), roll.queue().len());
        let cap = roll.release.map(|r| r.cap(all));
        let told = json!({
            "release": roll.release, "all": all, "reached": reached, "wave_allows": cap, "out": out,
            "waiting": queue, "halted": roll.halted, "revision": snapshot.revision,
        });
        self.say(told, &|| match roll.release {
            None => format!("no release goes on; {out} of {all} dispatchers out"),
            Some(r) => format!(
                "release {}{}: wave {} of {}, {reached} of {all} have it or go to it, {} may by now; {out} out, {queue} wait{}",
                r.want,
                r.from.as_ref().map_or_else(String::new, |from| format!(" (back from {from})")),
                r.wave + 1,
                r.waves.len(),
                cap.unwrap_or(all),
                if roll.halted { ", halted" } else { "" }
            ),
        });
    }

    /// Says what a release would do.
    async fn plan(&mut self, play: &Play) -> Result<()> {
        let snapshot = self.all().await?;
        let waves = rehearse(&snapshot, &self.by, play).map_err(|never| match never {
            Never::Refused(refused) => FleetError::Refused(refused),
            stands_still => FleetError::Failed(stands_still.to_string()),
        })?;
        for (n, wave) in waves.iter().enumerate() {
            self.say(json!({"wave": n + 1, "plan": wave}), &|| {
                let (goes, most) = (wave.goes.len(), wave.most_out);
                let names: Vec<&str> = wave.goes.iter().take(5).map(Name::as_str).collect();
                let more = if goes > names.len() { ", ..." } else { "" };
                let (from, back, names) = (wave.from_s, wave.back_s, names.join(", "));
                format!(
                    "wave {}: {from:.0} to {back:.0} s, {goes} go, at most {most} out: {names}{more}",
                    n + 1
                )
            });
        }
        let (all, whole) =
            (waves.iter().map(|w| w.goes.len()).sum::<usize>(), waves.last().map_or(0.0, |w| w.back_s));
        self.say(json!({"dispatchers": all, "seconds": whole, "revision": snapshot.revision}), &|| {
            format!("{all} dispatchers in {whole:.0} s, as the state is at revision {}", snapshot.revision)
        });
        Ok(())
    }

    /// Drives a release. What it asks for is refused if it makes no sense by then; it looks again.
    async fn drive(&mut self, pace: Pace) -> Result<()> {
        let (began, mut driver, mut shown) = (Instant::now(), Driver::new(pace), 0);
        loop {
            // Without keepers nothing goes on, and nothing can be done about that here.
            if let Ok(snapshot) = self.all().await {
                // Without word of how requests go it is driven by the rest of the signs.
                let tallies = match self.ask(&Ask::Tallies).await {
                    Ok(Say::Tallies(tallies)) => tallies,
                    _ => BTreeMap::new(),
                };
                let next = driver.look(began.elapsed(), &snapshot, &tallies);
                if std::mem::replace(&mut shown, snapshot.revision) != snapshot.revision {
                    self.release_status(&snapshot);
                }
                match next {
                    Next::Wait => {}
                    Next::Over => return Ok(()),
                    Next::Halted => return Err(FleetError::Failed("the release is halted".to_owned())),
                    Next::Ask(op, why) => {
                        let why = why.parse().unwrap_or_default();
                        let act = Act::Change { ops: vec![op], expect: Vec::new(), why };
                        let asked = self.client.command(&command(self.by.clone(), act), self.within).await;
                        if let Ok(Err(refused)) = asked {
                            tracing::info!(%refused, "not by now");
                        }
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    }

    async fn permits(
        &mut self, what: PermitWhat, subjects: Vec<Subject>, urgent: bool, want: &Text, why: Text,
    ) -> Result<()> {
        let mut ops = Vec::new();
        // A permit that another one has taken the place of must not be ended: the one that is seen now is named.
        let now = if what == PermitWhat::Back { self.all().await? } else { Snapshot::default() };
        for subject in subjects {
            ops.push(match what {
                PermitWhat::Ask => Op::Ask { subject, urgent, want: want.clone() },
                PermitWhat::Withdraw => Op::Withdraw(subject),
                PermitWhat::Force => Op::Force(subject),
                PermitWhat::Back => match now.entries.get(&Key::Permit(subject.clone())).map(|e| &e.value) {
                    Some(Value::Permit(permit)) => Op::Back(subject, permit.granted.unwrap_or(0)),
                    _ => return Err(FleetError::Usage(format!("{subject} has no permit"))),
                },
            });
        }
        self.change_all(ops, Reason { why, expect: None }).await
    }

    async fn off(&mut self, worker: &Name) -> Result<()> {
        let (end, mut shown) = (Instant::now() + self.within, None);
        loop {
            let off = match self.ask(&Ask::Off(worker.clone())).await? {
                Say::Off(off) => off,
                other => return Err(misplaced(&other)),
            };
            let may = off.may_be_switched_off();
            if shown.as_ref() != Some(&off) {
                self.say(json!({"worker": worker, "may_be_switched_off": may, "off": off}), &|| {
                    let Some(at) = off.granted else { return format!("{worker}: no permit is granted") };
                    let confirmed = off.clear.len();
                    let missing = off.waits_for.iter().map(|(name, why)| format!("\n  {name}\t{why}"));
                    let verdict = if may { "may be switched off" } else { "may not be switched off yet" };
                    let missing: String = missing.collect();
                    format!(
                        "{worker}: permit of revision {at}, {confirmed} dispatchers confirmed: {verdict}{missing}"
                    )
                });
            }
            if may {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(FleetError::Failed(format!("{worker} may not be switched off yet")));
            }
            shown = Some(off);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    async fn watch(&mut self, from: u64) -> Result<()> {
        let mut at = from;
        loop {
            let Ok(mut wire) = self.client.watch(at, true).await else {
                tokio::time::sleep(Duration::from_millis(200)).await;
                continue;
            };
            while let Ok(Ok(Some(say))) = tokio::time::timeout(self.within, wire.next::<Say>()).await {
                match say {
                    // Another keeper may be behind what was shown already.
                    Say::Snapshot(Snapshot { revision, entries }) if revision > at => {
                        entries.iter().for_each(|(key, entry)| self.entry(key, entry));
                        at = revision;
                    }
                    Say::Changes(changes) => {
                        for change in changes.iter().filter(|c| c.revision > at) {
                            self.change(change);
                        }
                        at = changes.last().map_or(at, |c| c.revision.max(at));
                    }
                    _ => {}
                }
            }
        }
    }

    async fn change_all(&mut self, ops: impl IntoIterator<Item = Op>, reason: Reason) -> Result<()> {
        let ops: Vec<Op> = ops.into_iter().collect();
        let expect = ops.iter().map(Op::key).zip(std::iter::repeat(reason.expect));
        let expect = expect.filter_map(|(key, revision)| Some(Expect { key, revision: revision? })).collect();
        self.command(Act::Change { ops, expect, why: reason.why }).await
    }

    async fn backup(&mut self, file: &Path) -> Result<()> {
        let failed = |e: &dyn std::fmt::Display| FleetError::Failed(format!("{}: {e}", file.display()));
        let snapshot = self.all().await?;
        let (revision, body) = (snapshot.revision, json!(snapshot).to_string());
        kept::create(file, &body).map_err(|e| failed(&e))?;
        self.say(json!({"revision": revision}), &|| format!("revision {revision} in {}", file.display()));
        Ok(())
    }

    async fn command(&mut self, act: Act) -> Result<()> {
        let command = command(self.by.clone(), act);
        let done = self.client.command(&command, self.within).await??;
        self.say(json!({"revision": done.revision}), &|| format!("agreed at revision {}", done.revision));
        Ok(())
    }
}
