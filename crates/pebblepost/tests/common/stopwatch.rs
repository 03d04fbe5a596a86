//! A stopwatch that excludes stalls of a busy machine.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Sleep interval of the thread that detects stalls.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Shortest delay of a wake-up that counts as a stall.
const MIN_STALL: Duration = Duration::from_millis(10);

/// Measures elapsed time without the periods in which a runnable thread of this process was not scheduled. On a busy machine
/// such stalls also delay the program under test, which runs in the process of the test.
#[derive(Debug)]
pub struct Stopwatch {
    started: Instant,
    stalled_us: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
}

impl Stopwatch {
    pub fn start() -> Self {
        let stopwatch =
            Self { started: Instant::now(), stalled_us: Arc::default(), is_stopped: Arc::default() };
        let (stalled_us, is_stopped) = (Arc::clone(&stopwatch.stalled_us), Arc::clone(&stopwatch.is_stopped));
        std::thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                let before = Instant::now();
                std::thread::sleep(STALL_CHECK_INTERVAL);
                let late = before.elapsed().saturating_sub(STALL_CHECK_INTERVAL);
                if late >= MIN_STALL {
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
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}
