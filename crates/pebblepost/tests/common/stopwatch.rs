//! A stopwatch that leaves out stalls of a busy machine.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Interval of the thread that detects stalls.
const WATCH_EVERY: Duration = Duration::from_millis(5);
/// A thread that wakes up less late than this was not stalled.
const LEAST_STALL: Duration = Duration::from_millis(10);

/// Measures how long something took, without the stretches in which this machine kept a thread of this process from
/// running although it was due: on a busy machine these fall on the program under test as well, which runs inside the
/// process of the test.
#[derive(Debug)]
pub struct Stopwatch {
    started: Instant,
    stalled_us: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
}

impl Stopwatch {
    pub fn start() -> Self {
        let stopwatch = Self { started: Instant::now(), stalled_us: Arc::default(), ended: Arc::default() };
        let (stalled_us, ended) = (Arc::clone(&stopwatch.stalled_us), Arc::clone(&stopwatch.ended));
        std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let before = Instant::now();
                std::thread::sleep(WATCH_EVERY);
                let late = before.elapsed().saturating_sub(WATCH_EVERY);
                if late >= LEAST_STALL {
                    stalled_us.fetch_add(late.as_micros() as u64, Ordering::Relaxed);
                }
            }
        });
        stopwatch
    }

    pub fn elapsed(&self) -> Duration {
        let stalled = Duration::from_micros(self.stalled_us.load(Ordering::Relaxed));
        self.started.elapsed().saturating_sub(stalled)
    }
}

impl Drop for Stopwatch {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}
