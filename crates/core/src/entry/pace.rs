//! The lasting speed of an upstream, estimated from its answers and by peers.
//!
//! Load pattern: engines of one service whose speeds differ threefold, of which some are
//! slow for a moment at any time, and single first tokens that come late for another
//! reason, such as a queue in the engine. An observation is compared with what was
//! expected, and moves the estimate by a limited factor, so that neither counts as the
//! engine's lasting speed. How slow an engine is at the moment is the matter of
//! [`slowdown`](super::slowdown).

use std::time::Duration;

use crate::unit::Tokens;

/// The least weight of a new observation of a call or an answer.
const LEARNING_RATE: f64 = 0.3;
/// The same of a first token, which depends on more than the lasting speed.
const FIRST_TOKEN_LEARNING_RATE: f64 = 0.15;
/// The greatest factor by which an observation counts as faster or slower than expected.
const MAX_RATIO: f64 = 1.5;
/// The same for the first observations, as long as the speed is hardly known.
const MAX_FIRST_RATIO: f64 = 4.0;
/// How many observations are the first ones.
const FIRST_OBSERVATIONS: u32 = 3;
/// The part of the time to the first token that does not depend on the prompt.
const BASE_TIME: Duration = Duration::from_millis(20);
const DEFAULT_PREFILL_US: f64 = 30.0;
const DEFAULT_TOKEN_US: f64 = 5_500.0;
const DEFAULT_CALL_MS: f64 = 50.0;
/// How much each concurrent request slows a token, as a fraction of its time: 0.05 to
/// 0.15 ms on top of 4.6 to 6 ms.
const SLOWDOWN_PER_REQUEST: f64 = 0.02;
/// The bounds of an estimate, in its unit; what peers state can be anything.
const BOUNDS: (f64, f64) = (0.01, 1e7);

/// The longest time that an estimate gives; what peers and callers state can be
/// anything.
const MAX_TIME: Duration = Duration::from_secs(3_600);

/// A time of at most [`MAX_TIME`]; none of it where it is no number.
fn time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0).min(MAX_TIME.as_secs_f64()))
}

/// How much longer each token takes while `others` further requests run.
fn slowdown(others: u32) -> f64 {
    1.0 + SLOWDOWN_PER_REQUEST * f64::from(others)
}

/// An estimate moved by `weight` of the way towards one that is `ratio` times as large,
/// on a logarithmic scale; no ratio counts as larger than `most`.
fn shift(estimate: f64, ratio: f64, weight: f64, most: f64) -> f64 {
    // A ratio that is no number shifts nothing.
    let ratio = if ratio.is_nan() { 1.0 } else { ratio.clamp(1.0 / most, most) };
    let (least, greatest) = BOUNDS;
    (estimate * ratio.powf(weight)).clamp(least, greatest)
}

/// The estimated speed of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Microseconds per prompt token.
    pub prefill_us: f64,
    /// Microseconds per answer token of the only request that runs.
    pub token_us: f64,
    /// Milliseconds for a call that has no tokens.
    pub call_ms: f64,
    /// How many observations the estimate is made from.
    pub observations: u32,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            prefill_us: DEFAULT_PREFILL_US,
            token_us: DEFAULT_TOKEN_US,
            call_ms: DEFAULT_CALL_MS,
            observations: 0,
        }
    }
}

impl Pace {
    /// The time to the first token where `work` prompt tokens are processed
    /// before it.
    pub fn time_to_first_token(&self, work: Tokens) -> Duration {
        BASE_TIME + time(self.prefill_us * f64::from(work.0) / 1e6)
    }

    /// The time from the first token to the end of an answer, while `others`
    /// further requests run.
    pub fn answer_time(&self, answer: Tokens, others: u32) -> Duration {
        time(self.token_us * slowdown(others) * f64::from(answer.0) / 1e6)
    }

    /// The time of a call that has no tokens.
    pub fn call_time(&self) -> Duration {
        time(self.call_ms / 1e3)
    }

