//! Random streams of a plan.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The parts of a plan that draw by themselves, so that a change of one leaves the others as they were. The numbers are part
/// of what a seed means.
#[derive(Clone, Copy, Debug)]
pub(super) enum Part {
    Workers = 1,
    JobSizeSample = 2,
    Arrivals = 3,
    WorkerFaults = 4,
    SharedStore = 5,
    QueueOrder = 6,
    Cancellations = 7,
}

/// The stream of one part.
pub(super) fn stream(seed: u64, part: Part) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part as u64)
}
