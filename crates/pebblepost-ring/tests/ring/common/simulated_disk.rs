//! A folder of files in memory that may lose unsynced changes when power is lost.

use super::Random;
use pebblepost_ring::storage::Storage;
use pebblepost_stable_hash::Fnv1a;
use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, MutexGuard},
};

/// Syncs that have no effect, to show that the checks detect it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Omissions {
    pub folder_sync: bool,
    pub data_sync: bool,
}

/// Rates of simulated errors.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// One in this many writes fails on average; none if 0.
    pub write_errors: u64,
    /// One in this many syncs fails on average; none if 0.
    pub sync_errors: u64,
}

#[derive(Clone, Debug)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Length(usize),
}

impl Change {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            Change::Write { offset, bytes } => {
                if content.len() < offset + bytes.len() {
                    content.resize(offset + bytes.len(), 0);
                }
                content[*offset..offset + bytes.len()].copy_from_slice(bytes);
            }
            Change::Length(length) => content.resize(*length, 0),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Content {
    durable: Vec<u8>,
    live: Vec<u8>,
    unsynced: Vec<Change>,
}

#[derive(Clone, Debug)]
enum NameChange {
    Create(String, usize),
    Rename(String, String, usize),
    Remove(String),
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            NameChange::Create(name, content) => {
                names.insert(name.clone(), *content);
            }
            NameChange::Rename(from, to, content) => {
                names.remove(from);
                names.insert(to.clone(), *content);
            }
            NameChange::Remove(name) => {
                names.remove(name);
            }
        }
    }
}

#[derive(Debug)]
struct State {
    random: Random,
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    faults: Faults,
    omissions: Omissions,
    /// Operations until power is lost; `None` if no loss is planned.
    operations_until_power_loss: Option<u64>,
    operations: u64,
    syncs: u64,
}

/// Handle of a simulated disk; clones share its state.
#[derive(Clone, Debug)]
pub struct SimulatedDisk(Arc<Mutex<State>>);

impl SimulatedDisk {
    pub fn new(seed: u64) -> SimulatedDisk {
        SimulatedDisk(Arc::new(Mutex::new(State {
            random: Random(seed),
            contents: Vec::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            unsynced_names: Vec::new(),
            faults: Faults::default(),
            omissions: Omissions::default(),
            operations_until_power_loss: None,
            operations: 0,
            syncs: 0,
        })))
    }

    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    pub fn set_omissions(&self, omissions: Omissions) {
        self.state().omissions = omissions;
    }

    /// Makes power fail after this many more operations; `None` cancels it.
    pub fn lose_power_after(&self, operations: Option<u64>) {
        self.state().operations_until_power_loss = operations;
    }

    pub fn is_powered_off(&self) -> bool {
        self.state().operations_until_power_loss == Some(0)
    }

    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// Returns an FNV-1a hash of the content of the disk, the state of the random generator and the
    /// numbers of operations and syncs.
    pub fn digest(&self) -> u64 {
        let state = self.state();
        let mut digest = Fnv1a::default();
        for number in [state.random.0, state.operations, state.syncs] {
            digest.number(number);
        }
        for (name, content) in state.names.iter().chain(&state.durable_names) {
            digest.bytes(name.as_bytes());
            digest.number(*content as u64);
        }
        for content in &state.contents {
            digest.bytes(&content.live);
            digest.bytes(&content.durable);
        }
        digest.finish()
    }

    /// Simulates power loss and restart. Each unsynced change is kept, lost or, for writes, torn at
    /// random; with a chance of one in four, all unsynced changes are lost.
    pub fn restore_power(&self) {
        let mut state = self.state();
        let state = &mut *state;
        state.operations_until_power_loss = None;
        let loses_all_unsynced = state.random.one_in(4);
        let unsynced_names = std::mem::take(&mut state.unsynced_names);
        for change in unsynced_names {
            if !loses_all_unsynced && state.random.one_in(2) {
                change.apply(&mut state.durable_names);
            }
        }
        state.names = state.durable_names.clone();
        for content in &mut state.contents {
            for change in std::mem::take(&mut content.unsynced) {
                if !loses_all_unsynced {
                    apply_partly(&change, &mut content.durable, &mut state.random);
                }
            }
            content.live = content.durable.clone();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("the simulated disk's state")
    }

    /// Counts an operation. Fails once power is lost.
    fn operate(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.state();
        state.operations += 1;
        match &mut state.operations_until_power_loss {
            Some(0) => return Err(io::Error::other("no power")),
            Some(remaining) => *remaining -= 1,
            None => {}
        }
        if state.operations_until_power_loss == Some(0) {
            return Err(io::Error::other("power lost"));
        }
        Ok(state)
    }
}

/// Applies a change completely, partly or not at all.
fn apply_partly(change: &Change, durable: &mut Vec<u8>, random: &mut Random) {
    match (random.below(3), change) {
        (0, _) => {}
        (1, Change::Write { offset, bytes }) if !bytes.is_empty() => {
            // A torn write: an arbitrary part of it reached the disk.
            let start = if random.one_in(2) { 0 } else { random.below(bytes.len() as u64) as usize };
            let end = start + random.below((bytes.len() - start) as u64 + 1) as usize;
            Change::Write { offset: offset + start, bytes: bytes[start..end].to_vec() }.apply(durable);
        }
        _ => change.apply(durable),
    }
}

impl State {
    fn draw_failure(&mut self, one_in: u64) -> bool {
        one_in != 0 && self.random.one_in(one_in)
    }

