//! The speed of an upstream, estimated from its answers and by peers.

use std::time::Duration;

use crate::unit::Tokens;

/// The weight of a new observation in the moving average.
const LEARNING_RATE: f64 = 0.3;
/// The prompt length, in tokens, from which a first token has the full weight of
/// an observation; shorter prompts weigh proportionally less.
const FULL_WEIGHT_TOKENS: f64 = 2_000.0;
/// The part of the time to the first token that does not depend on the prompt.
const BASE_TIME: Duration = Duration::from_millis(20);
const DEFAULT_PREFILL_US: f64 = 30.0;
const DEFAULT_TOKEN_US: f64 = 3_500.0;
const DEFAULT_CALL_MS: f64 = 50.0;
/// How much each concurrent request slows a token, as a fraction of its time.
const SLOWDOWN_PER_REQUEST: f64 = 0.05;

/// The longest time that an estimate gives; what peers and callers state can be
/// anything.
const MAX_TIME: Duration = Duration::from_secs(3_600);

/// A time of at most [`MAX_TIME`]; none of it where it is no number.
fn time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0).min(MAX_TIME.as_secs_f64()))
}

/// The estimated speed of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Microseconds per prompt token.
    pub prefill_us: f64,
    /// Microseconds per answer token.
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
        let slowdown = 1.0 + SLOWDOWN_PER_REQUEST * f64::from(others);
        time(self.token_us * slowdown * f64::from(answer.0) / 1e6)
    }

    /// The time of a call that has no tokens.
    pub fn call_time(&self) -> Duration {
        time(self.call_ms / 1e3)
    }

    /// Updates the estimate with a first token that came after `work` prompt
    /// tokens.
    pub fn observe_first_token(&mut self, work: Tokens, taken: Duration) {
        let work = f64::from(work.0.max(1));
        let weight = self.weight() * (work / FULL_WEIGHT_TOKENS).min(1.0);
        let taken = taken.saturating_sub(BASE_TIME).as_secs_f64() * 1e6;
        self.prefill_us += weight * (taken / work - self.prefill_us);
        self.observations = self.observations.saturating_add(1);
    }

    /// Updates the estimate with the time between the first and the last token.
    pub fn observe_answer(&mut self, tokens: Tokens, taken: Duration) {
        if tokens.0 > 1 {
            let observed_us = taken.as_secs_f64() * 1e6 / f64::from(tokens.0);
            self.token_us += LEARNING_RATE * (observed_us - self.token_us);
        }
    }

    /// Updates the estimate with a call that has no tokens.
    pub fn observe_call(&mut self, taken: Duration) {
        let weight = self.weight();
        self.call_ms += weight * (taken.as_secs_f64() * 1e3 - self.call_ms);
        self.observations = self.observations.saturating_add(1);
    }

    /// Adopts the estimate of a peer that made more observations.
    pub fn merge(&mut self, other: &Pace) {
        if other.observations > self.observations {
            *self = Pace { observations: self.observations.max(other.observations / 2), ..*other };
        }
    }

    fn weight(&self) -> f64 {
        LEARNING_RATE.max(1.0 / f64::from(self.observations.saturating_add(1)))
    }
}
