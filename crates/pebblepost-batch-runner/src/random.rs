//! Small random numbers: choices among transcribers, jitter of pauses.

use std::cell::Cell;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::time::Duration;

/// A generator (xorshift64*), seeded by the operating system.
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
    /// A generator with a given seed.
    pub fn seeded(seed: u64) -> Random {
        Random { state: Cell::new(seed | 1) }
    }

    /// A number below `bound`, which must not be 0.
    pub fn below(&self, bound: u64) -> u64 {
        const MULTIPLIER: u64 = 0x2545_f491_4f6c_dd1d;
        let mut state = self.state.get();
        state ^= state >> 12;
        state ^= state << 25;
        state ^= state >> 27;
        self.state.set(state);
        (state.wrapping_mul(MULTIPLIER) >> 11) % bound
    }

    /// One of the elements.
    pub fn pick<'a, T>(&self, elements: &'a [T]) -> Option<&'a T> {
        let length = u64::try_from(elements.len()).ok().filter(|length| *length > 0)?;
        elements.get(usize::try_from(self.below(length)).unwrap_or(0))
    }

    /// A time between `least` and `most`.
    pub fn pause(&self, least: Duration, most: Duration) -> Duration {
        let span = u64::try_from(most.saturating_sub(least).as_micros()).unwrap_or(0);
        least + Duration::from_micros(self.below(span + 1))
    }
}
