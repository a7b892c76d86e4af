//! Keeps requests from upstreams that they would crash.
//!
//! A part of a prompt may crash each upstream that begins to answer it: requests with
//! it arrive at all instances, no two alike, and sound ones share their team and their
//! other parts. Or one request does that comes again and again: sound ones share its
//! team, its path or its body. Each instance tells the others which requests an
//! upstream was answering when it crashed, and what was answered without a crash; what
//! remains as the cause is quarantined by all of them.

mod crashes;
mod evidence;
mod repeats;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::call::Call;
use super::gossip::{Answered, Cause, Crash, Dangers, Quarantined, Suspect};
use crate::id;
use crashes::{Crashes, REFUTATION_TIMEOUT, Record};
use evidence::Evidence;
use repeats::{Repeats, Verdict};

/// How long a quarantine lasts; after it, what was kept back is tried again.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// A quarantine that ends within this time is not learnt from peers any more, so that
/// those for which it has ended do not take it up again.
const ENDING_TIME: Duration = Duration::from_secs(5);
/// A prompt crashes an upstream within this time from the head of its answer on.
const SUSPICION_TIME: Duration = Duration::from_millis(300);
/// The time in which all instances report what they know of a crash.
const REPORT_TIME: Duration = Duration::from_millis(400);
/// How long a crash, or an answer that speaks against it, is repeated to peers.
const NEWS_TIME: Duration = Duration::from_secs(2);
/// The most crashes in one message.
const MAX_CRASHES_PER_MESSAGE: usize = 8;
/// The most answered parts, and the most answered requests, in one message.
const MAX_ANSWERED_PER_MESSAGE: usize = 64;
/// The most quarantines at once.
const MAX_QUARANTINES: usize = 64;

/// Whether a request may have crashed the upstream that had been answering it for
/// `answering`, if it had begun.
pub fn is_suspicious(answering: Option<Duration>) -> bool {
    answering.is_none_or(|time| time <= SUSPICION_TIME)
}

/// What is kept from upstreams.
#[derive(Debug)]
struct Group {
    cause: Cause,
    since: Instant,
    /// When such a request was answered completely.
    lifted: Option<Instant>,
    /// Whether this instance's own evidence shows it.
    is_own: bool,
}

impl Group {
    fn is_active(&self, now: Instant) -> bool {
        self.lifted.is_none_or(|at| at < self.since) && now < self.ends_at()
    }

    fn ends_at(&self) -> Instant {
        self.since + QUARANTINE_TIME
    }

    fn has(&self, call: &Call) -> bool {
        match &self.cause {
            Cause::Parts(parts) => parts.iter().all(|part| call.shared_parts.contains(part)),
            Cause::Request(fingerprint) => call.fingerprint == *fingerprint,
        }
    }

    /// When such a request may be sent again, as far as can be told: what speaks
    /// against a request may still be refuted for a while.
    fn opens_at(&self, now: Instant) -> Instant {
        let settled = self.since + REFUTATION_TIMEOUT;
        let may_be_refuted = matches!(self.cause, Cause::Request(_)) && now < settled;
        if may_be_refuted { settled } else { self.ends_at() }
    }
}

/// The requests that upstreams are kept from.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: Crashes,
    evidence: Evidence,
    repeats: Repeats,
    groups: Vec<Group>,
    /// When each request may be tried again that may have crashed upstreams.
    held: BTreeMap<id::Fingerprint, Instant>,
    /// Complete answers that this instance has passed on since its start.
    answers: BTreeMap<id::Service, u64>,
    /// When the evidence on parts is to be reviewed next, if it has changed.
    review_at: Option<Instant>,
}

impl Quarantine {
    /// Records that an upstream crashed which had been answering the request of
    /// `crash` for `answering`, if it had begun.
    pub fn record_lost(&mut self, crash: Crash, answering: Option<Duration>, now: Instant) -> bool {
        if is_suspicious(answering) {
            return self.add_crash(crash, now);
        }
        // A request may crash upstreams later, its parts at the beginning only.
        let mut has_changed = false;
        for part in crash.requests.iter().flat_map(|request| &request.parts) {
            has_changed |= self.evidence.add_answered(*part, now, &self.crashes);
        }
        has_changed
    }

    fn add_crash(&mut self, crash: Crash, now: Instant) -> bool {
        let answers = self.evidence.answers_of(&crash.service);
        self.crashes.add(crash, answers, now)
    }

