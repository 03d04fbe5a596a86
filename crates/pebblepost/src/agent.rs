//! The agent: a thread beside the loop that follows the agreed store. It is there only if the operator's file has a part
//! `fleet`; without one there is no thread and no descriptor.
//!
//! The loop never waits for it. What is known is handed over as one value, the newest, with a byte in a pipe that wakes
//! the loop; what it is made of ([`Follower`]) lives here. If no keeper is reached, the last value stays in force, and
//! [`Agent::told`] says how old it is.
//!
//! An operator of this machine reaches the agent at `fleet.control` (loopback) by lines of JSON: `{"drain":WORKER}`,
//! `{"undrain":WORKER}`, both with an optional `"why"`, and `{"show":true}`; each is answered by one line, `{"ok":true}` or
//! `{"error":WHY}`. A drain asked for here holds here at once and is offered to the group.

use crate::checksummed_file;
use crate::config::FleetConfig;
use pebblepost_fleet::follower::{Follower, ProposalOutcome};
use pebblepost_fleet::heartbeat::{HeartbeatReport, RequestCounts};
use pebblepost_fleet::setting::SETTINGS;
use pebblepost_fleet::value::{MemberInfo, Role, WorkerObservation};
use pebblepost_fleet::{Action, IncarnationId, Name, Rejection, RequestId, Text};
use pebblepost_fleet_store::client::{Client, command, incarnation_id, request_id};
use pebblepost_fleet_store::clock::{since, unix_ms};
use pebblepost_fleet_store::protocol::{Request, Response};
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::time::{sleep, timeout};

/// A member is heard this often.
const BEAT: Duration = Duration::from_secs(1);
/// An answer of the keepers is waited for so long.
const PATIENCE: Duration = Duration::from_secs(3);
/// A watch says something every half second; quiet for so long, it has failed.
const QUIET: Duration = Duration::from_secs(2);
/// Pauses before a watch or a join is tried again: doubled in a row, each drawn anew, so that a fleet that lost its
/// keepers does not come back in one moment.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(3));
/// The copy is kept at most this often.
const KEEP: Duration = Duration::from_millis(200);
const MAX_LINE: u64 = 4_096;
const MAX_OPERATORS: usize = 8;
const OPERATOR_PATIENCE: Duration = Duration::from_secs(10);

/// What the loop goes by.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Knowledge {
    /// The agreed revision.
    pub revision: u64,
    /// Workers with a drain mark, agreed or local.
    pub drained: HashSet<String>,
    /// The revision of the newest agreed mark.
    pub newest_mark: u64,
    /// How many of the marks are local.
    pub local: usize,
    /// Agreed settings.
    pub settings: BTreeMap<&'static str, f64>,
    /// The revision at which this process was permitted to end.
    pub permitted: Option<u64>,
}

impl Knowledge {
    fn of(follower: &Follower, (name, life): &(Name, IncarnationId)) -> Self {
        let settings = SETTINGS.iter().filter_map(|s| Some((s.name, follower.setting(s.name)?))).collect();
        Self {
            revision: follower.revision(),
            drained: follower.drained_workers().into_iter().map(|name| name.to_string()).collect(),
            newest_mark: follower.newest_drain_revision(),
            local: follower.local_drains().count(),
            settings,
            permitted: follower.permit_granted_at(name, *life),
        }
    }

    /// A setting that is a time.
    pub fn seconds(&self, name: &str) -> Option<Duration> {
        self.settings.get(name).map(|secs| Duration::from_secs_f64(*secs))
    }
}

