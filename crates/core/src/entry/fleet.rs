//! The upstreams as one instance knows them, and which of them takes a request.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::call::Call;
use super::gossip;
use super::upstream::{Estimate, Location, Registration, Upstream, Visibility};
use crate::id;
use crate::unit::Tokens;

/// All upstreams.
#[derive(Debug)]
pub struct Fleet {
    location: Location,
    upstreams: BTreeMap<id::Upstream, Upstream>,
}

/// What [`Fleet::choose`] says of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send it to this upstream, which is expected to answer in this time.
    Send(id::Upstream, Duration),
    /// Let it wait.
    Wait,
    /// No upstream that could take it is known.
    Nobody,
}

impl Fleet {
    /// A fleet of which nothing is known.
    pub fn new(location: Location) -> Self {
        Self { location, upstreams: BTreeMap::new() }
    }

    /// Takes over one entry of the directory; says whether anything changed
    /// that logs should tell of.
    pub fn list(&mut self, listed: Registration) -> bool {
        match self.upstreams.get_mut(&listed.id) {
            Some(known) => known.relist(listed),
            None => {
                self.upstreams.insert(listed.id.clone(), Upstream::new(listed));
                true
            }
        }
    }

    /// Drops an entry of the directory; what runs there may end.
    pub fn remove(&mut self, id: &id::Upstream) {
        if let Some(known) = self.upstreams.get_mut(id) {
            known.unlist();
            self.forget_over(id);
        }
    }

    fn forget_over(&mut self, id: &id::Upstream) {
        if self.upstreams.get(id).is_some_and(Upstream::is_over) {
            self.upstreams.remove(id);
        }
    }

    /// An upstream.
    pub fn get(&self, id: &id::Upstream) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Chooses the upstream on which a request is expected to end first.
    ///
    /// A request that would miss its aim on all that have room waits as long
    /// as one without room could still meet it.
    ///
    /// Where only the own availability zone is seen, other zones' upstreams
    /// are used if none of the own zone is open.
    pub fn choose(
        &self,
        call: &Call,
        excluded: &[id::Upstream],
        sight: Visibility,
        now: Instant,
    ) -> Choice {
        let is_open = |u: &&Upstream| {
            u.registration.service == call.service
                && u.is_open(now)
                && !excluded.contains(&u.registration.id)
        };
        let is_near = |u: &&Upstream| u.registration.zone == self.location.zone;
        let only_near =
            !sight.is_full_mesh && self.upstreams.values().filter(is_open).any(|u| is_near(&u));
        let mut is_known = false;
        let mut best: Option<(Estimate, &Upstream)> = None;
        let mut fastest_busy: Option<Duration> = None;
        let open = self.upstreams.values().filter(is_open);
        let open = open.filter(|u| !only_near || is_near(u));
        for upstream in open {
            is_known = true;
            if !upstream.has_room(call, sight) {
                let first = upstream.idle_first_time(call);
                fastest_busy = Some(fastest_busy.map_or(first, |f| f.min(first)));
                continue;
            }
            let estimate = upstream.estimate(call, now, &self.location, sight);
            if best.is_none_or(|(b, _)| estimate.cost < b.cost) {
                best = Some((estimate, upstream));
            }
        }
        let Some((estimate, upstream)) = best else {
            return if is_known { Choice::Wait } else { Choice::Nobody };
        };
        let is_late = now + estimate.first > call.latency_target;
        let could_be_in_time = fastest_busy.is_some_and(|first| now + first < call.latency_target);
        if is_late && could_be_in_time {
            return Choice::Wait;
        }
        Choice::Send(upstream.registration.id.clone(), estimate.first)
    }

    /// Notes that a request was sent.
    pub fn sent(&mut self, id: &id::Upstream, call: &Call, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.sent(call, now);
        }
    }

    /// Notes the first token of a request.
    pub fn first(&mut self, id: &id::Upstream, request: id::Request, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.first(request, now);
        }
    }

    /// Notes that a request ended; `tokens` are given for a whole answer.
    pub fn ended(
        &mut self,
        id: &id::Upstream,
        request: id::Request,
        tokens: Option<Tokens>,
        now: Instant,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.ended(request, tokens, now);
            self.forget_over(id);
        }
    }

    /// Notes whether a request failed for a reason that lies in the upstream.
    pub fn note_outcome(&mut self, id: &id::Upstream, is_failure: bool, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.note_outcome(is_failure, now);
        }
    }

    /// Gives an upstream that could not be reached no work for a while.
    pub fn pause(&mut self, id: &id::Upstream, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.pause(now);
        }
    }

    /// Notes that an upstream rejected a request.
    pub fn rejected(&mut self, id: &id::Upstream, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.rejected(now);
        }
    }

    /// Marks an upstream as leaving until the directory says otherwise.
    pub fn set_leaving(&mut self, id: &id::Upstream) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.registration.leaving = true;
        }
    }

    /// Takes over what a peer runs.
    pub fn hear(&mut self, from: &id::Instance, loads: &[gossip::Load]) {
        self.forget(from);
        for load in loads {
            if let Some(upstream) = self.upstreams.get_mut(&load.upstream) {
                upstream.hear(from, load);
            }
        }
    }

    /// Forgets what a peer runs.
    pub fn forget(&mut self, peer: &id::Instance) {
        for upstream in self.upstreams.values_mut() {
            upstream.forget(peer);
        }
    }

    /// What this instance runs.
    pub fn loads(&self) -> Vec<gossip::Load> {
        let used = self.upstreams.values().filter(|u| u.own_running() > 0);
        used.map(Upstream::load).collect()
    }
}
