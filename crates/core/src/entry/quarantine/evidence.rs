//! What speaks for and against each part of a prompt as the cause of crashes.
//!
//! A part is suspected by the crashes of upstreams that had just begun to answer it,
//! since it was last answered without a crash. What crashes upstreams otherwise is
//! told apart by how often prompts without the part end in a crash meanwhile.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::entry::gossip::{Answered, Crash};
use crate::id;

/// How long a crash counts.
const LIFETIME: Duration = Duration::from_secs(300);
/// The most crashes that are remembered.
const MAX_CRASHES: usize = 64;
/// The most prompts that are remembered of a crash.
const MAX_PROMPTS: usize = 8;
/// The most shared parts that are remembered of a prompt.
const MAX_PARTS: usize = 16;
/// Crashes within this time may have one common cause and count as one.
const MOMENT: Duration = Duration::from_millis(250);
/// A part that was part of fewer moments is not quarantined.
const MIN_MOMENTS: usize = 3;
/// A part that was never answered and is part of so many moments, with hardly another
/// moment among them, is quarantined.
const MIN_MOMENTS_OF_ALL: usize = 4;
/// Each moment without it has to be made up by so many with it.
const MIN_PRESENT_FOR_ABSENT: usize = 5;
/// How many parts are remembered as answered.
const MAX_ANSWERED: usize = 4_096;
/// How much likelier a part must be the cause of its crashes than chance.
const MIN_ODDS: f64 = 10_000.0;
/// How much likelier a part that was answered before is the cause than another one.
const ANSWERED_ODDS: f64 = 1e-3;
/// A prompt whose parts are this much likelier the cause is not sent to another
/// upstream after its connection was lost.
const SUSPICION_ODDS: f64 = 30.0;
/// How late instances may learn of one event after another.
const SKEW: Duration = Duration::from_millis(100);
/// An upstream that answers a request sent this long after its supposed crash ...
const REFUTATION_DELAY: Duration = Duration::from_millis(50);
/// ... and no later than this has not crashed; later it may have been restarted.
const REFUTATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A crash of an upstream.
#[derive(Debug)]
struct Record {
    upstream: id::Upstream,
    incarnation: u64,
    service: id::Service,
    at: Instant,
    /// The shared parts of the prompts that it was answering.
    prompts: Vec<Vec<id::Part>>,
    /// Whether the upstream was seen alive afterwards.
    is_refuted: bool,
    /// The complete answers of its service that were known then.
    answers_before: u64,
}

impl Record {
    fn has(&self, part: id::Part) -> bool {
        self.prompts.iter().any(|prompt| prompt.contains(&part))
    }

    fn has_all(&self, parts: &[id::Part]) -> bool {
        self.prompts.iter().any(|prompt| parts.iter().all(|part| prompt.contains(part)))
    }
}

/// The crashes and answers of the last minutes, over all instances.
#[derive(Debug, Default)]
pub struct Evidence {
    /// By the time at which they happened.
    records: Vec<Record>,
    /// When each part was last answered; none for parts of the records that were not.
    answered: HashMap<id::Part, Option<Instant>>,
    /// Complete answers by service.
    answers: HashMap<id::Service, u64>,
}

impl Evidence {
    /// Adds a crash, or what another instance knows of it; returns whether it
    /// changes anything.
    pub fn add_crash(&mut self, crash: Crash, now: Instant) -> bool {
        let at = now.checked_sub(crash.age).unwrap_or(now);
        if crash.age > LIFETIME {
            return false;
        }
        let is_same = |r: &Record| {
            r.upstream == crash.upstream
                && r.incarnation == crash.incarnation
                && at.saturating_duration_since(r.at) < REFUTATION_TIMEOUT
                && r.at.saturating_duration_since(at) < REFUTATION_TIMEOUT
        };
        let index = match self.records.iter().position(is_same) {
            Some(index) => index,
            None => self.insert(&crash, at),
        };
        let record = &mut self.records[index];
        let mut has_changed = crash.is_refuted && !record.is_refuted;
        record.is_refuted |= crash.is_refuted;
        for mut prompt in crash.prompts {
            prompt.truncate(MAX_PARTS);
            prompt.sort_unstable();
            prompt.dedup();
            let is_new = !prompt.is_empty() && !record.prompts.contains(&prompt);
            if is_new && record.prompts.len() < MAX_PROMPTS {
                for part in &prompt {
                    self.answered.entry(*part).or_default();
                }
                record.prompts.push(prompt);
                has_changed = true;
            }
        }
        has_changed
    }

