//! Quantiles of small sets of measured values.

fn sorted(values: &[f64]) -> Vec<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted
}

/// Returns the value at the index `quantile` times the number of values, rounded down, in ascending order: a share of about
/// `quantile` of the values lies below it. Returns 0 if there is no such value.
pub fn quantile(values: &[f64], quantile: f64) -> f64 {
    let index = (values.len() as f64 * quantile) as usize;
    sorted(values).get(index).copied().unwrap_or(0.0)
}

/// Returns the median, or 0 if there are no values. For an even number of values it is the upper of the two middle values.
pub fn median(values: &[f64]) -> f64 {
    quantile(values, 0.5)
}

/// Returns the quantile by the nearest-rank method: the least value that a share of at least `quantile` of the values does not
/// exceed. Returns 0 if there are no values.
pub fn nearest_rank(values: &[f64], quantile: f64) -> f64 {
    let rank = (values.len() as f64 * quantile).ceil() as usize;
    sorted(values).get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}
