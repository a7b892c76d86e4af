//! The limits of a team that were in force in the last window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::entry::plan::Limit;

/// Limits, each with the time from which it was in force; the newest is last.
#[derive(Clone, Debug)]
pub(super) struct History {
    limits: VecDeque<(Instant, Limit)>,
}

impl History {
    pub(super) fn new(limit: Limit, now: Instant) -> Self {
        Self { limits: VecDeque::from([(now, limit)]) }
    }

    /// Records a limit that is in force from now on.
    pub(super) fn push(&mut self, limit: Limit, now: Instant) {
        if self.limits.back().is_none_or(|(_, current)| *current != limit) {
            self.limits.push_back((now, limit));
        }
    }

    /// The mean limit of the window that ends now: each rate counts for the time in
    /// which it was in force, and the largest burst counts. A lower limit thus
    /// binds gradually, and what was used under a higher one is not held against
    /// the team.
    pub(super) fn mean(&mut self, now: Instant, window: Duration) -> Limit {
        let age = |at: Instant| now.saturating_duration_since(at);
        while self.limits.get(1).is_some_and(|(at, _)| age(*at) >= window) {
            self.limits.pop_front();
        }
        let mut until = Duration::ZERO;
        let mut tokens = 0.0;
        for (index, (at, limit)) in self.limits.iter().enumerate().rev() {
            // The oldest limit covers the rest of the window.
            let since = if index == 0 { window } else { age(*at) };
            tokens += limit.rate * (since - until).as_secs_f64();
            until = since;
        }
        let burst = self.limits.iter().map(|(_, limit)| limit.burst).fold(0.0, f64::max);
        Limit { rate: tokens / window.as_secs_f64(), burst }
    }
}
