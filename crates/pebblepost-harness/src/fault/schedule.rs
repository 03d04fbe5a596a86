//! Fault schedules: which fault happens when. A schedule is drawn from a seed and printed as JSON. It can be replayed
//! from the JSON, in whole or without some of its faults, to reduce a failing run. This module does not inject
//! faults.

use super::tcp_relay::LinkState;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A kind of fault, without its times. Processes are identified by their index.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Kills a process, and restarts it on its disk when the fault ends.
    Kill(usize),
    /// Stops a process with SIGTERM, and restarts it when the fault ends.
    Stop(usize),
    /// Suspends a process (SIGSTOP) until the fault ends.
    Pause(usize),
    /// Puts the link from the first process to the second into this state until the fault ends.
    #[serde(rename = "wire")]
    Link(usize, usize, LinkState),
    /// Partitions all links from and to a process until the fault ends.
    #[serde(rename = "alone")]
    Isolated(usize),
    /// Partitions the links between a process and its peers until the fault ends. Clients can still reach the
    /// process.
    #[serde(rename = "apart")]
    IsolatedFromPeers(usize),
    /// Holds requests and replies to a process until the fault ends. What the process sends still arrives.
    #[serde(rename = "deaf")]
    InboundHeld(usize),
    /// Resets all connections from the first process to the second.
    Reset(usize, usize),
    /// Kills a process and damages its disk. The process must refuse to start on the damaged disk, and is replaced by
    /// a new one when the fault ends.
    Disk(usize, DiskDamage),
}

/// Damage to the disk of a process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiskDamage {
    /// The file is deleted.
    #[serde(rename = "gone")]
    Deleted,
    /// The file is truncated to its first half.
    #[serde(rename = "torn")]
    Truncated,
    /// One bit is inverted. The value is the index of the bit, modulo the length of the file in bits.
    #[serde(rename = "flipped")]
    BitFlipped(u64),
}

impl FaultKind {
    /// Whether this fault keeps `process` from running.
    pub fn stops_process(&self, process: usize) -> bool {
        matches!(*self, Self::Kill(stopped) | Self::Stop(stopped) | Self::Disk(stopped, _) if stopped == process)
    }

    /// The name under which reports count the fault.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Kill(_) => "kill",
            Self::Stop(_) => "stop",
            Self::Pause(_) => "pause",
            Self::Link(_, _, LinkState::Delayed(_)) => "late",
            Self::Link(_, _, LinkState::Throttled(_)) => "trickle",
            Self::Link(_, _, LinkState::RequestsHeld | LinkState::RepliesHeld) => "one_way",
            Self::Link(..) => "cut",
            Self::Isolated(_) => "alone",
            Self::IsolatedFromPeers(_) => "apart",
            Self::InboundHeld(_) => "deaf",
            Self::Reset(..) => "reset",
            Self::Disk(_, DiskDamage::Deleted) => "disk_gone",
            Self::Disk(_, DiskDamage::Truncated) => "disk_torn",
            Self::Disk(_, DiskDamage::BitFlipped(_)) => "disk_flipped",
        }
    }
}

/// A fault and when it takes place.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Number of the fault in its schedule.
    pub number: usize,
    /// Start of the fault, in seconds from the start of the schedule.
    #[serde(rename = "at")]
    pub begins_at_s: f64,
    /// Duration of the fault, in seconds.
    #[serde(rename = "lasts")]
    pub duration_s: f64,
    /// Kind of the fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// Faults, ordered by their start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Schedule(pub Vec<Fault>);

/// Parameters of a random schedule.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleParameters {
    /// Number of processes that faults are injected into.
    pub processes: usize,
    /// Length of the schedule, in seconds. All faults have ended by then.
    pub duration_s: f64,
    /// Mean interval between the starts of two consecutive faults, in seconds.
    pub mean_interval_s: f64,
    /// Upper limit of a fault's duration, in seconds.
    pub max_fault_duration_s: f64,
}

impl Schedule {
    /// Draws a schedule from `seed`. About half of its faults are kills.
    pub fn draw(parameters: ScheduleParameters, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xfa17);
        let (mut at, mut faults) = (0.0, Vec::new());
        loop {
            // Times are rounded to whole milliseconds so that they survive printing and parsing unchanged.
            let ms = |seconds: f64| (seconds * 1e3).round() / 1e3;
            at = ms(at + parameters.mean_interval_s * rng.random_range(0.3..1.7));
            let duration_s = ms(rng.random_range(0.1..parameters.max_fault_duration_s));
            if at + duration_s > parameters.duration_s {
                return Self(faults);
            }
            let process = rng.random_range(0..parameters.processes);
            let peer = (process + rng.random_range(1..parameters.processes.max(2))) % parameters.processes;
            let kind = match rng.random_range(0..21) {
                0..10 => FaultKind::Kill(process),
                10 => FaultKind::Stop(process),
                11 | 12 => FaultKind::Pause(process),
                13 => FaultKind::Isolated(process),
                14 => FaultKind::InboundHeld(process),
                15 => FaultKind::IsolatedFromPeers(process),
                16 => match rng.random_range(0..3) {
                    0 => FaultKind::Link(process, peer, LinkState::Partitioned),
                    1 => FaultKind::Link(process, peer, LinkState::RequestsHeld),
                    _ => FaultKind::Link(process, peer, LinkState::RepliesHeld),
                },
                17 => FaultKind::Link(process, peer, LinkState::Delayed(rng.random_range(20..800))),
                18 => FaultKind::Link(process, peer, LinkState::Throttled(rng.random_range(200..5_000))),
                19 => FaultKind::Reset(process, peer),
                _ => FaultKind::Disk(
                    process,
                    match rng.random_range(0..3) {
                        0 => DiskDamage::Deleted,
                        1 => DiskDamage::Truncated,
                        _ => DiskDamage::BitFlipped(rng.random()),
                    },
                ),
            };
            faults.push(Fault { number: faults.len(), begins_at_s: at, duration_s, kind });
        }
    }

    /// Removes the faults with these numbers. The others keep their numbers.
    pub fn without(mut self, excluded: &[usize]) -> Self {
        self.0.retain(|fault| !excluded.contains(&fault.number));
        self
    }

    /// Counts the faults by [`FaultKind::name`].
    pub fn counts_by_name(&self) -> BTreeMap<&'static str, usize> {
        let mut counts_by_name = BTreeMap::new();
        for fault in &self.0 {
            *counts_by_name.entry(fault.kind.name()).or_insert(0) += 1;
        }
        counts_by_name
    }
}
