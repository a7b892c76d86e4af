//! The clocks of an instance.

use std::time::{Duration, Instant};

use rosemarypond_core::entry::proof::Uptime;
use rustix::time::{ClockId, clock_gettime};

/// The runtime's clock, which tests pause and advance.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// The time since the machine started, including the time for which it was
/// suspended.
pub fn uptime() -> Uptime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Uptime(Duration::new(seconds, nanos))
}
