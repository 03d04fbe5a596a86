//! The replicated store: registers with a version, last writer wins, merged by full exchange between peers.
//!
//! There is no leader and no vote, as a drain mark must work while a peer is away. A peer that comes back
//! learns what it missed from the next exchange. Lines of JSON go over loopback TCP:
//!
//! * `{"node":N,"registers":{KEY:[VALUE,COUNTER,NODE],...}}`: all that the sender has; answered in kind.
//! * `{"set":{KEY:VALUE,...}}`: an operator's change; answered by `{"ok":true}` or `{"error":...}`.
//! * `{"show":true}`: answered by all registers.
//!
//! Keys are `drain/HOST` (true: send it nothing new; null takes the mark back) and `setting/NAME`, for the
//! names in [`CHANGEABLE`].

use crate::http::take_json_line;
use crate::net::{ConnKey, Due, Role, Shared};
use serde_json::{Map, Value, json};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashSet};
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Settings that may change while the program runs: times in seconds.
pub const CHANGEABLE: [&str; 2] = ["faktory.heartbeat_s", "faktory.reserve_for_s"];
/// Peers meet this often, and at each change.
const PERIOD: Duration = Duration::from_secs(1);
/// An exchange that takes longer has failed; the next one makes up for it.
const PATIENCE: Duration = Duration::from_secs(2);
const MAX_REGISTERS: usize = 4_096;
const MAX_KEY: usize = 200;
const MAX_LINE: usize = 1024 * 1024;

/// Why the store's file cannot be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// It cannot be read or written.
    #[error("store.file: {0}: {1}")]
    Io(PathBuf, io::Error),
    /// What is in it is not what was written.
    #[error("store.file: {0}: torn or not a store; restore or remove it")]
    Torn(PathBuf),
}

/// A value and who wrote it when.
#[derive(Clone, Debug, PartialEq)]
pub struct Register {
    value: Value,
    counter: u64,
    node: String,
}

impl Register {
    /// Orders versions. A node that lost its memory may use a version twice: the values decide then, so that
    /// all nodes decide alike.
    fn beats(&self, other: &Self) -> bool {
        let rank = |r: &Self| (r.counter, r.node.clone(), r.value.to_string());
        rank(self) > rank(other)
    }
}

/// The registers of one node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Registers {
    node: String,
    all: BTreeMap<String, Register>,
}

fn sound_key(key: &str) -> bool {
    let named =
        key.strip_prefix("drain/").is_some_and(|host| !host.is_empty()) || key.starts_with("setting/");
    named && key.len() <= MAX_KEY && !key.chars().any(char::is_control)
}

impl Registers {
    /// An empty set.
    pub fn new(node: &str) -> Self {
        Self { node: node.to_owned(), all: BTreeMap::new() }
    }

    /// Makes a change of this node's own.
    pub fn set(&mut self, key: &str, value: Value) -> Result<(), &'static str> {
        let sound = match key.split_once('/') {
            Some(("drain", _)) => value.is_null() || value.is_boolean(),
            Some(("setting", name)) => {
                let seconds = value.as_f64().is_some_and(|v| (0.001..=86_400.0).contains(&v));
                CHANGEABLE.contains(&name) && (value.is_null() || seconds)
            }
            _ => false,
        };
        if !sound || !sound_key(key) {
            return Err("no such key, or a value that it does not take");
        }
        let counter = self.all.get(key).map_or(0, |r| r.counter);
        if !self.all.contains_key(key) && self.all.len() >= MAX_REGISTERS {
            return Err("too many registers");
        }
        let register = Register { value, counter: counter.saturating_add(1), node: self.node.clone() };
        self.all.insert(key.to_owned(), register);
        Ok(())
    }

    /// Takes in what another node has; whether that changed anything.
    pub fn merge(&mut self, other: BTreeMap<String, Register>) -> bool {
        let mut changed = false;
        for (key, theirs) in other {
            let room = self.all.len() < MAX_REGISTERS;
            let newer = self.all.get(&key).map_or(room, |ours| theirs.beats(ours));
            if newer && sound_key(&key) {
                self.all.insert(key, theirs);
                changed = true;
            }
        }
        changed
    }

    /// All registers as JSON.
    pub fn to_json(&self) -> Value {
        let triple = |r: &Register| json!([r.value, r.counter, r.node]);
        let all: Map<String, Value> = self.all.iter().map(|(key, r)| (key.clone(), triple(r))).collect();
        json!({"node": self.node, "registers": all})
    }

    /// Reads registers from JSON; `None`: it holds none.
    pub fn read(json: &Value) -> Option<BTreeMap<String, Register>> {
        let triple = |(key, json): (&String, &Value)| {
            let [value, counter, node] = json.as_array()?.as_slice() else { return None };
            let node = node.as_str().filter(|n| n.len() <= MAX_KEY)?.to_owned();
            Some((key.clone(), Register { value: value.clone(), counter: counter.as_u64()?, node }))
        };
        json.get("registers")?.as_object()?.iter().map(triple).collect()
    }

    /// Workers with an operator's drain mark.
    pub fn drained(&self) -> HashSet<String> {
        let marked = self.all.iter().filter(|(_, r)| r.value == true);
        marked.filter_map(|(key, _)| key.strip_prefix("drain/")).map(str::to_owned).collect()
    }

    /// A changeable setting.
    pub fn seconds(&self, name: &str) -> Option<Duration> {
        let secs = self.all.get(&format!("setting/{name}"))?.value.as_f64()?;
        (0.001..=86_400.0).contains(&secs).then(|| Duration::from_secs_f64(secs))
    }

    /// Writes the registers so that a crash leaves the old file or the new one, whole.
    pub fn save(&self, path: &Path) -> Result<(), StoreError> {
        let body = self.to_json().to_string();
        let text = format!("{}\n{body}\n", checksum(&body));
        let fresh = path.with_extension("new");
        let write = || {
            let mut file = File::create(&fresh)?;
            file.write_all(text.as_bytes())?;
            file.sync_all()?;
            fs::rename(&fresh, path)?;
            // The rename itself has to last as well.
            let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
            File::open(folder)?.sync_all()
        };
        write().map_err(|e| StoreError::Io(path.to_owned(), e))
    }

    /// Reads the file of an earlier run; none is an empty store, and a torn one is refused.
    pub fn load(node: &str, path: &Path) -> Result<Self, StoreError> {
        let text = match fs::read(path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Self::new(node)),
            Err(e) => return Err(StoreError::Io(path.to_owned(), e)),
        };
        let read = || {
            let (sum, body) = std::str::from_utf8(&text).ok()?.strip_suffix('\n')?.split_once('\n')?;
            let body = Some(body).filter(|body| checksum(body) == sum)?;
            Self::read(&serde_json::from_str(body).ok()?)
        };
        let all = read().ok_or_else(|| StoreError::Torn(path.to_owned()))?;
        Ok(Self { node: node.to_owned(), all })
    }
}

