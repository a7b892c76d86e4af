//! The results of the requests of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use rosemarypond_core::outcome::{Outcome, Reason};

/// The longest time that the histograms distinguish, in microseconds.
const MAX_TIME_US: u64 = 600_000_000;

#[derive(Debug)]
pub struct Tally {
    /// Requests that were sent, including retries.
    pub sent: u64,
    pub offered: BTreeMap<u8, u64>,
    pub good: BTreeMap<u8, u64>,
    pub refused: BTreeMap<u8, u64>,
    pub reasons: BTreeMap<(u8, Outcome, Reason), u64>,
    pub prefill: u64,
    pub cut_prefill: u64,
    pub repeated_prefill: u64,
    pub first_token_us: Histogram<u64>,
    pub gap_us: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("the bounds are in order");
        Self {
            sent: 0,
            offered: BTreeMap::new(),
            good: BTreeMap::new(),
            refused: BTreeMap::new(),
            reasons: BTreeMap::new(),
            prefill: 0,
            cut_prefill: 0,
            repeated_prefill: 0,
            first_token_us: histogram(),
            gap_us: histogram(),
        }
    }
}

impl Tally {
    pub fn wasted(&self) -> u64 {
        self.cut_prefill + self.repeated_prefill
    }

    pub fn total(counts: &BTreeMap<u8, u64>) -> u64 {
        counts.values().sum()
    }

    /// The share of a tier's requests that got a complete answer in time.
    pub fn good_share(&self, rank: u8) -> f64 {
        let offered = self.offered.get(&rank).copied().unwrap_or(0);
        let good = self.good.get(&rank).copied().unwrap_or(0);
        if offered == 0 { 1.0 } else { good as f64 / offered as f64 }
    }

    pub fn record_first_token(&mut self, taken: Duration) {
        self.first_token_us.saturating_record(taken.as_micros() as u64);
    }

    pub fn record_gaps(&mut self, gap: Duration, count: u32) {
        self.gap_us.saturating_record_n(gap.as_micros() as u64, u64::from(count));
    }
}
