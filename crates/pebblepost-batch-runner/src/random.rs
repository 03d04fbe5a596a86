//! Random numbers for choices among transcribers and for backoff jitter.
//!
//! All random numbers of a runner come from one generator, in the order of its decisions, so that a run with the
//! same seed is repeatable.

use std::cell::Cell;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::time::Duration;

/// Random number generator (xorshift64*), seeded by the operating system unless a seed is given.
#[derive(Debug)]
pub struct Random {
    state: Cell<u64>,
}

impl Default for Random {
    fn default() -> Random {
        Random::seeded(RandomState::new().build_hasher().finish())
    }
}

impl Random {
    /// Creates a generator with a given seed.
    pub fn seeded(seed: u64) -> Random {
        Random { state: Cell::new(seed | 1) }
    }

    /// Returns a random number below `bound`.
    ///
    /// # Panics
    /// Panics if `bound` is 0.
    pub fn below(&self, bound: u64) -> u64 {
        const MULTIPLIER: u64 = 0x2545_f491_4f6c_dd1d;
        let mut state = self.state.get();
        state ^= state >> 12;
        state ^= state << 25;
        state ^= state >> 27;
        self.state.set(state);
        (state.wrapping_mul(MULTIPLIER) >> 11) % bound
    }

    /// Returns one of the elements at random, or `None`, without drawing a number, if there are none.
    pub fn pick<'a, T>(&self, elements: &'a [T]) -> Option<&'a T> {
        let length = u64::try_from(elements.len()).ok().filter(|length| *length > 0)?;
        elements.get(usize::try_from(self.below(length)).unwrap_or(0))
    }

    /// Shuffles the elements in place.
    pub fn shuffle<T>(&self, elements: &mut [T]) {
        for index in 1..elements.len() {
            let other = self.below(index as u64 + 1);
            elements.swap(index, usize::try_from(other).unwrap_or(0));
        }
    }

    /// Returns a random time from `min` to `max`, both included, in steps of one microsecond.
    pub fn duration_between(&self, min: Duration, max: Duration) -> Duration {
        let span = u64::try_from(max.saturating_sub(min).as_micros()).unwrap_or(0);
        min + Duration::from_micros(self.below(span + 1))
    }
}
