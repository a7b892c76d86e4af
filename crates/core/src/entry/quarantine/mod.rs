//! Keeps prompts from upstreams that they would crash.
//!
//! A part of a prompt may crash each engine that begins to answer it. Requests with
//! it arrive at all instances, no two alike, and sound ones share their team and
//! their other parts. Each instance tells the others which prompts an upstream was
//! answering when it crashed and which parts were answered without a crash; what
//! remains as the cause is quarantined by all of them.

mod evidence;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::gossip::{Crash, Prompts, Quarantined};
use crate::id;
use evidence::Evidence;

/// How long a quarantine lasts; after it, the parts are tried again.
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
/// The most answered parts in one message.
const MAX_ANSWERED_PER_MESSAGE: usize = 64;
/// The most quarantines at once.
const MAX_QUARANTINES: usize = 64;

/// Whether a prompt may have crashed the upstream that had been answering it for
/// `answering`, if it had begun.
pub fn is_suspicious(answering: Option<Duration>) -> bool {
    answering.is_none_or(|time| time <= SUSPICION_TIME)
}

/// Parts that crash upstreams where a prompt has all of them.
#[derive(Debug)]
struct Group {
    parts: Vec<id::Part>,
    since: Instant,
    /// When a prompt with all of them was answered completely.
    lifted: Option<Instant>,
}

impl Group {
    fn is_active(&self, now: Instant) -> bool {
        self.lifted.is_none_or(|at| at < self.since) && now < self.ends_at()
    }

    fn ends_at(&self) -> Instant {
        self.since + QUARANTINE_TIME
    }

    fn is_in(&self, parts: &[id::Part]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }
}

/// The prompts that upstreams are kept from.
#[derive(Debug, Default)]
pub struct Quarantine {
    evidence: Evidence,
    groups: Vec<Group>,
    /// Complete answers that this instance has passed on since its start.
    answers: BTreeMap<id::Service, u64>,
    /// When the evidence is to be reviewed next, if it has changed.
    review_at: Option<Instant>,
}

impl Quarantine {
    /// Records that an upstream crashed which had been answering the prompt of
    /// `crash` for `answering`, if it had begun.
    pub fn record_lost(&mut self, crash: Crash, answering: Option<Duration>, now: Instant) -> bool {
        if is_suspicious(answering) {
            return self.evidence.add_crash(crash, now);
        }
        let mut has_changed = false;
        for part in crash.prompts.iter().flatten() {
            has_changed |= self.evidence.add_answered(*part, now);
        }
        has_changed
    }

    /// Records a complete answer of a service to a prompt with these shared parts;
    /// returns whether peers have to know.
    pub fn record_answer(
        &mut self,
        service: &id::Service,
        parts: &[id::Part],
        now: Instant,
    ) -> bool {
        *self.answers.entry(service.clone()).or_default() += 1;
        self.evidence.count_answers(service, 1);
        let mut has_changed = false;
        for part in parts {
            has_changed |= self.evidence.add_answered(*part, now);
        }
        for group in self.groups.iter_mut().filter(|g| g.is_active(now) && g.is_in(parts)) {
            group.lifted = Some(now);
            has_changed = true;
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
        self.evidence.add_alive(upstream, incarnation, sent, now)
    }

    /// Adds complete answers that a peer has passed on.
    pub fn count_answers(&mut self, service: &id::Service, count: u64) {
        self.evidence.count_answers(service, count);
    }

    /// Adds what a peer knows; returns whether anything changes by it.
    pub fn receive(&mut self, prompts: Prompts, now: Instant) -> bool {
        let mut has_changed = false;
        for crash in prompts.crashes {
            has_changed |= self.evidence.add_crash(crash, now);
        }
        for answered in prompts.answered {
            let at = now.checked_sub(answered.age).unwrap_or(now);
            has_changed |= self.evidence.add_answered(answered.part, at);
        }
        for quarantined in prompts.quarantined {
            has_changed |= self.merge(quarantined, now);
        }
        has_changed
    }

    fn merge(&mut self, quarantined: Quarantined, now: Instant) -> bool {
        let since = now.checked_sub(quarantined.age).unwrap_or(now);
        let lifted = quarantined.lifted_age.and_then(|age| now.checked_sub(age));
        if quarantined.parts.is_empty() || since + QUARANTINE_TIME <= now + ENDING_TIME {
            return false;
        }
        let Some(group) = self.groups.iter_mut().find(|g| g.parts == quarantined.parts) else {
            return self.insert(Group { parts: quarantined.parts, since, lifted });
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

    /// Quarantines what the evidence shows as a cause of crashes, if a review is due;
    /// returns its parts.
    pub fn review(&mut self, now: Instant) -> Vec<Vec<id::Part>> {
        let mut found = vec![];
        if self.review_at.is_none_or(|at| now < at) {
            return found;
        }
        self.review_at = None;
        let settled = now.checked_sub(REPORT_TIME).unwrap_or(now);
        if self.evidence.newest().is_some_and(|at| at > settled) {
            self.schedule_review(now);
        }
        loop {
            let groups = &self.groups;
            let is_known =
                |parts: &[id::Part]| groups.iter().any(|g| g.parts == parts && g.is_active(now));
            let Some(parts) = self.evidence.find_cause(settled, is_known) else { return found };
            let is_quarantined = match self.groups.iter_mut().find(|g| g.parts == parts) {
                Some(group) => {
                    group.since = now;
                    group.lifted = None;
                    true
                }
                None => self.insert(Group { parts: parts.clone(), since: now, lifted: None }),
            };
            if !is_quarantined {
                return found;
            }
            found.push(parts);
        }
    }

    /// When the quarantine of a prompt with these shared parts ends, if it is in
    /// one.
    pub fn blocked_until(&self, parts: &[id::Part], now: Instant) -> Option<Instant> {
        let blocking = self.groups.iter().filter(|g| g.is_active(now) && g.is_in(parts));
        blocking.map(Group::ends_at).max()
    }

    /// Whether a prompt with these shared parts is likely to crash upstreams.
    pub fn is_suspect(&self, parts: &[id::Part]) -> bool {
        let suspect = self.evidence.find_suspect();
        suspect.is_some_and(|suspect| suspect.iter().all(|part| parts.contains(part)))
    }

    /// Forgets what was long ago.
    pub fn expire(&mut self, now: Instant) {
        self.evidence.expire(now);
        self.groups.retain(|g| now < g.ends_at());
    }

    /// What peers have to know.
    pub fn message(&self, now: Instant) -> Prompts {
        let age = |at| now.saturating_duration_since(at);
        let quarantined = |group: &Group| Quarantined {
            parts: group.parts.clone(),
            age: age(group.since),
            lifted_age: group.lifted.map(age),
        };
        // Without a crash nobody needs the counts.
        let answers = self.answers.iter().filter(|_| self.evidence.newest().is_some());
        Prompts {
            crashes: self.evidence.crashes(NEWS_TIME, now).take(MAX_CRASHES_PER_MESSAGE).collect(),
            answered: self
                .evidence
                .answered(NEWS_TIME, now)
                .take(MAX_ANSWERED_PER_MESSAGE)
                .collect(),
            quarantined: self.groups.iter().map(quarantined).collect(),
            answers: answers.map(|(s, count)| (s.clone(), *count)).collect(),
        }
    }
}