    fn insert(&mut self, crash: &Crash, at: Instant) -> usize {
        if self.records.len() == MAX_CRASHES {
            self.records.remove(0);
        }
        let index = self.records.partition_point(|r| r.at <= at);
        let record = Record {
            upstream: crash.upstream.clone(),
            incarnation: crash.incarnation,
            service: crash.service.clone(),
            at,
            prompts: vec![],
            is_refuted: false,
            answers_before: self.answers_of(&crash.service),
        };
        self.records.insert(index, record);
        index
    }

    fn answers_of(&self, service: &id::Service) -> u64 {
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
    pub fn add_answered(&mut self, part: id::Part, at: Instant) -> bool {
        if self.answered.len() >= MAX_ANSWERED {
            self.forget_parts(at);
        }
        let answered = self.answered.entry(part).or_default();
        let before = answered.replace(answered.map_or(at, |known| known.max(at)));
        let is_cleared =
            |r: &Record| r.has(part) && r.at < at + SKEW && before.is_none_or(|b| b + SKEW < r.at);
        self.records.iter().any(is_cleared)
    }

    /// Records that an upstream answers a request that was `sent`; returns whether
    /// that refutes a crash.
    pub fn add_alive(
        &mut self,
        upstream: &id::Upstream,
        incarnation: u64,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let is_refuted = |r: &&mut Record| {
            r.upstream == *upstream
                && r.incarnation == incarnation
                && !r.is_refuted
                && sent > r.at + REFUTATION_DELAY
                && now < r.at + REFUTATION_TIMEOUT
        };
        let mut has_changed = false;
        for record in self.records.iter_mut().filter(is_refuted) {
            record.is_refuted = true;
            has_changed = true;
        }
        has_changed
    }

    /// Forgets crashes that were long ago.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|r| now.saturating_duration_since(r.at) < LIFETIME);
    }

    /// Forgets the parts that are not suspected, but for the half that was answered
    /// last.
    fn forget_parts(&mut self, now: Instant) {
        let age = |at: &Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        let mut ages: Vec<_> = self.answered.values().filter_map(age).collect();
        ages.sort_unstable();
        let oldest = ages.get(MAX_ANSWERED / 2).copied().unwrap_or_default();
        let records = &self.records;
        self.answered.retain(|part, at| {
            age(at).is_some_and(|age| age < oldest) || records.iter().any(|r| r.has(*part))
        });
    }

    /// The latest crashes, as far as they are not older than `age`.
    pub fn crashes(&self, age: Duration, now: Instant) -> impl Iterator<Item = Crash> {
        let is_fresh = move |r: &&Record| now.saturating_duration_since(r.at) < age;
        self.records.iter().rev().take_while(is_fresh).map(move |r| Crash {
            upstream: r.upstream.clone(),
            incarnation: r.incarnation,
            service: r.service.clone(),
            age: now.saturating_duration_since(r.at),
            prompts: r.prompts.clone(),
            is_refuted: r.is_refuted,
        })
    }

    /// The parts that crashes not older than `age` speak against, and answers since
    /// then for.
    pub fn answered(&self, age: Duration, now: Instant) -> impl Iterator<Item = Answered> {
        let fresh = self.records.iter().rev();
        let fresh = fresh.take_while(move |r| now.saturating_duration_since(r.at) < age);
        let parts: BTreeSet<_> =
            fresh.flat_map(|r| r.prompts.iter().flatten().map(|part| (*part, r.at))).collect();
        let answered = |(part, crashed): (id::Part, Instant)| {
            let at =
                self.answered.get(&part).copied().flatten().filter(|at| *at + SKEW > crashed)?;
            Some((part, at))
        };
        let answered: BTreeMap<_, _> = parts.into_iter().filter_map(answered).collect();
        answered
            .into_iter()
            .map(move |(part, at)| Answered { part, age: now.saturating_duration_since(at) })
    }