fn checksum(body: &str) -> String {
    Sha256::digest(body.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

/// A connection of the store.
#[derive(Debug, Default)]
pub struct Exchange {
    /// This node opened it, so it expects one answer.
    ours: bool,
}

/// The store of this node among its peers.
#[derive(Debug)]
pub struct Replica {
    registers: Registers,
    peers: Vec<SocketAddr>,
    file: Option<PathBuf>,
}

impl Replica {
    /// Reads what is kept, and starts to meet the peers.
    pub fn new(s: &mut Shared, node: &str, config: &crate::config::Store) -> Result<Self, StoreError> {
        let registers = match &config.file {
            Some(file) => Registers::load(node, file)?,
            None => Registers::new(node),
        };
        if !config.peers.is_empty() {
            s.net.deadlines.set(s.net.now, Due::Store);
        }
        Ok(Self { registers, peers: config.peers.clone(), file: config.file.clone() })
    }

    /// What is in it.
    pub fn registers(&self) -> &Registers {
        &self.registers
    }

    /// Time to meet the peers.
    pub fn on_due(&mut self, s: &mut Shared) {
        self.meet(s);
        s.net.deadlines.set(s.net.now + PERIOD, Due::Store);
    }

    fn meet(&mut self, s: &mut Shared) {
        let all = format!("{}\n", self.registers.to_json());
        for peer in self.peers.clone() {
            // One that is away is met again the next time.
            if let Ok(key) = s.net.connect(peer, Role::Store(Exchange { ours: true })) {
                s.net.set_deadline(key, Some(PATIENCE));
                s.net.send(key, all.as_bytes());
            }
        }
    }

    /// Somebody connected.
    pub fn on_open(&mut self, s: &mut Shared, key: ConnKey) {
        s.net.set_deadline(key, Some(PATIENCE));
    }

    /// Bytes have come; whether the store has changed.
    pub fn on_data(&mut self, s: &mut Shared, key: ConnKey) -> bool {
        let mut changed = false;
        while let Some(conn) = s.net.get(key)
            && let Role::Store(exchange) = &conn.role
        {
            let ours = exchange.ours;
            let Some(line) = take_json_line(&mut conn.input) else {
                if conn.input.len() >= MAX_LINE {
                    s.net.close(key);
                }
                break;
            };
            let Ok(json) = serde_json::from_slice::<Value>(&line) else {
                s.net.close(key); // Garbage ends this exchange, nothing else.
                break;
            };
            if ours {
                changed |= Registers::read(&json).is_some_and(|theirs| self.registers.merge(theirs));
                s.net.close(key);
                break;
            }
            let (reply, news) = self.answer(&json);
            s.net.set_deadline(key, Some(PATIENCE));
            s.net.send(key, format!("{reply}\n").as_bytes());
            if news && json.get("set").is_some() {
                self.meet(s);
            }
            changed |= news;
        }
        if changed {
            self.keep(s);
        }
        s.net.sync(key);
        changed
    }

    fn answer(&mut self, json: &Value) -> (Value, bool) {
        if let Some(theirs) = Registers::read(json) {
            let changed = self.registers.merge(theirs);
            return (self.registers.to_json(), changed);
        }
        match json.get("set").and_then(Value::as_object) {
            Some(changes) => {
                // All or nothing.
                let mut next = self.registers.clone();
                match changes.iter().try_for_each(|(key, value)| next.set(key, value.clone())) {
                    Ok(()) => {
                        self.registers = next;
                        (json!({"ok": true}), true)
                    }
                    Err(why) => (json!({"error": why}), false),
                }
            }
            None if json.get("show").is_some() => (self.registers.to_json(), false),
            None => (json!({"error": "set, show or registers is wanted"}), false),
        }
    }

    fn keep(&mut self, s: &mut Shared) {
        if let Some(Err(error)) = self.file.as_ref().map(|file| self.registers.save(file)) {
            (s.log)(&format!("not kept: {error}"));
        }
    }
}