    /// Records a complete answer to a request; returns whether peers have to know.
    pub fn record_answer(&mut self, call: &Call, now: Instant) -> bool {
        *self.answers.entry(call.service.clone()).or_default() += 1;
        self.evidence.count_answers(&call.service, 1);
        let mut has_changed = self.record_answered(call.fingerprint, &call.shared_parts, now);
        for group in self.groups.iter_mut().filter(|g| g.is_active(now) && g.has(call)) {
            group.lifted = Some(now);
            has_changed = true;
        }
        has_changed
    }

    /// Records that a request did not crash its upstream; returns whether a crash no
    /// longer speaks against it or one of its parts.
    pub fn record_answered(
        &mut self,
        fingerprint: id::Fingerprint,
        parts: &[id::Part],
        now: Instant,
    ) -> bool {
        let mut has_changed = self.repeats.add_answered(fingerprint, now, &self.crashes);
        for part in parts {
            has_changed |= self.evidence.add_answered(*part, now, &self.crashes);
        }
        has_changed
    }

    /// Records that an upstream answers a request that was sent at `sent`.
    pub fn record_alive(
        &mut self,
        upstream: &id::Upstream,
        incarnation: u64,
        sent: Instant,
        now: Instant,
    ) -> bool {
        self.crashes.refute(upstream, incarnation, sent, now)
    }

    /// Adds complete answers that a peer has passed on.
    pub fn count_answers(&mut self, service: &id::Service, count: u64) {
        self.evidence.count_answers(service, count);
    }

    /// Adds what a peer knows; returns whether anything changes by it.
    pub fn receive(&mut self, dangers: Dangers, now: Instant) -> bool {
        let mut has_changed = false;
        for crash in dangers.crashes {
            has_changed |= self.add_crash(crash, now);
        }
        for answered in dangers.answered {
            let at = now.checked_sub(answered.age).unwrap_or(now);
            has_changed |= match answered.suspect {
                Suspect::Part(part) => self.evidence.add_answered(part, at, &self.crashes),
                Suspect::Request(request) => self.repeats.add_answered(request, at, &self.crashes),
            };
        }
        for quarantined in dangers.quarantined {
            has_changed |= self.merge(quarantined, now);
        }
        has_changed
    }

    fn merge(&mut self, quarantined: Quarantined, now: Instant) -> bool {
        let Quarantined { cause, age, lifted_age } = quarantined;
        let since = now.checked_sub(age).unwrap_or(now);
        let lifted = lifted_age.and_then(|age| now.checked_sub(age));
        let has_no_parts = matches!(&cause, Cause::Parts(parts) if parts.is_empty());
        if has_no_parts || since + QUARANTINE_TIME <= now + ENDING_TIME {
            return false;
        }
        let Some(group) = self.groups.iter_mut().find(|g| g.cause == cause) else {
            return self.insert(Group { cause, since, lifted, is_own: false });
        };
        let was_active = group.is_active(now);
        group.lifted = group.lifted.max(lifted);
        let is_again = |since| group.lifted.is_some_and(|lifted| since > lifted);
        if is_again(since) && !is_again(group.since) {
            group.since = since;
        }
        group.is_active(now) != was_active
    }

    fn insert(&mut self, group: Group) -> bool {
        let has_room = self.groups.len() < MAX_QUARANTINES;
        if has_room {
            self.groups.push(group);
        }
        has_room
    }

    /// Has the evidence reviewed once all instances have reported on a change that
    /// happened now.
    pub fn schedule_review(&mut self, now: Instant) {
        self.review_at.get_or_insert(now + REPORT_TIME);
    }

    /// Quarantines parts that the evidence shows as a cause of crashes, if a review is
    /// due; returns them.
    pub fn review_parts(&mut self, now: Instant) -> Vec<Cause> {
        let mut found = vec![];
        if self.review_at.is_none_or(|at| now < at) {
            return found;
        }
        self.review_at = None;
        let settled = now.checked_sub(REPORT_TIME).unwrap_or(now);
        if self.crashes.newest().is_some_and(|at| at > settled) {
            self.schedule_review(now);
        }
        loop {
            let groups = &self.groups;
            let is_known = |parts: &[id::Part]| {
                let has = |g: &Group| matches!(&g.cause, Cause::Parts(known) if known == parts);
                groups.iter().any(|g| has(g) && g.is_active(now))
            };
            let parts = self.evidence.find_cause(&self.crashes, settled, is_known);
            let Some(parts) = parts else { return found };
            let cause = Cause::Parts(parts);
            if !self.quarantine(&cause, now) {
                return found;
            }
            found.push(cause);
        }
    }

