//! Whether a new version is worse than the old one.
//!
//! Load pattern: requests of several routes, of which some fail or become several times
//! slower at the new version, while load and slow machines delay both versions. Each
//! route's answers are compared with those of the old version over the same time, so that
//! what both suffer speaks against neither.

use super::tally::{Counts, Histogram, Side, Tally};

/// The chance of a wrong proof in one comparison, as a natural logarithm: 1 in 160,000.
/// Each tick makes several comparisons of counts that hardly differ from those before.
const PROOF: f64 = 12.0;
/// The part of failures that is tolerated besides those of the old version.
const TOLERATED_FAILURES: f64 = 0.02;
/// The part of slow answers that is tolerated besides those of the old version.
const TOLERATED_SLOW: f64 = 0.06;
/// By how much the old version's rate may be exceeded, as it is known by a sample only.
const TOLERATED_RATIO: f64 = 1.25;
/// A rate that is known by fewer answers than this is taken to be higher.
const PRIOR_ANSWERS: f64 = 10.0;
/// An answer is slow that takes longer than this part of the old version's ...
const SLOW_QUANTILE: f64 = 0.95;
/// ... by so many intervals, a factor of two: versions several times slower exceed it.
const SLOW_INTERVALS: u32 = 2;
/// The old version's times are not known by fewer than this.
const MIN_OLD_TIMES: u64 = 20;
/// So many answers of the new version are enough to go on ...
const ENOUGH_ANSWERS: u64 = 30;
/// ... with so many for each route that has ...
const ENOUGH_OF_ROUTE: u64 = 5;
/// ... at least this part of the old version's answers.
const ROUTE_PART: f64 = 0.1;

/// Whether the answers prove that the new version is bad on a route.
///
/// ```
/// use rosemarypond_core::entry::rollout::tally::{Side, Tally};
/// use rosemarypond_core::entry::rollout::verdict::is_bad;
/// use rosemarypond_core::id::Route;
/// let mut tally = Tally::default();
/// tally.counts_mut(Route(1), Side::Old).answers = 400;
/// tally.counts_mut(Route(1), Side::New).answers = 40;
/// assert!(!is_bad(&tally));
/// tally.counts_mut(Route(1), Side::New).failures = 15;
/// assert!(is_bad(&tally));
/// // The old version fails as often.
/// tally.counts_mut(Route(1), Side::Old).failures = 150;
/// assert!(!is_bad(&tally));
/// ```
pub fn is_bad(tally: &Tally) -> bool {
    tally.routes().any(|route| is_worse(&tally.of(route, Side::Old), &tally.of(route, Side::New)))
}

/// The same for what was counted since `before`; where the old version has answered too
/// little since then, all that is known of it counts.
pub fn is_bad_since(tally: &Tally, before: &Tally) -> bool {
    let recent = tally.since(before);
    recent.routes().any(|route| {
        let old = recent.of(route, Side::Old);
        let is_known = old.answers >= MIN_OLD_TIMES && old.first.total() >= MIN_OLD_TIMES;
        let old = if is_known { old } else { tally.of(route, Side::Old) };
        is_worse(&old, &recent.of(route, Side::New))
    })
}

/// Whether the new version has answered enough on each route to go on.
pub fn is_enough(tally: &Tally) -> bool {
    let old = tally.answers(Side::Old) as f64;
    let is_covered = |route| {
        let is_minor = (tally.of(route, Side::Old).answers as f64) < old * ROUTE_PART;
        is_minor || tally.of(route, Side::New).answers >= ENOUGH_OF_ROUTE
    };
    tally.answers(Side::New) >= ENOUGH_ANSWERS && tally.routes().all(is_covered)
}

fn is_worse(old: &Counts, new: &Counts) -> bool {
    let failures = rate(old.failures, old.answers, TOLERATED_FAILURES);
    exceeds(new.failures, new.answers, failures)
        || is_slower(&old.first, &new.first)
        || is_slower(&old.pause, &new.pause)
}

fn is_slower(old: &Histogram, new: &Histogram) -> bool {
    let Some(quantile) = old.quantile(SLOW_QUANTILE) else { return false };
    let limit = quantile + SLOW_INTERVALS;
    let slow = rate(old.above(limit), old.total(), TOLERATED_SLOW);
    old.total() >= MIN_OLD_TIMES && exceeds(new.above(limit), new.total(), slow)
}

/// The highest rate that does not speak against the new version.
fn rate(count: u64, total: u64, tolerated: f64) -> f64 {
    let known = (count as f64 + 0.5) / (total as f64 + PRIOR_ANSWERS);
    (known * TOLERATED_RATIO + tolerated).min(1.0)
}

/// Whether `count` of `total` proves a rate above `limit`, by Chernoff's bound.
fn exceeds(count: u64, total: u64, limit: f64) -> bool {
    let found = count as f64 / total.max(1) as f64;
    if found <= limit || limit >= 1.0 {
        return false;
    }
    let part = |p: f64, q: f64| if p > 0.0 { p * (p / q).ln() } else { 0.0 };
    let divergence = part(found, limit) + part(1.0 - found, 1.0 - limit);
    total as f64 * divergence >= PROOF
}
