//! What an instance has learnt about one service: how fast its tiers get
//! through, and how long the answers are.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::queue::Size;
use crate::unit::Tokens;

const ANSWER_LEARNING_RATE: f64 = 0.1;
const RATE_LEARNING_RATE: f64 = 0.004;
const DEFAULT_ANSWER_TOKENS: f64 = 128.0;
/// The lowest rate that a wait is foretold from, in requests a second.
const MIN_RATE: f64 = 0.005;
/// How long something has to have waited before a wait is foretold.
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

/// What is learnt about one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimates {
    answers: BTreeMap<Size, Answer>,
    tiers: BTreeMap<u8, Tier>,
}

impl Estimates {
    /// Learns from a whole answer.
    pub(super) fn learn_answer(&mut self, size: Size, tokens: Tokens) {
        let answer = self.answers.entry(size).or_default();
        let off = f64::from(tokens.0) - answer.mean;
        answer.mean += ANSWER_LEARNING_RATE * off;
        answer.deviation += ANSWER_LEARNING_RATE * (off.abs() - answer.deviation);
    }

    /// Notes that something of a tier came to wait.
    pub(super) fn waits(&mut self, rank: u8) {
        self.tiers.entry(rank).or_default();
    }

    /// Notes that a waiting request was let run.
    pub(super) fn started(&mut self, rank: u8) {
        self.tiers.entry(rank).or_default().started += 1.0;
    }

    /// Takes account of the time that went by.
    ///
    /// A rate is only learnt while something waits: an idle queue says
    /// nothing of how fast it would get through.
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

    /// The answer that a prompt of a size is likely to get.
    pub(super) fn answer(&self, size: Size) -> Tokens {
        Tokens(self.answers.get(&size).copied().unwrap_or_default().mean as u32)
    }

    /// An answer that is longer than most that a prompt of a size gets.
    pub(super) fn long_answer(&self, size: Size) -> Tokens {
        let answer = self.answers.get(&size).copied().unwrap_or_default();
        Tokens((answer.mean + answer.deviation) as u32)
    }

    /// How long the last of `count` waiting requests is likely to wait.
    ///
    /// None is foretold for as few as there are slots: they start soon when
    /// higher tiers let up, however slow the tier was until then.
    pub(super) fn expected_wait(&self, rank: u8, count: usize, slots: u32) -> Option<Duration> {
        let tier = self.tiers.get(&rank)?;
        if tier.observed < MIN_OBSERVED || count <= slots as usize {
            return None;
        }
        Some(Duration::from_secs_f64(count as f64 / tier.rate.max(MIN_RATE)))
    }
}