    /// Quarantines the requests that crash upstreams whenever they come, after the
    /// evidence has changed; returns them.
    pub fn review_repeats(&mut self, now: Instant) -> Vec<Cause> {
        let verdicts = self.repeats.verdicts(&self.crashes);
        self.lift_refuted(&verdicts, now);
        self.held.clear();
        let mut found = vec![];
        for (fingerprint, verdict) in verdicts {
            if let Verdict::HeldUntil(until) = verdict {
                self.held.insert(fingerprint, until);
                continue;
            }
            let cause = Cause::Request(fingerprint);
            let is_known = |g: &&mut Group| g.cause == cause && g.is_active(now);
            if let Some(known) = self.groups.iter_mut().find(is_known) {
                known.is_own = true;
            } else if self.quarantine(&cause, now) {
                found.push(cause);
            }
        }
        found
    }

    /// Lifts the quarantine of requests where a crash that spoke against them was none.
    fn lift_refuted(&mut self, verdicts: &BTreeMap<id::Fingerprint, Verdict>, now: Instant) {
        for group in self.groups.iter_mut().filter(|g| g.is_own && g.is_active(now)) {
            let Cause::Request(fingerprint) = group.cause else { continue };
            let is_refuted = |r: &Record| r.is_refuted && r.has_request(fingerprint);
            let is_deadly = verdicts.get(&fingerprint) == Some(&Verdict::Deadly);
            if !is_deadly && self.crashes.iter().any(is_refuted) {
                group.lifted = Some(now);
            }
        }
    }

    fn quarantine(&mut self, cause: &Cause, now: Instant) -> bool {
        let new = Group { cause: cause.clone(), since: now, lifted: None, is_own: true };
        let Some(group) = self.groups.iter_mut().find(|g| g.cause == *cause) else {
            return self.insert(new);
        };
        *group = new;
        true
    }

    /// When a request may be sent, if it is kept back.
    pub fn blocked_until(&self, call: &Call, now: Instant) -> Option<Instant> {
        let blocking = self.groups.iter().filter(|g| g.is_active(now) && g.has(call));
        let quarantined = blocking.map(|group| group.opens_at(now)).max();
        let held = self.held.get(&call.fingerprint).filter(|until| now < **until);
        quarantined.max(held.copied())
    }

    /// Whether a prompt with these shared parts is likely to crash upstreams.
    pub fn is_suspect(&self, parts: &[id::Part]) -> bool {
        let suspect = self.evidence.find_suspect(&self.crashes);
        suspect.is_some_and(|suspect| suspect.iter().all(|part| parts.contains(part)))
    }

    /// Forgets what was long ago.
    pub fn expire(&mut self, now: Instant) {
        self.crashes.expire(now);
        self.groups.retain(|g| now < g.ends_at());
        self.held.retain(|_, until| now < *until);
    }

    /// What peers have to know.
    pub fn message(&self, now: Instant) -> Dangers {
        let age = |at| now.saturating_duration_since(at);
        let crash = |r: &Record| Crash {
            upstream: r.upstream.clone(),
            incarnation: r.incarnation,
            service: r.service.clone(),
            age: age(r.at),
            requests: r.requests.clone(),
            is_refuted: r.is_refuted,
        };
        let latest = || self.crashes.latest(NEWS_TIME, now);
        let (refuted, standing): (Vec<_>, Vec<_>) = latest().partition(|r| r.is_refuted);
        let answered = |suspect, at| Answered { suspect, age: age(at) };
        let parts = self.evidence.answered(latest()).into_iter();
        let parts = parts.map(|(part, at)| answered(Suspect::Part(part), at));
        let news_from = now.checked_sub(NEWS_TIME).unwrap_or(now);
        let requests = self.repeats.answered(&self.crashes, news_from).into_iter();
        let requests = requests.map(|(request, at)| answered(Suspect::Request(request), at));
        let quarantined = |group: &Group| Quarantined {
            cause: group.cause.clone(),
            age: age(group.since),
            lifted_age: group.lifted.map(age),
        };
        // Without a crash nobody needs the counts.
        let answers = self.answers.iter().filter(|_| self.crashes.newest().is_some());
        Dangers {
            crashes: standing
                .into_iter()
                .chain(refuted)
                .take(MAX_CRASHES_PER_MESSAGE)
                .map(crash)
                .collect(),
            answered: parts
                .take(MAX_ANSWERED_PER_MESSAGE)
                .chain(requests.take(MAX_ANSWERED_PER_MESSAGE))
                .collect(),
            quarantined: self.groups.iter().map(quarantined).collect(),
            answers: answers.map(|(s, count)| (s.clone(), *count)).collect(),
        }
    }
}
