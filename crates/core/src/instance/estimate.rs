//! An instance's estimates for one service: the rate at which each tier's
//! requests start, and the length of answers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::queue::Size;
use crate::unit::Tokens;

const ANSWER_LEARNING_RATE: f64 = 0.1;
const RATE_LEARNING_RATE: f64 = 0.004;
const DEFAULT_ANSWER_TOKENS: f64 = 128.0;
/// The lowest rate that a wait is estimated from, in requests a second.
const MIN_RATE: f64 = 0.005;
/// How long requests of a tier must have been waiting before a wait is estimated.
const MIN_OBSERVED: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Answer {
    mean: f64,
    deviation: f64,
}

impl Default for Answer {
    fn default() -> Self {
        Self { mean: DEFAULT_ANSWER_TOKENS, deviation: 0.0 }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Tier {
    started: f64,
    rate: f64,
    observed: Duration,
}

/// The estimates for one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimates {
    answers: BTreeMap<Size, Answer>,
    tiers: BTreeMap<u8, Tier>,
}

impl Estimates {
    /// Records the length of a complete answer.
    pub(super) fn record_answer(&mut self, size: Size, tokens: Tokens) {
        let answer = self.answers.entry(size).or_default();
        let error = f64::from(tokens.0) - answer.mean;
        answer.mean += ANSWER_LEARNING_RATE * error;
        answer.deviation += ANSWER_LEARNING_RATE * (error.abs() - answer.deviation);
    }

    /// Starts to observe a tier whose request begins to wait.
    pub(super) fn add_tier(&mut self, rank: u8) {
        self.tiers.entry(rank).or_default();
    }

    /// Records that a waiting request was started.
    pub(super) fn record_start(&mut self, rank: u8) {
        self.tiers.entry(rank).or_default().started += 1.0;
    }

    /// Updates the rates after `interval`.
    ///
    /// The rate of a tier is only updated while its requests wait: an empty
    /// queue does not show how fast requests would start.
    pub(super) fn tick(&mut self, interval: Duration, waiting: impl Fn(u8) -> usize) {
        for (rank, tier) in &mut self.tiers {
            if waiting(*rank) == 0 {
                tier.started = 0.0;
                continue;
            }
            tier.observed += interval;
            let rate = tier.started / interval.as_secs_f64();
            tier.rate += RATE_LEARNING_RATE * (rate - tier.rate);
            tier.started = 0.0;
        }
    }

    /// The mean answer length for a prompt of a size.
    pub(super) fn mean_answer(&self, size: Size) -> Tokens {
        Tokens(self.answers.get(&size).copied().unwrap_or_default().mean as u32)
    }

    /// The mean answer length plus the mean deviation, which most answers to a
    /// prompt of a size stay below.
    pub(super) fn long_answer(&self, size: Size) -> Tokens {
        let answer = self.answers.get(&size).copied().unwrap_or_default();
        Tokens((answer.mean + answer.deviation) as u32)
    }

    /// The expected wait of the last of `count` waiting requests.
    ///
    /// There is no estimate for a `count` up to `slots`: these requests start
    /// soon once higher tiers need fewer slots, however slow the tier was before.
    pub(super) fn expected_wait(&self, rank: u8, count: usize, slots: u32) -> Option<Duration> {
        let tier = self.tiers.get(&rank)?;
        if tier.observed < MIN_OBSERVED || count <= slots as usize {
            return None;
        }
        Some(Duration::from_secs_f64(count as f64 / tier.rate.max(MIN_RATE)))
    }
}
