//! Judges outages by what was seen from outside: who was ready when, who ended itself, and what operators were told.

use crate::supervisor::{Outage, OutageCause};

/// The most that were out at once, and for how long, in seconds, that was more than a budget.
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

/// Those that went of their own accord, as a program does that was permitted to.
pub fn by_permit(outages: &[Outage]) -> Vec<&Outage> {
    outages.iter().filter(|outage| outage.cause == OutageCause::Voluntary).collect()
}

/// A halt: when it was acknowledged, and when its end was asked for.
pub type Halt = (f64, f64);

/// How long after each halt was acknowledged the last one went, in seconds; 0: none did.
pub fn late_after(outages: &[&Outage], halts: &[Halt]) -> Vec<f64> {
    let late = |(from, to): &Halt| {
        let begun = outages.iter().map(|outage| outage.from).filter(|at| (*from..*to).contains(at));
        begun.map(|at| at - from).fold(0.0, f64::max)
    };
    halts.iter().map(late).collect()
}
