//! The random streams of a plan.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The parts of a plan with a separate random stream, so that a change of one part does not affect the draws of the others.
///
/// The discriminants enter the seeds of the streams: changing one changes the plans of all seeds.
#[derive(Clone, Copy, Debug)]
pub(super) enum PlanPart {
    Workers = 1,
    JobSizeSample = 2,
    Arrivals = 3,
    WorkerFaults = 4,
    SharedStore = 5,
    QueueOrder = 6,
    Cancellations = 7,
}

/// Returns the random stream of one part.
pub(super) fn stream(seed: u64, part: PlanPart) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part as u64)
}