    /// Updates the estimate with a first token that came after `work` prompt
    /// tokens.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rosemarypond_core::entry::pace::Pace;
    /// use rosemarypond_core::unit::Tokens;
    /// let mut pace = Pace { observations: 10, ..Pace::default() };
    /// pace.observe_first_token(Tokens(1_000), Duration::from_secs(7));
    /// assert!(pace.time_to_first_token(Tokens(1_000)) < Duration::from_millis(60));
    /// ```
    pub fn observe_first_token(&mut self, work: Tokens, taken: Duration) {
        let expected = self.time_to_first_token(work).as_secs_f64();
        // Of a short prompt most of the time does not depend on the prompt.
        let part = 1.0 - BASE_TIME.as_secs_f64() / expected;
        let weight = self.weight(FIRST_TOKEN_LEARNING_RATE) * part;
        self.prefill_us =
            shift(self.prefill_us, taken.as_secs_f64() / expected, weight, self.max_ratio());
        self.count();
    }

    /// Updates the estimate with the time between the first and the last token, while
    /// `others` further requests ran.
    pub fn observe_answer(&mut self, tokens: Tokens, taken: Duration, others: u32) {
        if tokens.0 > 1 {
            let observed_us = taken.as_secs_f64() * 1e6 / f64::from(tokens.0 - 1);
            let ratio = observed_us / slowdown(others) / self.token_us;
            // The first token was counted.
            let weight = LEARNING_RATE.max(1.0 / f64::from(self.observations.max(1)));
            self.token_us = shift(self.token_us, ratio, weight, self.max_ratio());
        }
    }

    /// Updates the estimate with a call that has no tokens.
    pub fn observe_call(&mut self, taken: Duration) {
        let ratio = taken.as_secs_f64() * 1e3 / self.call_ms;
        self.call_ms = shift(self.call_ms, ratio, self.weight(LEARNING_RATE), self.max_ratio());
        self.count();
    }

    /// Adds the estimate of a peer, by the part that its observations are of both.
    pub fn merge(&mut self, other: &Pace) {
        if other.observations == 0 {
            return;
        }
        let total = f64::from(self.observations) + f64::from(other.observations);
        let most = self.max_ratio();
        let weight = f64::from(other.observations) / total;
        // What is known well follows a peer no faster than an observation of its own.
        let is_first = self.observations < FIRST_OBSERVATIONS;
        self.shift_towards(other, if is_first { weight } else { weight.min(LEARNING_RATE) }, most);
        self.observations = self.observations.max(other.observations);
    }

    /// Moves the estimate by `weight` of the way towards `typical`; what was observed
    /// counts for less from then on.
    pub fn drift(&mut self, typical: &Pace, weight: f64) {
        self.shift_towards(typical, weight, f64::MAX);
        let kept = f64::from(self.observations) * (1.0 - weight);
        self.observations = kept.ceil() as u32;
    }

    fn shift_towards(&mut self, other: &Pace, weight: f64, most: f64) {
        self.prefill_us = shift(self.prefill_us, other.prefill_us / self.prefill_us, weight, most);
        self.token_us = shift(self.token_us, other.token_us / self.token_us, weight, most);
        self.call_ms = shift(self.call_ms, other.call_ms / self.call_ms, weight, most);
    }

    /// The typical speed of several upstreams: the geometric mean, in which one that
    /// is misjudged counts for little.
    pub fn typical<'a>(paces: impl Iterator<Item = &'a Pace>) -> Option<Pace> {
        let (mut count, mut sums) = (0.0, [0.0; 3]);
        for pace in paces {
            count += 1.0;
            for (sum, part) in sums.iter_mut().zip([pace.prefill_us, pace.token_us, pace.call_ms]) {
                *sum += part.max(BOUNDS.0).ln();
            }
        }
        let [prefill_us, token_us, call_ms] = sums.map(|sum| (sum / count).exp());
        (count > 0.0).then_some(Pace { prefill_us, token_us, call_ms, observations: 0 })
    }

    fn count(&mut self) {
        self.observations = self.observations.saturating_add(1);
    }

    fn weight(&self, least: f64) -> f64 {
        least.max(1.0 / f64::from(self.observations.saturating_add(1)))
    }

    fn max_ratio(&self) -> f64 {
        if self.observations < FIRST_OBSERVATIONS { MAX_FIRST_RATIO } else { MAX_RATIO }
    }
}
