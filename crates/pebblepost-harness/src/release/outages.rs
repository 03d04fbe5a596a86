//! Judges outages by what was seen from outside: who was ready when, and who ended by itself.

use crate::supervisor::{Outage, OutageCause};

/// The most that were out at once, and for how long, in seconds, that was more than the budget.
pub fn most_at_once(outages: &[&Outage], budget: usize) -> (usize, f64) {
    let mut edges: Vec<(f64, i32)> =
        outages.iter().flat_map(|outage| [(outage.from, 1), (outage.to, -1)]).collect();
    // One that is back at the moment at which the next one goes was not out beside it.
    edges.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
    let (mut out, mut most, mut over, mut since) = (0_i32, 0, 0.0, 0.0);
    for (at, step) in edges {
        if out as usize > budget {
            over += at - since;
        }
        (out, since) = (out + step, at);
        most = most.max(out);
    }
    (usize::try_from(most).unwrap_or(0), over)
}

/// Those that began by themselves, as a program does that has a permit.
pub fn by_permit(outages: &[Outage]) -> Vec<&Outage> {
    outages.iter().filter(|outage| outage.cause == OutageCause::Voluntary).collect()
}

/// A halt of releases by an operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Halt {
    /// When it was acknowledged, in seconds of the log.
    pub acknowledged_at: f64,
    /// When its end was requested, in seconds of the log.
    pub resumed_at: f64,
}

/// Time from the acknowledgement of each halt to the last outage that began during it, in seconds; 0: none did.
pub fn late_after(outages: &[&Outage], halts: &[Halt]) -> Vec<f64> {
    let late = |halt: &Halt| {
        let begun = outages
            .iter()
            .map(|outage| outage.from)
            .filter(|at| (halt.acknowledged_at..halt.resumed_at).contains(at));
        begun.map(|at| at - halt.acknowledged_at).fold(0.0, f64::max)
    };
    halts.iter().map(late).collect()
}
