//! Fault schedules: which fault happens when. A schedule is drawn from a seed, printed as JSON, and can be replayed from
//! there, in whole or without some of its faults, to shrink a failing run. Nothing here injects a fault.

use super::tcp_relay::LinkState;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A fault, without its times. Numbers are those of processes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A process is killed, and started again on its disk at the end.
    Kill(usize),
    /// A process gets SIGTERM, and is started again at the end.
    Stop(usize),
    /// A process is suspended (SIGSTOP) until the end.
    Pause(usize),
    /// The link from one process to another is in this state until the end.
    #[serde(rename = "wire")]
    Link(usize, usize, LinkState),
    /// All links from and to a process are partitioned until the end.
    #[serde(rename = "alone")]
    Isolated(usize),
    /// The links between a process and its peers are partitioned until the end; clients still reach it.
    #[serde(rename = "apart")]
    IsolatedFromPeers(usize),
    /// Requests and replies to a process are held until the end; what it sends arrives.
    #[serde(rename = "deaf")]
    InboundHeld(usize),
    /// All connections from one process to another are reset.
    Reset(usize, usize),
    /// A process is killed and its disk damaged; it must refuse to start on it, and is replaced by a new one at the end.
    Disk(usize, DiskDamage),
}

/// Damage done to a disk.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiskDamage {
    /// The file is deleted.
    #[serde(rename = "gone")]
    Deleted,
    /// The second half of the file is cut off.
    #[serde(rename = "torn")]
    Truncated,
    /// One bit is inverted: the one of this number, modulo the length of the file.
    #[serde(rename = "flipped")]
    BitFlipped(u64),
}

impl FaultKind {
    /// Whether this process does not run while the fault lasts.
    pub fn stops(&self, process: usize) -> bool {
        matches!(*self, Self::Kill(stopped) | Self::Stop(stopped) | Self::Disk(stopped, _) if stopped == process)
    }

    /// The name under which reports count it.
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

/// A fault with its times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Its number in the schedule.
    pub number: usize,
    /// When it begins, in seconds from the start of the schedule.
    #[serde(rename = "at")]
    pub begins_at_s: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "lasts")]
    pub duration_s: f64,
    /// What it is.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// Faults in the order in which they begin.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Schedule(pub Vec<Fault>);

/// Parameters of a random schedule.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleParameters {
    /// Processes that faults happen to.
    pub processes: usize,
    /// All faults are over after so many seconds.
    pub seconds: f64,
    /// Mean interval between the beginnings of two faults, in seconds.
    pub mean_interval_s: f64,
    /// Longest fault, in seconds.
    pub longest_s: f64,
}

impl Schedule {
    /// Draws one. About half of the faults are kills.
    pub fn draw(parameters: ScheduleParameters, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xfa17);
        let (mut at, mut faults) = (0.0, Vec::new());
        loop {
            // Whole milliseconds, so that printing and reading change nothing.
            let ms = |seconds: f64| (seconds * 1e3).round() / 1e3;
            at = ms(at + parameters.mean_interval_s * rng.random_range(0.3..1.7));
            let duration_s = ms(rng.random_range(0.1..parameters.longest_s));
            if at + duration_s > parameters.seconds {
                return Self(faults);
            }
            let one = rng.random_range(0..parameters.processes);
            let other = (one + rng.random_range(1..parameters.processes.max(2))) % parameters.processes;
            let kind = match rng.random_range(0..21) {
                0..10 => FaultKind::Kill(one),
                10 => FaultKind::Stop(one),
                11 | 12 => FaultKind::Pause(one),
                13 => FaultKind::Isolated(one),
                14 => FaultKind::InboundHeld(one),
                15 => FaultKind::IsolatedFromPeers(one),
                16 => match rng.random_range(0..3) {
                    0 => FaultKind::Link(one, other, LinkState::Partitioned),
                    1 => FaultKind::Link(one, other, LinkState::RequestsHeld),
                    _ => FaultKind::Link(one, other, LinkState::RepliesHeld),
                },
                17 => FaultKind::Link(one, other, LinkState::Delayed(rng.random_range(20..800))),
                18 => FaultKind::Link(one, other, LinkState::Throttled(rng.random_range(200..5_000))),
                19 => FaultKind::Reset(one, other),
                _ => FaultKind::Disk(
                    one,
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

    /// Without the faults of these numbers; the others keep theirs.
    pub fn without(mut self, left_out: &[usize]) -> Self {
        self.0.retain(|fault| !left_out.contains(&fault.number));
        self
    }

    /// Number of faults by [`FaultKind::name`].
    pub fn counts_by_name(&self) -> BTreeMap<&'static str, usize> {
        let mut counts_by_name = BTreeMap::new();
        for fault in &self.0 {
            *counts_by_name.entry(fault.kind.name()).or_insert(0) += 1;
        }
        counts_by_name
    }
}
