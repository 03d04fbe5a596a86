//! Quantiles of a few measured values.

fn sorted(values: &[f64]) -> Vec<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted
}

/// The value of which `quantile` of the values lie below; 0 if there are none.
pub fn quantile(values: &[f64], quantile: f64) -> f64 {
    let index = (values.len() as f64 * quantile) as usize;
    sorted(values).get(index).copied().unwrap_or(0.0)
}

/// The median: of an even number of values the upper of the two in the middle; 0 if there are none.
pub fn median(values: &[f64]) -> f64 {
    quantile(values, 0.5)
}

/// The least value that is not below `quantile` of the values (nearest rank); 0 if there are none.
pub fn nearest_rank(values: &[f64], quantile: f64) -> f64 {
    let rank = (values.len() as f64 * quantile).ceil() as usize;
    sorted(values).get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}