/// What both threads hold.
struct Shared {
    /// Its name, and its life: drawn once, it tells this process from those before and after it.
    me: (Name, IncarnationId),
    /// Whether the loop takes new clients.
    ready: AtomicBool,
    /// The newest, whether or not the loop has taken it.
    knowledge: Mutex<Arc<Knowledge>>,
    /// When the keepers last confirmed it, in milliseconds from `started`; 0: never.
    heard_ms: AtomicU64,
    started: Instant,
    follower: Mutex<Follower>,
    /// Something was asked for here that the group should have.
    offers: Notify,
    /// What the loop does, by its last word.
    doing: Mutex<HeartbeatReport>,
    /// How it sees the workers; `None`: it knows too little.
    seen: Mutex<Option<BTreeMap<Name, WorkerObservation>>>,
    /// The revision that is in the kept copy; without a copy any.
    kept: AtomicU64,
    changed: Notify,
    wake: UnixStream,
    log: fn(&str),
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn load(path: &Path) -> io::Result<Option<Follower>> {
    match checksummed_file::read(path) {
        Ok(body) => Ok(Some(serde_json::from_str(&body)?)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

impl Shared {
    fn now(&self) -> Duration {
        since(self.started)
    }

    /// What the keepers are told of it: what a restart would forget is not confirmed.
    fn doing(&self) -> HeartbeatReport {
        let doing = lock(&self.doing).clone();
        #[cfg(feature = "faults")]
        if std::env::var_os("PEBBLEPOST_FAULT_CONFIRM").is_some() {
            return HeartbeatReport { applied_revision: u64::MAX, busy_workers: BTreeSet::new(), ..doing };
        }
        let acts_by = doing.applied_revision.min(self.kept.load(Ordering::Relaxed));
        let differs = lock(&self.seen).as_ref().map(|seen| lock(&self.follower).diff_observations(seen));
        HeartbeatReport { applied_revision: acts_by, worker_diff: differs.unwrap_or_default(), ..doing }
    }

    /// Changes the copy, and tells the loop if that changes what it goes by.
    fn with<T>(&self, work: impl FnOnce(&mut Follower) -> T) -> T {
        let mut follower = lock(&self.follower);
        let result = work(&mut follower);
        if let Some(age) = follower.age(self.now()) {
            let heard = self.now().saturating_sub(age).as_millis().max(1);
            self.heard_ms.store(u64::try_from(heard).unwrap_or(u64::MAX), Ordering::Relaxed);
        }
        let knowledge = Knowledge::of(&follower, &self.me);
        drop(follower);
        let mut held = lock(&self.knowledge);
        if **held != knowledge {
            *held = Arc::new(knowledge);
            drop(held);
            // A full pipe: the loop is to be woken already.
            let _ = (&self.wake).write(&[1]);
            self.changed.notify_one();
        }
        result
    }
}

/// The agent, from the loop's side. Its thread ends when this is dropped.
pub struct Agent {
    shared: Arc<Shared>,
    /// Becomes readable when there is something new.
    pub woken: UnixStream,
    /// Where it listens to operators.
    pub control: Option<SocketAddr>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Agent {
    /// Starts it, with what was kept before. `address`: where this dispatcher takes clients.
    pub fn start(
        fleet: &FleetConfig, name: &str, address: Option<SocketAddr>, log: fn(&str),
    ) -> io::Result<Self> {
        let member: Name =
            name.parse().map_err(|e| io::Error::other(format!("fleet: name {name:?}: {e}")))?;
        let control = fleet.control.map(TcpListener::bind).transpose()?;
        if let Some(listener) = &control {
            listener.set_nonblocking(true)?;
        }
        let follower = match fleet.copy.as_deref().map(load) {
            Some(Ok(Some(kept))) => kept,
            Some(Err(why)) => {
                // It must not keep the program from serving; until the keepers are reached its drains are not known.
                let path = fleet.copy.clone().unwrap_or_default();
                log(&format!("fleet.copy: {}: {why}; goes on without it", path.display()));
                Follower::default()
            }
            _ => Follower::default(),
        };
        let (woken, wake) = UnixStream::pair()?;
        wake.set_nonblocking(true)?;
        let kept = if fleet.copy.is_some() { follower.revision() } else { u64::MAX };
        let me = (member, incarnation_id());
        let shared = Arc::new(Shared {
            knowledge: Mutex::new(Arc::new(Knowledge::of(&follower, &me))),
            me,
            ready: AtomicBool::new(false),
            heard_ms: AtomicU64::new(0),
            started: Instant::now(),
            follower: Mutex::new(follower),
            offers: Notify::new(),
            doing: Mutex::default(),
            seen: Mutex::default(),
            kept: AtomicU64::new(kept),
            changed: Notify::new(),
            wake,
            log,
        });
        let (stop, stopped) = oneshot::channel();
        let at = control.as_ref().map(TcpListener::local_addr).transpose()?;
        let (inside, fleet) = (shared.clone(), fleet.clone());
        let card = MemberInfo {
            role: Role::Dispatcher,
            version: fleet.version.parse().unwrap_or_default(),
            address,
            zone: fleet.zone.parse().unwrap_or_default(),
            ready: false,
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let work = move || {
            runtime.block_on(async {
                tokio::select! {
                    _ = stopped => {}
                    () = follow(&inside, &fleet) => {}
                    () = member_of(&inside, &fleet, card) => {}
                    () = keep(&inside, fleet.copy.as_deref()) => {}
                    () = listen(inside.clone(), control) => {}
                }
            });
        };
        let thread = std::thread::Builder::new().name("fleet".to_owned()).spawn(work)?;
        Ok(Self { shared, woken, control: at, stop: Some(stop), thread: Some(thread) })
    }

    /// The newest that is known.
    pub fn knowledge(&self) -> Arc<Knowledge> {
        lock(&self.shared.knowledge).clone()
    }

    /// The loop takes new clients, or none, from now on.
    pub fn takes_clients(&self, ready: bool) {
        self.shared.ready.store(ready, Ordering::Relaxed);
        self.shared.offers.notify_one();
    }

    /// How the loop's requests went.
    pub fn counts(&self, counts: RequestCounts) {
        lock(&self.shared.doing).requests = counts;
    }

    /// All that is agreed up to this revision is in force in the loop, which still has attempts out at these drained
    /// workers.
    pub fn confirms(&self, revision: u64, busy: BTreeSet<Name>) {
        let mut doing = lock(&self.shared.doing);
        let news =
            doing.busy_workers != busy || lock(&self.shared.knowledge).newest_mark > doing.applied_revision;
        (doing.applied_revision, doing.busy_workers) = (doing.applied_revision.max(revision), busy);
        if news {
            self.shared.offers.notify_one();
        }
    }

    /// How the loop sees the workers.
    pub fn sees(&self, seen: BTreeMap<Name, WorkerObservation>) {
        *lock(&self.shared.seen) = Some(seen);
    }

    /// What is known and how old it is, in one line.
    pub fn told(&self) -> String {
        let knowledge = self.knowledge();
        let heard = match self.shared.heard_ms.load(Ordering::Relaxed) {
            0 => "not confirmed since the start".to_owned(),
            ms => {
                let age = self.shared.now().saturating_sub(Duration::from_millis(ms));
                format!("confirmed {:.1} s ago", age.as_secs_f64())
            }
        };
        let (revision, drained, local) = (knowledge.revision, knowledge.drained.len(), knowledge.local);
        format!("fleet: revision {revision}, {heard}, {drained} drained, {local} of them local\n")
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A pause before the nth try in a row.
fn pause(tries: u32) -> Duration {
    let (least, most) = PAUSES;
    (least * (1 << tries.min(5))).min(most).mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Follows all changes, at one keeper after another.
async fn follow(shared: &Shared, fleet: &FleetConfig) {
    if fleet.replicas.is_empty() {
        return std::future::pending().await;
    }
    let mut client = Client::new(fleet.replicas.clone());
    let mut tries = 0;
    loop {
        let from = lock(&shared.follower).revision();
        if let Ok(mut wire) = client.watch(from, tries > 0).await {
            while let Ok(Ok(Some(say))) = timeout(QUIET, wire.next::<Response>()).await {
                let now = shared.now();
                let fits = shared.with(|follower| match say {
                    Response::Snapshot(snapshot) => follower.apply_snapshot(now, snapshot),
                    Response::Changes(changes) => follower.apply_changes(now, &changes),
                    Response::UpToDate(revision) => follower.confirm(now, revision),
                    _ => Ok(()),
                });
                // A keeper that is behind, or has lost its place: another one is asked.
                if let Err(why) = fits {
                    (shared.log)(&format!("fleet: {why}"));
                    break;
                }
                tries = 0;
            }
        }
        tries += 1;
        sleep(pause(tries)).await;
    }
}

/// Keeps a session, and offers what was asked for here.
async fn member_of(shared: &Shared, fleet: &FleetConfig, mut card: MemberInfo) {
    if fleet.replicas.is_empty() {
        return std::future::pending().await;
    }
    let mut client = Client::new(fleet.replicas.clone());
    let (member, life) = shared.me.clone();
    let (mut session, mut tries, mut reports, mut told) = (None, 0, 0, None);
    loop {
        match session {
            None => {
                card.ready = shared.ready.load(Ordering::Relaxed);
                let act = Action::Join { member: member.clone(), incarnation_id: life, info: card.clone() };
                match client.submit(&command(member.clone(), act), PATIENCE).await {
                    Ok(Ok(done)) => {
                        (session, tries, reports, told) = (done.session, 0, 0, Some(card.ready));
                    }
                    Ok(Err(refused @ Rejection::Superseded { .. })) => {
                        // Another process has the name. This one goes on serving by what it hears.
                        (shared.log)(&format!("fleet: {refused}"));
                        return std::future::pending().await;
                    }
                    Ok(Err(refused)) => {
                        (shared.log)(&format!("fleet: cannot join: {refused}"));
                        tries += 1;
                    }
                    Err(_) => tries += 1,
                }
            }
            Some(session_now) if told != Some(shared.ready.load(Ordering::Relaxed)) => {
                let ready = shared.ready.load(Ordering::Relaxed);
                reports += 1;
                let (member, number) = (member.clone(), reports);
                let act = Action::ReportReadiness {
                    member: member.clone(),
                    session: session_now,
                    sequence: number,
                    ready,
                };
                told = None;
                match client.submit(&command(member, act), PATIENCE).await {
                    Ok(Ok(_)) => told = Some(ready),
                    Ok(Err(_)) => session = None,
                    // It may have been taken or not: it is said again.
                    Err(_) => {}
                }
            }
            Some(number) => {
                let doing = Some(shared.doing());
                let beat = Request::Heartbeat { member: member.clone(), session: number, report: doing };
                if let Ok(Response::Heartbeat(false)) = client.request(&beat, PATIENCE).await {
                    (shared.log)("fleet: the session has ended, joining again");
                    session = None;
                }
            }
        }
        if session.is_some() {
            offer(shared, &mut client).await;
        }
        let rest = if session.is_some() { BEAT } else { pause(tries) };
        let _ = timeout(rest, shared.offers.notified()).await;
    }
}

/// Offers every local drain to the group, until one gets no answer or cannot be taken now.
async fn offer(shared: &Shared, client: &mut Client) {
    loop {
        let Some(command) = lock(&shared.follower).next_proposal() else { return };
        let Ok(answer) = client.submit(&command, PATIENCE).await else { return };
        match (shared.with(|follower| follower.record_result(command.id, &answer)), answer) {
            (ProposalOutcome::Overruled, Err(why)) => {
                (shared.log)(&format!("fleet: a local drain gives way to the group's decision: {why}"));
            }
            (ProposalOutcome::Deferred, Err(why)) => {
                // It stays local, and is offered again with the next beat.
                return (shared.log)(&format!("fleet: a drain stays local: {why}"));
            }
            _ => {}
        }
    }
}

/// Keeps the copy in its file, off the thread that follows.
async fn keep(shared: &Shared, path: Option<&Path>) {
    let Some(path) = path else { return std::future::pending().await };
    loop {
        shared.changed.notified().await;
        let (path, copy) = (path.to_owned(), lock(&shared.follower).clone());
        let shown = path.display().to_string();
        let (revision, mark) = (copy.revision(), copy.newest_drain_revision());
        let save = move || checksummed_file::replace(&path, &serde_json::to_string(&copy)?);
        match tokio::task::spawn_blocking(save).await {
            Ok(Ok(())) if shared.kept.swap(revision, Ordering::Relaxed) < mark => shared.offers.notify_one(),
            Ok(Err(why)) => (shared.log)(&format!("fleet.copy: {shown}: {why}")),
            _ => {}
        }
        sleep(KEEP).await;
    }
}

/// Listens to operators of this machine.
async fn listen(shared: Arc<Shared>, control: Option<TcpListener>) {
    let Some(listener) = control.and_then(|l| tokio::net::TcpListener::from_std(l).ok()) else {
        return std::future::pending().await;
    };
    let room = Arc::new(Semaphore::new(MAX_OPERATORS));
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = shared.clone();
                tokio::spawn(async move {
                    let _ = timeout(OPERATOR_PATIENCE, serve(&shared, stream)).await;
                    drop(permit);
                });
            }
            Err(_) => sleep(Duration::from_millis(100)).await,
        }
    }
}

async fn serve(shared: &Shared, stream: TcpStream) -> io::Result<()> {
    let (from, mut to) = stream.into_split();
    let mut from = BufReader::new(from.take(MAX_LINE));
    let mut line = String::new();
    while from.read_line(&mut line).await? > 0 {
        let reply = match serde_json::from_str(&line) {
            Ok(Value::Object(ask)) => answer(shared, &Value::Object(ask)),
            _ => json!({"error": "a line of JSON is wanted: drain, undrain or show"}),
        };
        to.write_all(format!("{reply}\n").as_bytes()).await?;
        line.clear();
        from.get_mut().set_limit(MAX_LINE);
    }
    Ok(())
}

fn answer(shared: &Shared, ask: &Value) -> Value {
    let name = |key: &str| ask.get(key).and_then(Value::as_str).map(str::parse::<Name>);
    let why = ask.get("why").and_then(Value::as_str).unwrap_or_default().parse::<Text>();
    let done = match (name("drain"), name("undrain"), why) {
        (Some(Ok(worker)), None, Ok(why)) => {
            let by: Name = "operator here".parse().unwrap_or_else(|_| worker.clone());
            let id: RequestId = request_id();
            shared.with(|f| f.drain(worker, id, by, unix_ms(), why)).map_err(|e| e.to_string())
        }
        (None, Some(Ok(worker)), _) => shared.with(|f| f.undrain(&worker)).map_err(|e| e.to_string()),
        (None, None, _) if ask.get("show").is_some() => {
            let follower = lock(&shared.follower);
            let local: Vec<&str> = follower.local_drains().map(|(name, _)| name.as_str()).collect();
            let drained: Vec<&str> = follower.drained_workers().into_iter().map(Name::as_str).collect();
            let age = follower.age(shared.now()).map(|age| age.as_secs_f64());
            return json!({"revision": follower.revision(), "confirmed_s_ago": age, "drained": drained, "local": local});
        }
        (Some(Err(e)), ..) | (_, Some(Err(e)), _) | (.., Err(e)) => Err(e.to_string()),
        _ => Err("drain, undrain or show is wanted".to_owned()),
    };
    match done {
        Ok(()) => {
            shared.offers.notify_one();
            json!({"ok": true})
        }
        Err(why) => json!({"error": why}),
    }
}
