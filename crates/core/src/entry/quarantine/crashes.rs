//! The crashes of upstreams in the last minutes, over all instances.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::entry::gossip::{Crash, Lost};
use crate::id;

/// How long a crash counts.
const LIFETIME: Duration = Duration::from_secs(300);
/// The most crashes that are remembered.
const MAX_CRASHES: usize = 64;
/// The most requests that are remembered of a crash.
const MAX_REQUESTS: usize = 16;
/// The most shared parts that are remembered of a request.
const MAX_PARTS: usize = 16;
/// Crashes within this time may have one common cause and count as one.
const MOMENT: Duration = Duration::from_millis(250);
/// How many keys are remembered as answered.
const MAX_ANSWERED: usize = 4_096;
/// How late instances may learn of one event after another.
const SKEW: Duration = Duration::from_millis(100);
/// An upstream that answers a request sent this long after its supposed crash ...
const REFUTATION_DELAY: Duration = Duration::from_millis(50);
/// ... and no later than this has not crashed; later it may have been restarted.
pub const REFUTATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A crash of an upstream.
#[derive(Debug)]
pub struct Record {
    pub upstream: id::Upstream,
    pub incarnation: u64,
    pub service: id::Service,
    pub at: Instant,
    /// The requests that it was answering.
    pub requests: Vec<Lost>,
    /// Whether the upstream was seen alive afterwards.
    pub is_refuted: bool,
    /// The complete answers of its service that were known then.
    pub answers_before: u64,
}

impl Record {
    /// Whether it was answering a prompt with a part.
    pub fn has(&self, part: id::Part) -> bool {
        self.requests.iter().any(|request| request.parts.contains(&part))
    }

    /// Whether it was answering a prompt with all of these parts.
    pub fn has_all(&self, parts: &[id::Part]) -> bool {
        self.requests.iter().any(|request| parts.iter().all(|part| request.parts.contains(part)))
    }

    /// Whether it was answering a request.
    pub fn has_request(&self, fingerprint: id::Fingerprint) -> bool {
        self.requests.iter().any(|request| request.fingerprint == fingerprint)
    }

    fn add(&mut self, mut request: Lost) -> bool {
        request.parts.truncate(MAX_PARTS);
        request.parts.sort_unstable();
        request.parts.dedup();
        let is_new = !self.requests.contains(&request) && self.requests.len() < MAX_REQUESTS;
        if is_new {
            self.requests.push(request);
        }
        is_new
    }
}

/// The crashes, by the time at which they happened.
#[derive(Debug, Default)]
pub struct Crashes(Vec<Record>);

impl Crashes {
    /// Adds a crash, or what another instance knows of it; `answers` are the complete
    /// answers of its service. Returns whether it changes anything.
    pub fn add(&mut self, crash: Crash, answers: u64, now: Instant) -> bool {
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
        let index = match self.0.iter().position(is_same) {
            Some(index) => index,
            None => self.insert(&crash, at, answers),
        };
        let record = &mut self.0[index];
        let mut has_changed = crash.is_refuted && !record.is_refuted;
        record.is_refuted |= crash.is_refuted;
        for request in crash.requests {
            has_changed |= record.add(request);
        }
        has_changed
    }

    fn insert(&mut self, crash: &Crash, at: Instant, answers_before: u64) -> usize {
        if self.0.len() == MAX_CRASHES {
            let refuted = self.0.iter().position(|r| r.is_refuted);
            self.0.remove(refuted.unwrap_or_default());
        }
        let index = self.0.partition_point(|r| r.at <= at);
        let record = Record {
            upstream: crash.upstream.clone(),
            incarnation: crash.incarnation,
            service: crash.service.clone(),
            at,
            requests: vec![],
            is_refuted: false,
            answers_before,
        };
        self.0.insert(index, record);
        index
    }

    /// Records that an upstream answers a request that was `sent`; returns whether
    /// that refutes a crash.
    pub fn refute(
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
        for record in self.0.iter_mut().filter(is_refuted) {
            record.is_refuted = true;
            has_changed = true;
        }
        has_changed
    }

    /// Forgets crashes that were long ago.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|r| now.saturating_duration_since(r.at) < LIFETIME);
    }

    /// All crashes, the oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Record> {
        self.0.iter()
    }

    /// The crashes that are not older than `age`, the newest first.
    pub fn latest(&self, age: Duration, now: Instant) -> impl Iterator<Item = &Record> {
        self.0.iter().rev().take_while(move |r| now.saturating_duration_since(r.at) < age)
    }

    /// When the last crash happened.
    pub fn newest(&self) -> Option<Instant> {
        self.0.last().map(|r| r.at)
    }
}

/// Groups crashes, the oldest first, by [`MOMENT`].
pub fn moments_of<'a>(records: &[&'a Record]) -> Vec<Vec<&'a Record>> {
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

/// When each of something was last answered without a crash.
#[derive(Debug)]
pub struct Answers<K>(HashMap<K, Instant>);

impl<K> Default for Answers<K> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<K: Copy + Eq + Hash> Answers<K> {
    /// Records an answer; where too many are known, forgets all that are not
    /// `is_needed` but for the half that was answered last. Returns whether a crash at
    /// one of `crashes` no longer speaks against it.
    pub fn add(
        &mut self,
        key: K,
        at: Instant,
        is_needed: impl Fn(K) -> bool,
        crashes: impl IntoIterator<Item = Instant>,
    ) -> bool {
        if self.0.len() >= MAX_ANSWERED {
            self.forget(is_needed);
        }
        let before = self.0.get(&key).copied();
        self.0.insert(key, before.map_or(at, |known| known.max(at)));
        let is_cleared =
            |crash: Instant| crash < at + SKEW && before.is_none_or(|b| b + SKEW < crash);
        crashes.into_iter().any(is_cleared)
    }

    fn forget(&mut self, is_needed: impl Fn(K) -> bool) {
        let mut times: Vec<_> = self.0.values().copied().collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        self.0.retain(|key, at| *at > middle || is_needed(*key));
    }

    /// When it was last answered.
    pub fn last(&self, key: K) -> Option<Instant> {
        self.0.get(&key).copied()
    }

    /// Whether it was answered after a crash, as far as instances can tell.
    pub fn is_after(&self, key: K, crash: Instant) -> bool {
        self.last(key).is_some_and(|at| at + SKEW >= crash)
    }
}
