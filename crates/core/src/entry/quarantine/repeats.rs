//! Tells which requests crash the upstreams that run them when they come again.
//!
//! A request is suspected by the crashes of upstreams that were running it, since it
//! was last answered. After two crashes one after the other it is held back for a
//! while, until most of the upstreams are back, and then tried once more: of requests
//! that were part of the same crashes one after the other. After the third it is
//! taken for the cause.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::crashes::{Answers, Crashes, Record};
use crate::id;

/// So many crashes one after the other make a request a suspect ...
const MIN_SUSPICIOUS_CRASHES: usize = 2;
/// ... and so many the cause.
const MIN_CRASHES: usize = 3;
/// How long a suspect is held back after its last crash.
const HOLD_TIME: Duration = Duration::from_secs(6);
/// The time between the trials of suspects that were part of the same crashes.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// How much later than another an instance may take an event for that it was told of.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// What the crashes speak against a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It crashes upstreams.
    Deadly,
    /// It may: it is tried again from then on.
    HeldUntil(Instant),
}

/// What is known of requests that come again.
#[derive(Debug, Default)]
pub struct Repeats {
    answered: Answers<id::Fingerprint>,
}

impl Repeats {
    /// Records that a request was answered; returns whether a crash no longer speaks
    /// against it.
    pub fn add_answered(
        &mut self,
        fingerprint: id::Fingerprint,
        at: Instant,
        crashes: &Crashes,
    ) -> bool {
        let is_needed = |fingerprint| crashes.iter().any(|r| r.has_request(fingerprint));
        let with_request = crashes.iter().filter(|r| r.has_request(fingerprint)).map(|r| r.at);
        self.answered.add(fingerprint, at, is_needed, with_request)
    }

    /// The requests that a crash spoke against and that were answered after it, since
    /// `from`.
    pub fn answered(&self, crashes: &Crashes, from: Instant) -> BTreeMap<id::Fingerprint, Instant> {
        let requests =
            crashes.iter().flat_map(|r| r.requests.iter().map(|q| (q.fingerprint, r.at)));
        let answered = requests.filter(|(request, at)| self.answered.is_after(*request, *at));
        let answered = answered.filter_map(|(request, _)| Some((request, self.last(request)?)));
        answered.filter(|(_, at)| *at >= from).collect()
    }

    /// When a request was last answered.
    pub fn last(&self, fingerprint: id::Fingerprint) -> Option<Instant> {
        self.answered.last(fingerprint)
    }

    /// The requests that more than one crash speaks against.
    pub fn verdicts(&self, crashes: &Crashes) -> BTreeMap<id::Fingerprint, Verdict> {
        let mut suspects = self.suspects(crashes);
        suspects.retain(|request, records| count(records, *request) >= MIN_SUSPICIOUS_CRASHES);
        let verdict = |(request, records): (&id::Fingerprint, &Vec<&Record>)| {
            if count(records, *request) >= MIN_CRASHES {
                return Some((*request, Verdict::Deadly));
            }
            let is_tried_before = |other: &&id::Fingerprint| {
                let common = records.iter().filter(|r| r.has_request(**other));
                *other < request && common.count() >= MIN_SUSPICIOUS_CRASHES
            };
            let before = suspects.keys().filter(is_tried_before).count();
            let held_until = records.last()?.at + HOLD_TIME + TRIAL_INTERVAL * before as u32;
            Some((*request, Verdict::HeldUntil(held_until)))
        };
        suspects.iter().filter_map(verdict).collect()
    }

    /// The crashes of each request since it was last answered.
    fn suspects<'a>(&self, crashes: &'a Crashes) -> BTreeMap<id::Fingerprint, Vec<&'a Record>> {
        let mut suspects: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for record in crashes.iter().filter(|r| !r.is_refuted) {
            let requests: BTreeSet<_> = record.requests.iter().map(|q| q.fingerprint).collect();
            for request in requests {
                if !self.answered.is_after(request, record.at) {
                    suspects.entry(request).or_default().push(record);
                }
            }
        }
        suspects
    }
}

/// How many crashes of a request happened one after the other: it was sent to the next
/// upstream after the one before had crashed. Others may have one cause.
fn count(records: &[&Record], fingerprint: id::Fingerprint) -> usize {
    let mut count = 0;
    let mut last: Option<Instant> = None;
    for record in records {
        let of_request = record.requests.iter().filter(|q| q.fingerprint == fingerprint);
        let Some(ran) = of_request.map(|q| q.ran).min() else { continue };
        let sent = record.at.checked_sub(ran).unwrap_or(record.at);
        if last.is_none_or(|last| sent + REPORT_DELAY >= last) {
            count += 1;
            last = Some(record.at);
        }
    }
    count
}
