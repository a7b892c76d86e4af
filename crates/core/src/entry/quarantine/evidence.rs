//! What speaks for and against each part of a prompt as the cause of crashes.
//!
//! A part is suspected by the crashes of upstreams that had just begun to answer it,
//! since it was last answered without a crash. What crashes upstreams otherwise is
//! told apart by how often prompts without the part end in a crash meanwhile.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Instant;

use super::crashes::{Answers, Crashes, Record, moments_of};
use crate::id;

/// A part that was part of fewer moments is not quarantined.
const MIN_MOMENTS: usize = 3;
/// A part that was never answered and is part of so many moments, with hardly another
/// moment among them, is quarantined.
const MIN_MOMENTS_OF_ALL: usize = 4;
/// Each moment without it has to be made up by so many with it.
const MIN_PRESENT_FOR_ABSENT: usize = 5;
/// Where more is answered to a moment, the odds tell.
const MAX_ANSWERS_PER_MOMENT: f64 = 15.0;
/// How much likelier a part must be the cause of its crashes than chance.
const MIN_ODDS: f64 = 10_000.0;
/// How much likelier a part that was answered before is the cause than another one.
const ANSWERED_ODDS: f64 = 1e-3;
/// A prompt whose parts are this much likelier the cause is not sent to another
/// upstream after its connection was lost.
const SUSPICION_ODDS: f64 = 30.0;

/// What is known of the parts of prompts.
#[derive(Debug, Default)]
pub struct Evidence {
    /// When each part was last answered.
    answered: Answers<id::Part>,
    /// Complete answers by service.
    answers: HashMap<id::Service, u64>,
}

impl Evidence {
    /// The complete answers of a service.
    pub fn answers_of(&self, service: &id::Service) -> u64 {
        self.answers.get(service).copied().unwrap_or_default()
    }

    /// Counts complete answers of a service.
    pub fn count_answers(&mut self, service: &id::Service, count: u64) {
        let answers = self.answers.entry(service.clone()).or_default();
        *answers = answers.saturating_add(count);
    }

    /// Records that a prompt with a part was answered, or was being answered for a
    /// while when its upstream crashed; returns whether a crash no longer speaks
    /// against the part.
    pub fn add_answered(&mut self, part: id::Part, at: Instant, crashes: &Crashes) -> bool {
        let is_needed = |part| crashes.iter().any(|r| r.has(part));
        let with_part = crashes.iter().filter(|r| r.has(part)).map(|r| r.at);
        self.answered.add(part, at, is_needed, with_part)
    }

