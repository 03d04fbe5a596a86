//! Checks of outages as observed from outside: when each dispatcher was ready, and which ones exited by themselves.

use crate::supervisor::{Outage, OutageCause};

/// Returns the maximum number of concurrent outages, and for how many seconds their number exceeded `budget`.
pub fn max_concurrent_outages(outages: &[&Outage], budget: usize) -> (usize, f64) {
    let mut edges: Vec<(f64, i32)> =
        outages.iter().flat_map(|outage| [(outage.from, 1), (outage.to, -1)]).collect();
    // At equal times ends come before starts: such outages do not overlap.
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

/// Selects the outages that began with an exit without an error, as a dispatcher exits when it has a permit.
pub fn voluntary_outages(outages: &[Outage]) -> Vec<&Outage> {
    outages.iter().filter(|outage| outage.cause == OutageCause::Voluntary).collect()
}

/// A halt of releases by an operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Halt {
    /// When the store acknowledged the halt, in seconds of the event log.
    pub acknowledged_at: f64,
    /// When the end of the halt was requested, in seconds of the event log.
    pub resumed_at: f64,
}

/// Time from the acknowledgement of each halt to the start of the last outage that began during it, in seconds; 0 if
/// none began.
pub fn last_outage_delays_s(outages: &[&Outage], halts: &[Halt]) -> Vec<f64> {
    let late = |halt: &Halt| {
        let begun = outages
            .iter()
            .map(|outage| outage.from)
            .filter(|at| (halt.acknowledged_at..halt.resumed_at).contains(at));
        begun.map(|at| at - halt.acknowledged_at).fold(0.0, f64::max)
    };
    halts.iter().map(late).collect()
}
