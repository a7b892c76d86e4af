//! How fast an upstream works, learnt from its answers and from peers.

use std::time::Duration;

use crate::unit::Tokens;

/// The weight of one observation.
const LEARNING_RATE: f64 = 0.3;
/// A prompt of this length says as much of the rate as one observation can.
const FULL_WEIGHT_TOKENS: f64 = 2_000.0;
/// The part of a first token's time that does not depend on the prompt.
const BASE: Duration = Duration::from_millis(20);
const DEFAULT_PREFILL_US: f64 = 30.0;
const DEFAULT_TOKEN_US: f64 = 3_500.0;
const DEFAULT_CALL_MS: f64 = 50.0;
/// How much each request beside it slows a token, as a part of its time.
const CROWDING: f64 = 0.05;

/// The learnt speed of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Microseconds for a prompt token.
    pub prefill_us: f64,
    /// Microseconds for an answer token.
    pub token_us: f64,
    /// Milliseconds for a call that has no tokens.
    pub call_ms: f64,
    /// How many observations it rests on.
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
    /// The time to the first token where `work` prompt tokens are processed.
    pub fn first_time(&self, work: Tokens) -> Duration {
        BASE + Duration::from_secs_f64(self.prefill_us * f64::from(work.0) / 1e6)
    }

    /// The time for an answer beside `others` further requests.
    pub fn answer_time(&self, answer: Tokens, others: u32) -> Duration {
        let crowding = 1.0 + CROWDING * f64::from(others);
        Duration::from_secs_f64(self.token_us * crowding * f64::from(answer.0) / 1e6)
    }

    /// Learns from a first token that came after `work` prompt tokens.
    pub fn learn_first(&mut self, work: Tokens, taken: Duration) {
        let work = f64::from(work.0.max(1));
        let weight = self.weight() * (work / FULL_WEIGHT_TOKENS).min(1.0);
        let taken = taken.saturating_sub(BASE).as_secs_f64() * 1e6;
        self.prefill_us += weight * (taken / work - self.prefill_us);
        self.observations = self.observations.saturating_add(1);
    }

    /// Learns from the time between the first and the last token.
    pub fn learn_answer(&mut self, tokens: Tokens, taken: Duration) {
        if tokens.0 > 1 {
            let seen = taken.as_secs_f64() * 1e6 / f64::from(tokens.0);
            self.token_us += LEARNING_RATE * (seen - self.token_us);
        }
    }

    /// Learns from a call that has no tokens.
    pub fn learn_call(&mut self, taken: Duration) {
        let weight = self.weight();
        self.call_ms += weight * (taken.as_secs_f64() * 1e3 - self.call_ms);
        self.observations = self.observations.saturating_add(1);
    }

    /// Takes over what a peer learnt, where it saw more.
    pub fn learn_from(&mut self, other: &Pace) {
        if other.observations > self.observations {
            *self = Pace { observations: self.observations.max(other.observations / 2), ..*other };
        }
    }

    fn weight(&self) -> f64 {
        LEARNING_RATE.max(1.0 / f64::from(self.observations + 1))
    }
}
