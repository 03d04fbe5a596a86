//! Which fault happens when. A schedule is drawn from a seed, printed as JSON, and can be played again from there, in
//! whole or with faults left out: that is how a finding is shrunk.

use super::relay::Wire;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// A process is killed, and started again on its disk at the end.
    Kill(usize),
    /// It gets SIGTERM, and is started again at the end.
    Stop(usize),
    /// It is paused (SIGSTOP) until the end.
    Pause(usize),
    /// The wire from one process to another does this until the end.
    Wire(usize, usize, Wire),
    /// All wires from and to a process hold everything until the end.
    Alone(usize),
    /// The wires between a process and its peers hold everything until the end; the outside still reaches it.
    Apart(usize),
    /// A process hears nobody, and is heard: answers to it and requests to it are held.
    Deaf(usize),
    /// All connections from one process to another are reset.
    Reset(usize, usize),
    /// A process is killed and its disk spoilt: it must say so, and is replaced by a new one at the end.
    Disk(usize, Damage),
}

/// What becomes of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Damage {
    /// Nothing is left of it.
    Gone,
    /// Its second half is missing.
    Torn,
    /// A bit is another: the one of this number, counted round.
    Flipped(u64),
}

impl What {
    /// Whether a process is not there while it lasts.
    pub fn ends(&self, process: usize) -> bool {
        matches!(*self, Self::Kill(o) | Self::Stop(o) | Self::Disk(o, _) if o == process)
    }

    /// Its kind, for counting.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Kill(_) => "kill",
            Self::Stop(_) => "stop",
            Self::Pause(_) => "pause",
            Self::Wire(_, _, Wire::Late(_)) => "late",
            Self::Wire(_, _, Wire::Trickles(_)) => "trickle",
            Self::Wire(_, _, Wire::HoldsThere | Wire::HoldsBack) => "one_way",
            Self::Wire(..) => "cut",
            Self::Alone(_) => "alone",
            Self::Apart(_) => "apart",
            Self::Deaf(_) => "deaf",
            Self::Reset(..) => "reset",
            Self::Disk(_, Damage::Gone) => "disk_gone",
            Self::Disk(_, Damage::Torn) => "disk_torn",
            Self::Disk(_, Damage::Flipped(_)) => "disk_flipped",
        }
    }
}

/// A fault: from when, for how long, in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Its number in the schedule.
    pub number: usize,
    /// When it begins.
    pub at: f64,
    /// How long it lasts.
    pub lasts: f64,
    /// What it is.
    pub what: What,
}

/// Faults in the order in which they begin.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Schedule(pub Vec<Fault>);

/// How a schedule is drawn.
#[derive(Clone, Copy, Debug)]
pub struct Draw {
    /// Processes that faults happen to.
    pub processes: usize,
    /// Seconds from the first fault to the end of the last.
    pub seconds: f64,
    /// Faults begin this far apart, on average.
    pub every: f64,
    /// Longest fault.
    pub longest: f64,
}

impl Schedule {
    /// Draws one. About half of the faults are kills.
    pub fn draw(draw: Draw, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xfa17);
        let (mut at, mut faults) = (0.0, Vec::new());
        loop {
            // Whole milliseconds, so that printing and reading change nothing.
            let ms = |s: f64| (s * 1e3).round() / 1e3;
            at = ms(at + draw.every * rng.random_range(0.3..1.7));
            let lasts = ms(rng.random_range(0.1..draw.longest));
            if at + lasts > draw.seconds {
                return Self(faults);
            }
            let one = rng.random_range(0..draw.processes);
            let other = (one + rng.random_range(1..draw.processes.max(2))) % draw.processes;
            let what = match rng.random_range(0..21) {
                0..10 => What::Kill(one),
                10 => What::Stop(one),
                11 | 12 => What::Pause(one),
                13 => What::Alone(one),
                14 => What::Deaf(one),
                15 => What::Apart(one),
                16 => match rng.random_range(0..3) {
                    0 => What::Wire(one, other, Wire::Cut),
                    1 => What::Wire(one, other, Wire::HoldsThere),
                    _ => What::Wire(one, other, Wire::HoldsBack),
                },
                17 => What::Wire(one, other, Wire::Late(rng.random_range(20..800))),
                18 => What::Wire(one, other, Wire::Trickles(rng.random_range(200..5_000))),
                19 => What::Reset(one, other),
                _ => What::Disk(
                    one,
                    match rng.random_range(0..3) {
                        0 => Damage::Gone,
                        1 => Damage::Torn,
                        _ => Damage::Flipped(rng.random()),
                    },
                ),
            };
            faults.push(Fault { number: faults.len(), at, lasts, what });
        }
    }

    /// Without the faults of these numbers; the others keep theirs.
    pub fn without(mut self, left_out: &[usize]) -> Self {
        self.0.retain(|fault| !left_out.contains(&fault.number));
        self
    }

    /// How many of each kind.
    pub fn kinds(&self) -> BTreeMap<&'static str, usize> {
        let mut kinds = BTreeMap::new();
        for fault in &self.0 {
            *kinds.entry(fault.what.kind()).or_insert(0) += 1;
        }
        kinds
    }
}
