//! Read access to the state of an instance, and its counters.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::Instance;
use crate::config::{Document, Kind, Version};
use crate::engine::Engine;
use crate::id;
use crate::member::Members;
use crate::outcome::{Outcome, Reason};
use crate::timeline::Ring;
use crate::unit::Tokens;

/// Counts since the instance started.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Requests that arrived, by rank.
    pub offered: BTreeMap<u8, u64>,
    /// Requests that were answered completely and in time, by rank.
    pub good: BTreeMap<u8, u64>,
    /// Requests that were answered completely but late, by rank.
    pub late: BTreeMap<u8, u64>,
    /// Requests that were refused, by rank, outcome and reason.
    pub refused: BTreeMap<(u8, Outcome, Reason), u64>,
    /// Uncached prompt tokens of dispatched requests.
    pub prefill: u64,
    /// Uncached prompt tokens of dispatched requests that were cancelled or failed.
    pub wasted_prefill: u64,
}

impl Counters {
    pub(super) fn record_arrival(&mut self, rank: u8) {
        *self.offered.entry(rank).or_default() += 1;
    }

    pub(super) fn record_answer(&mut self, rank: u8, in_time: bool) {
        let counts = if in_time { &mut self.good } else { &mut self.late };
        *counts.entry(rank).or_default() += 1;
    }

    pub(super) fn record_refusal(&mut self, rank: u8, outcome: Outcome, reason: Reason) {
        *self.refused.entry((rank, outcome, reason)).or_default() += 1;
    }

    pub(super) fn record_prefill(&mut self, tokens: Tokens) {
        self.prefill += u64::from(tokens.0);
    }

    pub(super) fn record_wasted_prefill(&mut self, tokens: Tokens) {
        self.wasted_prefill += u64::from(tokens.0);
    }
}

/// The stage of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It waits for a slot or for its key.
    Waiting,
    /// It runs.
    Running,
    /// It is cancelled, or its key's record is being written.
    Ending,
}

/// A request that an instance holds, as shown to operators.
#[derive(Clone, Debug)]
pub struct Row {
    /// The request.
    pub request: id::Request,
    /// Its stage.
    pub stage: Stage,
    /// Whether it may be cancelled to make room.
    pub may_cancel: bool,
    /// The rank of its tier.
    pub rank: u8,
    /// Its team.
    pub team: id::Team,
    /// The service that it asks for.
    pub service: id::Service,
    /// The upstream on which it holds a slot.
    pub upstream: Option<id::Upstream>,
    /// The time since it arrived.
    pub age: Duration,
}

impl Instance {
    /// Whether it accepts requests: it has a configuration and is not draining.
    pub fn is_ready(&self) -> bool {
        self.version > Version::default() && !self.draining
    }

    /// Whether it holds no request.
    pub fn is_idle(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether it is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Its current configuration.
    pub fn config(&self) -> (Version, &std::sync::Arc<Document>) {
        (self.version, &self.document)
    }

    /// Its counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Its current peers.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The upstreams of its configuration, and removed ones that still run requests.
    pub fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// The engines of its zone whose reports this instance reads. Each engine is
    /// read by one instance, which reports to the others whether it is leaving.
    pub fn watched_engines(&self) -> impl Iterator<Item = &Engine> {
        let zone = &self.options.identity.zone;
        let position = self.position();
        let own = move |e: &&Engine| e.entry.zone == *zone && e.rotated_index(position) == 0;
        self.engines.values().filter(|e| e.entry.kind == Kind::Engine).filter(own)
    }

    /// The latest events of its timeline.
    pub fn ring(&self) -> &Ring {
        &self.ring
    }

    /// The number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.queues.values().map(crate::queue::Queue::len).sum()
    }

    /// The number of requests that it holds, in any stage.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// The requests that it holds, oldest first.
    pub fn rows(&self, now: Instant) -> Vec<Row> {
        let row = |held: &super::Held| {
            let (stage, upstream) = match &held.phase {
                super::Phase::Running(run) => (Stage::Running, Some(run.upstream.clone())),
                super::Phase::Cancelled(run) => (Stage::Ending, Some(run.upstream.clone())),
                super::Phase::Claiming(upstream) => (Stage::Waiting, Some(upstream.clone())),
                super::Phase::Reading | super::Phase::Queued => (Stage::Waiting, None),
                super::Phase::Writing => (Stage::Ending, None),
            };
            let request = &held.request;
            Row {
                request: request.id,
                stage,
                may_cancel: request.repeat.may_cancel(),
                rank: request.rank,
                team: request.team.clone(),
                service: request.service.clone(),
                upstream,
                age: now.saturating_duration_since(request.arrived),
            }
        };
        let mut rows: Vec<_> = self.held.values().map(row).collect();
        rows.sort_by_key(|row| (std::cmp::Reverse(row.age), row.request));
        rows
    }
}
