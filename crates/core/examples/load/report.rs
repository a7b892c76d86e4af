//! The results of runs, as a text table and as JSON.

use std::fmt::Write as _;

use rosemarypond_core::engine::Sharing;
use serde_json::{Value, json};

use crate::scenario::Options;
use crate::support::balancer::Choice;
use crate::support::tally::Tally;
use crate::support::world::Policy;
use crate::workload::DEADLINES_S;

pub struct Run {
    pub seed: u64,
    pub tallies: Vec<(&'static str, Tally)>,
}

pub fn policies(sharing: bool) -> Vec<(&'static str, Policy)> {
    if sharing {
        return vec![
            ("lent", Policy::Scheduler(Sharing::Lent)),
            ("split", Policy::Scheduler(Sharing::Split)),
            ("owned", Policy::Scheduler(Sharing::Owned)),
            ("independent", Policy::Scheduler(Sharing::Independent)),
        ];
    }
    vec![
        ("rosemarypond", Policy::Scheduler(Sharing::Lent)),
        ("round-robin", Policy::Baseline(Choice::RoundRobin)),
        ("least-outstanding", Policy::Baseline(Choice::LeastOutstanding)),
        ("all-knowing", Policy::Oracle),
    ]
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

fn median_and_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (first, middle, last) = (values[0], values[values.len() / 2], values[values.len() - 1]);
    format!("{:6.2} [{:6.2} {:6.2}]", middle * 100.0, first * 100.0, last * 100.0)
}

/// A table with the median and the range over the seeds, in percent.
pub fn text(options: &Options, runs: &[Run]) -> String {
    let mut text = format!(
        "{} at {}: load {:.0} % of {:.2} requests/s, {} s, seeds {}..={}\n",
        options.name,
        options.site,
        options.load * 100.0,
        options.capacity(),
        options.seconds,
        runs[0].seed,
        runs[runs.len() - 1].seed,
    );
    text.push_str("policy             good of tier 0          tier 1                  tier 2");
    text.push_str(
        "                  all                     wasted prefill          first 50/95/99 % s\n",
    );
    for index in 0..runs[0].tallies.len() {
        let (name, _) = runs[0].tallies[index];
        let column = |figure: &dyn Fn(&Tally) -> f64| {
            median_and_range(runs.iter().map(|run| figure(&run.tallies[index].1)).collect())
        };
        write!(text, "{name:18}").expect("writing to a string cannot fail");
        for rank in 0..DEADLINES_S.len() as u8 {
            write!(text, " {}", column(&|t| t.good_share(rank)))
                .expect("writing to a string cannot fail");
        }
        let all = column(&|t| share(Tally::total(&t.good), Tally::total(&t.offered)));
        let wasted = column(&|t| share(t.wasted(), t.prefill));
        let first = &runs[runs.len() / 2].tallies[index].1.first_token_us;
        let at = |q| first.value_at_quantile(q) as f64 / 1e6;
        writeln!(text, " {all} {wasted} {:.2}/{:.2}/{:.2}", at(0.5), at(0.95), at(0.99))
            .expect("writing to a string cannot fail");
    }
    text
}

/// One JSON object for each seed, each on its own line.
pub fn json(options: &Options, runs: &[Run]) -> String {
    let lines = runs.iter().map(|run| {
        let policies: Vec<_> = run.tallies.iter().map(|(name, t)| policy(name, t)).collect();
        json!({
            "scenario": options.name,
            "site": options.site,
            "load": options.load,
            "capacity_per_s": options.capacity(),
            "seconds": options.seconds,
            "seed": run.seed,
            "policies": policies,
        })
        .to_string()
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn policy(name: &str, tally: &Tally) -> Value {
    let tier = |rank: u8| {
        let count =
            |counts: &std::collections::BTreeMap<u8, u64>| counts.get(&rank).copied().unwrap_or(0);
        json!({
            "tier": rank,
            "offered": count(&tally.offered),
            "good": count(&tally.good),
            "refused": count(&tally.refused),
        })
    };
    let quantiles = |h: &hdrhistogram::Histogram<u64>| {
        json!([h.value_at_quantile(0.5), h.value_at_quantile(0.95), h.value_at_quantile(0.99)])
    };
    let reasons: Vec<_> = tally
        .reasons
        .iter()
        .map(|((rank, outcome, reason), count)| {
            json!({ "tier": rank, "outcome": outcome.as_str(), "reason": reason.as_str(), "count": count })
        })
        .collect();
    json!({
        "name": name,
        "tiers": (0..DEADLINES_S.len() as u8).map(tier).collect::<Vec<_>>(),
        "tries": tally.sent,
        "prefill_tokens": tally.prefill,
        "wasted_prefill_tokens": tally.wasted(),
        "cut_prefill_tokens": tally.cut_prefill,
        "repeated_prefill_tokens": tally.repeated_prefill,
        "first_token_us": quantiles(&tally.first_token_us),
        "between_tokens_us": quantiles(&tally.gap_us),
        "refusals": reasons,
    })
}
