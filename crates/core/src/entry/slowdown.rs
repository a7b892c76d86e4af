//! How slow an upstream is at the moment, as a factor of its lasting times.
//!
//! Load pattern: at any time 15 of 100 engines are 2.5 times slower for 0.6 s. The factor
//! follows the newest first tokens, and the wait for those that are overdue, and
//! passes by itself within about a second. Instances tell each other the newest
//! observation, so that a few requests of each suffice.

use std::time::{Duration, Instant};

/// The weight of a new observation.
const WEIGHT: f64 = 0.7;
/// The largest factor; one late first token proves no more.
const MAX_FACTOR: f64 = 4.0;
/// The time in which the factor halves without new observations.
const HALF_LIFE: Duration = Duration::from_millis(300);
/// For how long an upstream is expected to stay slow.
const REMAINING: Duration = Duration::from_millis(400);
/// Factors up to this one are within the spread of usual times.
const MIN_FACTOR: f64 = 1.2;
/// An observation that a peer states in each of its messages until there is a newer one
/// is taken for the same within this time, by which messages are late.
const JITTER: Duration = Duration::from_millis(50);

/// What an instance tells its peers of an upstream's newest observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The factor at the time of the observation, from 1 on.
    pub factor: f64,
    /// How long ago that was.
    pub age: Duration,
}

/// How slow an upstream is at the moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowdown {
    newest: Option<(Instant, f64)>,
}

impl Slowdown {
    /// The factor by which times are longer than usual.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use rosemarypond_core::entry::slowdown::Slowdown;
    /// let now = Instant::now();
    /// let usual = Duration::from_millis(100);
    /// let mut slowdown = Slowdown::default();
    /// slowdown.observe(usual, usual * 3, now);
    /// slowdown.observe(usual, usual * 3, now);
    /// assert!(slowdown.factor(now) > 2.5);
    /// assert!(slowdown.factor(now + Duration::from_secs(1)) < 1.25);
    /// ```
    pub fn factor(&self, now: Instant) -> f64 {
        let Some((at, factor)) = self.newest.filter(|(_, factor)| *factor > 1.0) else {
            return 1.0;
        };
        let halvings = now.saturating_duration_since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (factor - 1.0) * 0.5f64.powf(halvings)
    }

    /// Records a time that came of an `expected` one.
    pub fn observe(&mut self, expected: Duration, taken: Duration, now: Instant) {
        let before = self.factor(now);
        let factor = before + WEIGHT * (ratio(expected, taken) - before);
        self.newest = Some((now, factor));
    }

    /// Records a factor that a peer observed; returns whether that is newer than what
    /// was known.
    pub fn receive(&mut self, observation: Observation, now: Instant) -> bool {
        let Some(at) = now.checked_sub(observation.age) else { return false };
        let is_news = self.newest.is_none_or(|(known, _)| at > known + JITTER);
        if is_news {
            let factor = observation.factor.clamp(1.0, MAX_FACTOR);
            self.newest = Some((at, factor));
        }
        is_news
    }

    /// What peers have to know.
    pub fn observation(&self, now: Instant) -> Option<Observation> {
        let age = |at| now.saturating_duration_since(at);
        self.newest.map(|(at, factor)| Observation { factor, age: age(at) })
    }

    /// When it was last observed, by any instance.
    pub fn observed_at(&self) -> Option<Instant> {
        self.newest.map(|(at, _)| at)
    }
}

/// How many times longer than expected a time was, between 1 and [`MAX_FACTOR`].
pub fn ratio(expected: Duration, taken: Duration) -> f64 {
    let ratio = taken.as_secs_f64() / expected.as_secs_f64().max(1e-3);
    if ratio <= MIN_FACTOR { 1.0 } else { ratio.min(MAX_FACTOR) }
}

/// The time that a usual one takes on an upstream that is slow by `factor` at the
/// moment: longer by the factor while it is slow, and as usual after that.
pub fn stretch(usual: Duration, factor: f64) -> Duration {
    if factor <= 1.0 {
        return usual;
    }
    usual + usual.mul_f64(factor - 1.0).min(REMAINING.mul_f64(1.0 - 1.0 / factor))
}
