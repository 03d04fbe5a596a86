//! Errors of drawing a plan.

/// The figures of a spec do not describe a probability distribution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The distribution of job sizes: the mean or the variation is not a positive finite number.
    #[error(transparent)]
    JobSizes(#[from] rand_distr::NormalError),
    /// The distribution of the popularity of affinity keys.
    #[error(transparent)]
    KeyPopularity(#[from] rand_distr::ZipfError),
}
