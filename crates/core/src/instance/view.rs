//! What can be asked of an instance.

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
    /// Requests that were answered whole in time, by rank.
    pub good: BTreeMap<u8, u64>,
    /// Requests that were answered whole but late, by rank.
    pub late: BTreeMap<u8, u64>,
    /// Requests that were refused.
    pub refused: BTreeMap<(u8, Outcome, Reason), u64>,
    /// Prompt tokens that upstreams had to process.
    pub prefill: u64,
    /// Prompt tokens of requests whose answer reached nobody whole.
    pub wasted_prefill: u64,
}

impl Counters {
    pub(super) fn offered(&mut self, rank: u8) {
        *self.offered.entry(rank).or_default() += 1;
    }

    pub(super) fn answered(&mut self, rank: u8, in_time: bool) {
        let counts = if in_time { &mut self.good } else { &mut self.late };
        *counts.entry(rank).or_default() += 1;
    }

    pub(super) fn refused(&mut self, rank: u8, outcome: Outcome, reason: Reason) {
        *self.refused.entry((rank, outcome, reason)).or_default() += 1;
    }

    pub(super) fn prefilled(&mut self, tokens: Tokens) {
        self.prefill += u64::from(tokens.0);
    }

    pub(super) fn wasted(&mut self, tokens: Tokens) {
        self.wasted_prefill += u64::from(tokens.0);
    }
}

/// How far a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It waits.
    Waiting,
    /// It runs.
    Running,
    /// Its caller has the final answer, or is about to.
    Ending,
}

/// A request that is held, as operators see it.
#[derive(Clone, Debug)]
pub struct Row {
    /// The request.
    pub request: id::Request,
    /// How far it is.
    pub stage: Stage,
    /// Whether it may be cut off to make room.
    pub may_cancel: bool,
    /// The rank of its tier.
    pub rank: u8,
    /// Its team.
    pub team: id::Team,
    /// The service that it asks for.
    pub service: id::Service,
    /// The upstream that runs it.
    pub upstream: Option<id::Upstream>,
    /// How long ago it arrived.
    pub age: Duration,
}

impl Instance {
    /// Whether it may be sent requests: it has a configuration and does not drain.
    pub fn is_ready(&self) -> bool {
        self.version > Version::default() && !self.draining
    }

    /// Whether it holds no request.
    pub fn is_idle(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether it drains.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// The configuration that it follows.
    pub fn config(&self) -> (Version, &std::sync::Arc<Document>) {
        (self.version, &self.document)
    }

    /// What it has counted.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The peers that it hears.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The upstreams that it knows.
    pub fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// The engines of its zone whose leaving_reports it reads; each is read by one
    /// instance, which tells the others.
    pub fn watched_engines(&self) -> impl Iterator<Item = &Engine> {
        let zone = &self.options.identity.zone;
        let position = self.position();
        let own = move |e: &&Engine| e.entry.zone == *zone && e.rotated_index(position) == 0;
        self.engines.values().filter(|e| e.entry.kind == Kind::Engine).filter(own)
    }

    /// Its latest events.
    pub fn ring(&self) -> &Ring {
        &self.ring
    }

    /// How many requests wait.
    pub fn waiting_count(&self) -> usize {
        self.queues.values().map(crate::queue::Queue::len).sum()
    }

    /// How many requests are held at all.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// The requests that it holds, oldest first.
    pub fn rows(&self, now: Instant) -> Vec<Row> {
        let row = |held: &super::Held| {
            let (stage, upstream) = match &held.stage {
                super::Stage::Running(run) => (Stage::Running, Some(run.upstream.clone())),
                super::Stage::Cancelled(run) => (Stage::Ending, Some(run.upstream.clone())),
                super::Stage::Claiming(upstream) => (Stage::Waiting, Some(upstream.clone())),
                super::Stage::Reading | super::Stage::Queued => (Stage::Waiting, None),
                super::Stage::Writing => (Stage::Ending, None),
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
