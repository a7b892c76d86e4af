//! Counts of a service's answers, by route and by the version that gave them.
//!
//! Load pattern: hundreds of instances, each of which sees a few answers of the new
//! version a second. Counts are sums since the order, so that those of all instances can
//! be added and a lost message delays them only.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;

/// The upper bound of the first interval of a [`Histogram`].
const FIRST_BOUND: Duration = Duration::from_micros(256);
/// The last interval of a [`Histogram`]; it has no upper bound.
const LAST_INTERVAL: u32 = 40;

/// Which engines answered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Side {
    /// Those of all other versions.
    Old,
    /// Those of the version to which traffic is moved.
    New,
}

/// Counts of times in intervals whose bounds grow by the square root of two.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Histogram(pub BTreeMap<u32, u64>);

impl Histogram {
    /// Counts a time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rosemarypond_core::entry::rollout::tally::Histogram;
    /// let mut times = Histogram::default();
    /// times.record(Duration::from_millis(100));
    /// times.record(Duration::from_millis(400));
    /// assert_eq!(times.total(), 2);
    /// let quantile = times.quantile(0.5).expect("it has times");
    /// assert_eq!(times.above(quantile), 1);
    /// assert_eq!(times.above(quantile + 4), 0);
    /// ```
    pub fn record(&mut self, time: Duration) {
        let ratio = time.as_secs_f64() / FIRST_BOUND.as_secs_f64();
        let interval = (ratio.max(1.0).log2() * 2.0).ceil() as u32;
        *self.0.entry(interval.min(LAST_INTERVAL)).or_default() += 1;
    }

    /// The number of times.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }

    /// The number of times in intervals after this one.
    pub fn above(&self, interval: u32) -> u64 {
        self.0.range(interval.saturating_add(1)..).map(|(_, count)| count).sum()
    }

    /// The first interval up to which this fraction of the times lies; none without times.
    pub fn quantile(&self, fraction: f64) -> Option<u32> {
        let rank = self.total() as f64 * fraction;
        let mut below = 0;
        let has_reached = |(_, count): &(&u32, &u64)| {
            below += **count;
            below as f64 >= rank
        };
        self.0.iter().find(has_reached).map(|(interval, _)| *interval)
    }

    fn combine(&mut self, other: &Histogram, change: impl Fn(u64, u64) -> u64) {
        for (interval, count) in &other.0 {
            let known = self.0.entry(*interval).or_default();
            *known = change(*known, *count);
        }
        self.0.retain(|_, count| *count > 0);
    }
}

/// The answers of one version to the requests of one route.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Attempts that ended with an answer or a failure.
    pub answers: u64,
    /// Those of them that failed.
    pub failures: u64,
    /// Times to the first byte or event.
    pub first: Histogram,
    /// Mean times between the events of an answer.
    pub pause: Histogram,
}

impl Counts {
    fn combine(&mut self, other: &Counts, change: impl Copy + Fn(u64, u64) -> u64) {
        self.answers = change(self.answers, other.answers);
        self.failures = change(self.failures, other.failures);
        self.first.combine(&other.first, change);
        self.pause.combine(&other.pause, change);
    }
}

/// The requests of a service since the order, and their answers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Requests that reached the service.
    pub requests: u64,
    /// Attempts that were sent to the new version.
    pub exposed: u64,
    /// Answers.
    pub counts: BTreeMap<(id::Route, Side), Counts>,
}

impl Tally {
    /// The answers of a version to the requests of a route.
    pub fn counts_mut(&mut self, route: id::Route, side: Side) -> &mut Counts {
        self.counts.entry((route, side)).or_default()
    }

    /// Adds the counts of another instance.
    pub fn add(&mut self, other: &Tally) {
        self.combine(other, u64::saturating_add);
    }

    /// The counts since `before`.
    pub fn since(&self, before: &Tally) -> Tally {
        let mut tally = self.clone();
        tally.combine(before, u64::saturating_sub);
        tally
    }

    fn combine(&mut self, other: &Tally, change: impl Copy + Fn(u64, u64) -> u64) {
        self.requests = change(self.requests, other.requests);
        self.exposed = change(self.exposed, other.exposed);
        for (key, counts) in &other.counts {
            self.counts.entry(*key).or_default().combine(counts, change);
        }
    }

    /// All answers of a version.
    pub fn answers(&self, side: Side) -> u64 {
        let of_side = self.counts.iter().filter(|((_, of), _)| *of == side);
        of_side.map(|(_, counts)| counts.answers).sum()
    }

    /// The routes that have counts.
    pub fn routes(&self) -> impl Iterator<Item = id::Route> {
        let routes: std::collections::BTreeSet<_> =
            self.counts.keys().map(|(route, _)| *route).collect();
        routes.into_iter()
    }

    /// The answers of a version to the requests of a route; empty where there are none.
    pub fn of(&self, route: id::Route, side: Side) -> Counts {
        self.counts.get(&(route, side)).cloned().unwrap_or_default()
    }
}