    /// When the last crash happened.
    pub fn newest(&self) -> Option<Instant> {
        self.records.last().map(|r| r.at)
    }

    /// The parts that are likely to be the cause of crashes, but not certain.
    pub fn find_suspect(&self) -> Option<Vec<id::Part>> {
        self.find(None, SUSPICION_ODDS, |_| false)
    }

    /// The parts that all prompts which crashed upstreams until `settled` have in
    /// common, if that can be told. What `is_known` already is left out with what it
    /// explains.
    pub fn find_cause(
        &self,
        settled: Instant,
        is_known: impl Fn(&[id::Part]) -> bool,
    ) -> Option<Vec<id::Part>> {
        self.find(Some(settled), MIN_ODDS, is_known)
    }

    fn find(
        &self,
        until: Option<Instant>,
        min_odds: f64,
        is_known: impl Fn(&[id::Part]) -> bool,
    ) -> Option<Vec<id::Part>> {
        let services: BTreeSet<_> = self.records.iter().map(|r| &r.service).collect();
        services.into_iter().find_map(|service| {
            let is_counted = |r: &&Record| {
                r.service == *service && !r.is_refuted && until.is_none_or(|at| r.at <= at)
            };
            let mut records: Vec<_> = self.records.iter().filter(is_counted).collect();
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
        let is_cause = |part, present: &[usize]| {
            let prior = if self.was_answered(part) { ANSWERED_ODDS } else { 1.0 };
            let odds = self.odds(part, present, &moments, answers).map(|odds| odds * prior);
            odds.is_some_and(|odds| odds >= min_odds)
                || self.is_in_nearly_all(part, present, &moments)
        };
        candidates.into_iter().find_map(|(part, present)| {
            is_cause(*part, present).then(|| self.with_companions(*part, &suspects, &moments))?
        })
    }

    /// Whether a part was ever answered, as far as that is remembered.
    fn was_answered(&self, part: id::Part) -> bool {
        self.answered.get(&part).is_some_and(Option::is_some)
    }

    /// Whether a part that was never answered is present in nearly all crashes for a while:
    /// where hardly anything is answered any more, this is all that can be told.
    fn is_in_nearly_all(
        &self,
        part: id::Part,
        present: &[usize],
        moments: &[Vec<&Record>],
    ) -> bool {
        let Some(first) = present.first() else { return false };
        let absent = moments.len() - first - present.len();
        !self.was_answered(part)
            && present.len() >= MIN_MOMENTS_OF_ALL
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
        let before = since.first()?.iter().map(|r| r.answers_before).min()?;
        let answers = answers.saturating_sub(before) as f64;
        let prompts = || since.iter().flatten().flat_map(|r| &r.prompts);
        let with_part = prompts().filter(|prompt| prompt.contains(&part)).count();
        let without = 1.0 - with_part as f64 / (prompts().count() as f64 + answers);
        let cause = present.len() as f64 / since.len() as f64;
        let mut odds = without.powf(answers).recip();
        for (index, moment) in since.iter().enumerate() {
            let prompts: usize = moment.iter().map(|r| r.prompts.len()).sum();
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
                let parts: BTreeSet<_> = record.prompts.iter().flatten().copied().collect();
                for part in parts {
                    let answered = self.answered.get(&part).copied().flatten();
                    if answered.is_none_or(|at| at + SKEW < record.at) {
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

/// Groups crashes by [`MOMENT`].
fn moments_of<'a>(records: &[&'a Record]) -> Vec<Vec<&'a Record>> {
    let mut moments: Vec<Vec<&Record>> = Vec::new();
    for record in records {
        match moments.last_mut() {
            Some(moment) if record.at.saturating_duration_since(moment[0].at) < MOMENT => {
                moment.push(record);
            }
            _ => moments.push(vec![record]),
        }
    }
    moments
}