    fn change(&mut self, file: usize, change: Change) {
        let content = &mut self.contents[file];
        change.apply(&mut content.live);
        content.unsynced.push(change);
    }

    fn change_name(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.unsynced_names.push(change);
    }

    fn sync(&mut self, file: usize) -> io::Result<()> {
        self.syncs += 1;
        if self.omissions.data_sync {
            return Ok(());
        }
        let fails = self.draw_failure(self.faults.sync_errors);
        let unsynced = std::mem::take(&mut self.contents[file].unsynced);
        for change in unsynced {
            // Changes that a failed sync left out are not written by later syncs either.
            if !fails || self.random.one_in(2) {
                change.apply(&mut self.contents[file].durable);
            }
        }
        if fails { Err(io::Error::other("sync failed")) } else { Ok(()) }
    }
}

impl Storage for SimulatedDisk {
    type File = usize;

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.operate()?.names.keys().cloned().collect())
    }

    fn open(&mut self, name: &str) -> io::Result<usize> {
        let state = self.operate()?;
        state.names.get(name).copied().ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }

    fn create(&mut self, name: &str) -> io::Result<usize> {
        let mut state = self.operate()?;
        if let Some(content) = state.names.get(name) {
            return Ok(*content);
        }
        state.contents.push(Content::default());
        let content = state.contents.len() - 1;
        state.change_name(NameChange::Create(name.to_owned(), content));
        Ok(content)
    }

    fn length(&mut self, file: &mut usize) -> io::Result<u64> {
        Ok(self.operate()?.contents[*file].live.len() as u64)
    }

    fn set_length(&mut self, file: &mut usize, length: u64) -> io::Result<()> {
        self.operate()?.change(*file, Change::Length(length as usize));
        Ok(())
    }

    fn read_at(&mut self, file: &mut usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let state = self.operate()?;
        let live = &state.contents[*file].live;
        let start = live.len().min(offset as usize);
        let count = buffer.len().min(live.len() - start);
        buffer[..count].copy_from_slice(&live[start..start + count]);
        Ok(count)
    }

    fn write_at(&mut self, file: &mut usize, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let change = Change::Write { offset: offset as usize, bytes: bytes.to_vec() };
        let mut state = match self.operate() {
            Ok(state) => state,
            Err(error) => {
                // The write during which power is lost may reach the disk in part.
                self.state().change(*file, change);
                return Err(error);
            }
        };
        let one_in = state.faults.write_errors;
        if state.draw_failure(one_in) {
            let written = state.random.below(bytes.len() as u64 + 1) as usize;
            state.change(*file, Change::Write { offset: offset as usize, bytes: bytes[..written].to_vec() });
            return Err(io::Error::other("write failed"));
        }
        state.change(*file, change);
        Ok(())
    }

    fn sync_data(&mut self, file: &mut usize) -> io::Result<()> {
        self.operate()?.sync(*file)
    }

    fn sync_all(&mut self, file: &mut usize) -> io::Result<()> {
        self.operate()?.sync(*file)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.operate()?;
        let content =
            state.names.get(from).copied().ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        state.change_name(NameChange::Rename(from.to_owned(), to.to_owned(), content));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.operate()?.change_name(NameChange::Remove(name.to_owned()));
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.operate()?;
        state.syncs += 1;
        if state.omissions.folder_sync {
            return Ok(());
        }
        state.unsynced_names.clear();
        state.durable_names = state.names.clone();
        Ok(())
    }
}
