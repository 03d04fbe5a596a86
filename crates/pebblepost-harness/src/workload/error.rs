//! Why a plan can not be drawn.

/// A spec does not describe a distribution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The sizes of jobs: the mean or the variation is not a positive finite number.
    #[error(transparent)]
    JobSizes(#[from] rand_distr::NormalError),
    /// The popularity of keys.
    #[error(transparent)]
    KeyPopularity(#[from] rand_distr::ZipfError),
}