    /// The parts that `crashes` speak against, and answers since then for.
    pub fn answered<'a>(
        &self,
        crashes: impl Iterator<Item = &'a Record>,
    ) -> BTreeMap<id::Part, Instant> {
        let parts =
            crashes.flat_map(|r| r.requests.iter().flat_map(|q| &q.parts).map(|p| (*p, r.at)));
        let answered = parts.filter(|(part, crash)| self.answered.is_after(*part, *crash));
        answered.filter_map(|(part, _)| Some((part, self.answered.last(part)?))).collect()
    }

    /// The parts that are likely to be the cause of crashes, but not certain.
    pub fn find_suspect(&self, crashes: &Crashes) -> Option<Vec<id::Part>> {
        self.find(crashes, None, SUSPICION_ODDS, |_| false)
    }

    /// The parts that all prompts which crashed upstreams until `settled` have in
    /// common, if that can be told. What `is_known` already is left out with what it
    /// explains.
    pub fn find_cause(
        &self,
        crashes: &Crashes,
        settled: Instant,
        is_known: impl Fn(&[id::Part]) -> bool,
    ) -> Option<Vec<id::Part>> {
        self.find(crashes, Some(settled), MIN_ODDS, is_known)
    }

    fn find(
        &self,
        crashes: &Crashes,
        until: Option<Instant>,
        min_odds: f64,
        is_known: impl Fn(&[id::Part]) -> bool,
    ) -> Option<Vec<id::Part>> {
        let services: BTreeSet<_> = crashes.iter().map(|r| &r.service).collect();
        services.into_iter().find_map(|service| {
            let is_counted = |r: &&Record| {
                r.service == *service && !r.is_refuted && until.is_none_or(|at| r.at <= at)
            };
            let mut records = without_repetitions(crashes.iter().filter(is_counted));
            loop {
                let cause = self.cause_of(&records, self.answers_of(service), min_odds)?;
                if !is_known(&cause) {
                    return Some(cause);
                }
                records.retain(|r| !r.has_all(&cause));
            }
        })
    }

    fn cause_of(&self, records: &[&Record], answers: u64, min_odds: f64) -> Option<Vec<id::Part>> {
        let moments = moments_of(records);
        let suspects = self.suspects(&moments);
        let mut candidates: Vec<_> =
            suspects.iter().filter(|(_, present)| present.len() >= MIN_MOMENTS).collect();
        // A part that was answered before is a less likely cause.
        candidates.sort_by_key(|(part, present)| {
            (self.was_answered(**part), Reverse(present.len()), **part)
        });
        // The more parts are tried, the likelier one of them is met by chance.
        let parts = records.iter().flat_map(|r| &r.requests).flat_map(|request| &request.parts);
        let min_odds = min_odds * parts.collect::<BTreeSet<_>>().len() as f64;
        let is_cause = |part, present: &[usize]| {
            let prior = if self.was_answered(part) { ANSWERED_ODDS } else { 1.0 };
            let odds = self.odds(part, present, &moments, answers).map(|odds| odds * prior);
            odds.is_some_and(|odds| odds >= min_odds)
                || self.is_in_nearly_all(part, present, &moments, answers)
        };
        candidates.into_iter().find_map(|(part, present)| {
            is_cause(*part, present).then(|| self.with_companions(*part, &suspects, &moments))?
        })
    }

    /// Whether a part was ever answered, as far as that is remembered.
    fn was_answered(&self, part: id::Part) -> bool {
        self.answered.last(part).is_some()
    }

    /// Whether a part that was never answered is present in nearly all crashes for a while:
    /// where hardly anything is answered any more, this is all that can be told.
    fn is_in_nearly_all(
        &self,
        part: id::Part,
        present: &[usize],
        moments: &[Vec<&Record>],
        answers: u64,
    ) -> bool {
        let Some(first) = present.first() else { return false };
        let answers = answers_since(&moments[*first], answers);
        let absent = moments.len() - first - present.len();
        !self.was_answered(part)
            && present.len() >= MIN_MOMENTS_OF_ALL
            && answers <= MAX_ANSWERS_PER_MOMENT * present.len() as f64
            && absent * MIN_PRESENT_FOR_ABSENT <= present.len()
    }

    /// A part with those that are present in the same prompts; none if another part
    /// explains the crashes as well.
    fn with_companions(
        &self,
        first: id::Part,
        suspects: &BTreeMap<id::Part, Vec<usize>>,
        moments: &[Vec<&Record>],
    ) -> Option<Vec<id::Part>> {
        let present = suspects.get(&first)?;
        let mut cause = vec![first];
        for (part, theirs) in suspects.iter().filter(|(part, _)| **part != first) {
            let common = theirs.iter().filter(|moment| present.contains(moment)).count();
            if common + 1 < present.len() {
                continue;
            }
            let is_together = |r: &&Record| !r.has(*part) || r.has_all(&[first, *part]);
            let are_together = theirs.iter().all(|m| moments[*m].iter().all(&is_together));
            if !are_together && self.was_answered(first) >= self.was_answered(*part) {
                return None;
            }
            // Parts that no prompt has together are not one cause.
            let together: Vec<_> = cause.iter().chain([part]).copied().collect();
            if are_together && moments.iter().flatten().any(|r| r.has_all(&together)) {
                cause = together;
            }
        }
        cause.sort_unstable();
        Some(cause)
    }

    /// How much likelier it is that a part causes the crashes of the moments
    /// `present` than that its prompts meet them by chance.
    ///
    /// By chance each prompt, answered or not, has the part with the same
    /// probability. If the part is a cause, no prompt with it is answered, and it is
    /// the cause of as many moments as it is present in.
    fn odds(
        &self,
        part: id::Part,
        present: &[usize],
        moments: &[Vec<&Record>],
        answers: u64,
    ) -> Option<f64> {
        let first = *present.first()?;
        let since = &moments[first..];
        let answers = answers_since(since.first()?, answers);
        let prompts = || since.iter().flatten().flat_map(|r| &r.requests);
        let with_part = prompts().filter(|prompt| prompt.parts.contains(&part)).count();
        let without = 1.0 - with_part as f64 / (prompts().count() as f64 + answers);
        let cause = present.len() as f64 / since.len() as f64;
        let mut odds = without.powf(answers).recip();
        for (index, moment) in since.iter().enumerate() {
            let prompts: usize = moment.iter().map(|r| r.requests.len()).sum();
            let absent = without.powi(prompts as i32);
            let is_present = present.contains(&(first + index));
            odds *= if is_present { cause / (1.0 - absent) } else { (1.0 - cause) / absent };
        }
        Some(odds)
    }

    /// The moments of each part, as far as most of the upstreams that crashed in
    /// them were answering it, and it was not answered completely since.
    fn suspects(&self, moments: &[Vec<&Record>]) -> BTreeMap<id::Part, Vec<usize>> {
        let mut suspects: BTreeMap<_, Vec<usize>> = BTreeMap::new();
        for (index, moment) in moments.iter().enumerate() {
            let mut counts: HashMap<id::Part, usize> = HashMap::new();
            for record in moment {
                let parts = record.requests.iter().flat_map(|request| &request.parts);
                for part in parts.copied().collect::<BTreeSet<_>>() {
                    if !self.answered.is_after(part, record.at) {
                        *counts.entry(part).or_default() += 1;
                    }
                }
            }
            for (part, _) in counts.into_iter().filter(|(_, count)| count * 2 > moment.len()) {
                suspects.entry(part).or_default().push(index);
            }
        }
        suspects
    }
}

/// How many of the `answers` of a service came after a moment.
fn answers_since(moment: &[&Record], answers: u64) -> f64 {
    let before = moment.iter().map(|r| r.answers_before).min().unwrap_or_default();
    answers.saturating_sub(before) as f64
}

/// Leaves out the crashes in which only requests were lost that were lost before: if
/// one request crashes upstreams again and again, that tells nothing of its parts.
fn without_repetitions<'a>(records: impl Iterator<Item = &'a Record>) -> Vec<&'a Record> {
    let mut known = HashSet::new();
    let has_news = |record: &&Record| {
        let new = record.requests.iter().filter(|request| known.insert(request.fingerprint));
        new.count() > 0 || record.requests.is_empty()
    };
    records.filter(has_news).collect()
}
