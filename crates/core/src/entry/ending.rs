//! What an instance that is about to end still sends to upstreams.
//!
//! The load that it answers: requests become complete, or leave the queue, late in the
//! grace time of a planned stop. What runs at its end is cut off and cannot be repeated if
//! it is not idempotent, while a request that was not sent is refused as not run, and
//! succeeds at another instance. This sheds nothing for want of room: of two requests the
//! more urgent may be the longer one, and be refused alone.

use std::time::{Duration, Instant};

/// How many times as long as on an idle upstream a request may take.
const MARGIN_FACTOR: u32 = 3;
/// The time that is kept for the answer's way to its caller.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// The end of an instance that is stopping.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ending {
    at: Instant,
}

impl Ending {
    /// An instance whose requests are cut off at `at`.
    pub fn new(at: Instant) -> Self {
        Self { at }
    }

    /// Whether a request that would take `expected` on an idle upstream is likely to be
    /// answered before the end if it is sent at `now`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use rosemarypond_core::entry::ending::Ending;
    /// let ms = Duration::from_millis;
    /// let now = Instant::now();
    /// let ending = Ending::new(now + ms(2_000));
    /// assert!(ending.has_time_for(ms(500), now));
    /// assert!(!ending.has_time_for(ms(501), now));
    /// ```
    pub fn has_time_for(&self, expected: Duration, now: Instant) -> bool {
        now + expected * MARGIN_FACTOR + ANSWER_TIME <= self.at
    }
}
