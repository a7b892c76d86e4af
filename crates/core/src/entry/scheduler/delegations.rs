//! Requests that peers carry out for this instance, since they can reach upstreams that
//! it cannot reach.
//!
//! Load pattern: an instance loses its paths to some or all upstreams of a service for
//! seconds, while callers go on sending it requests. Each is delegated for one attempt,
//! to the peer with the fewest of them; this instance keeps counting attempts, retries,
//! quotas and time.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Action, Held, Scheduler};
use crate::entry::call::{Call, Origin};
use crate::entry::fleet::Choice;
use crate::entry::gossip;
use crate::entry::reach::Reach;
use crate::hash::stable_hash;
use crate::id;

/// A peer that could not be reached, or sent a delegated request to no upstream, gets no
/// other one for this long.
const PEER_PAUSE: Duration = Duration::from_millis(500);
/// After this many attempts that sent nothing, a request is delegated where a peer can
/// reach more upstreams.
const MAX_OWN_UNSENT_ATTEMPTS: u32 = 2;

impl Scheduler {
    /// Whether a request is to be delegated if a peer can reach more of its upstreams:
    /// always where none is within reach. Where some are and all are full, only if
    /// they are few; those that peers reach are full as well otherwise.
    fn is_better_delegated(held: &Held, choice: &Choice, reach: Reach) -> bool {
        match choice {
            Choice::NoUpstream => true,
            _ if held.unsent >= MAX_OWN_UNSENT_ATTEMPTS => true,
            Choice::Wait | Choice::Full => reach.is_small(),
            Choice::Send(..) => false,
        }
    }

    /// What peers have to know of how much this instance can use of each service.
    pub(super) fn reaches(&self) -> Vec<gossip::Reach> {
        let reaches = self.fleet.partial_reaches().into_iter();
        reaches.map(|(service, reach)| gossip::Reach { service, slots: reach.slots }).collect()
    }

    /// The peer that is to carry out a request, if one can use more of its upstreams
    /// than this instance, and `choice` does not suit better; `own` is how much this
    /// instance can use of the service, if not all.
    pub(super) fn delegate_for(
        &self,
        now: Instant,
        held: &Held,
        choice: &Choice,
        own: Option<&Reach>,
    ) -> Option<id::Instance> {
        let own = *own?;
        let Call { id, service, origin, .. } = &held.call;
        if held.call.is_delegated()
            || *origin == Origin::Unknown
            || !Self::is_better_delegated(held, choice, own)
        {
            return None;
        }
        let is_full_mesh = self.is_full_mesh();
        let own_zone = &self.options.location.zone;
        let is_usable = |peer: &id::Instance| {
            let is_paused = self.paused_delegates.get(peer).is_some_and(|until| now < *until);
            !is_paused && !held.declined.contains(peer)
        };
        let is_heard = |zone: &id::Zone| is_full_mesh || zone == own_zone;
        let peers = self.peers.iter().filter(|(_, peer)| {
            let reach = peer.reaches.get(service).copied().unwrap_or(u32::MAX);
            is_heard(&peer.zone) && !peer.is_silent && !peer.leaving && reach > own.slots
        });
        let delegated = self.delegated();
        let order =
            |peer: &id::Instance| (delegated.get(peer).copied(), stable_hash((peer.as_str(), *id)));
        let peers = peers.map(|(peer, _)| peer).filter(|peer| is_usable(peer));
        let others = || self.zones.relays(now).filter(|peer| is_usable(peer));
        let best = peers.min_by_key(|peer| order(peer));
        best.or_else(|| others().min_by_key(|peer| order(peer))).cloned()
    }

    /// How many requests each peer carries out for this instance; peers without any are
    /// left out.
    fn delegated(&self) -> HashMap<&id::Instance, usize> {
        let mut delegated = HashMap::new();
        for peer in self.held.values().filter_map(|held| held.delegate.as_ref()) {
            *delegated.entry(peer).or_default() += 1;
        }
        delegated
    }

    /// Delegates a request for one attempt.
    pub(super) fn delegate(&mut self, now: Instant, id: id::Request, peer: id::Instance) {
        if let Some(waiting) = self.backlog.remove(id) {
            self.drains.record(&waiting.call.service, now);
        }
        let Some(held) = self.held.get_mut(&id) else { return };
        held.sent += 1;
        held.delegate = Some(peer.clone());
        self.has_changes = true;
        let excluded = held.excluded.clone();
        let origin = held.call.origin.clone();
        self.actions.push(Action::Delegate { request: id, peer, excluded, origin });
    }

    /// Records which upstream a peer sent a delegated request to.
    pub(super) fn record_delegated_send(
        &mut self,
        now: Instant,
        id: id::Request,
        upstream: id::Upstream,
        release: Option<id::Release>,
    ) {
        let Some(held) = self.held.get_mut(&id).filter(|held| held.delegate.is_some()) else {
            return;
        };
        held.excluded.push(upstream);
        self.record_release(now, id, release);
    }

    /// Records that a peer sent a delegated request to no upstream.
    pub(super) fn record_declined(&mut self, now: Instant, id: id::Request, is_unreached: bool) {
        let Some(peer) = self.held.get_mut(&id).and_then(|held| held.delegate.take()) else {
            return;
        };
        if is_unreached {
            self.paused_delegates.retain(|_, until| now < *until);
            self.paused_delegates.insert(peer.clone(), now + PEER_PAUSE);
        }
        if let Some(held) = self.held.get_mut(&id) {
            held.declined.push(peer);
        }
    }

    /// Records whether a connection to an upstream could be opened.
    pub(super) fn probed(&mut self, now: Instant, upstream: &id::Upstream, is_reached: bool) {
        self.has_changes = true;
        if is_reached {
            self.fleet.record_reached(upstream, now);
            self.dispatch_waiting(now);
        } else {
            self.fleet.record_unreached(upstream, now);
        }
    }

    pub(super) fn probe(&mut self, now: Instant) {
        for upstream in self.fleet.begin_probes(now) {
            self.actions.push(Action::Probe(upstream));
        }
    }
}
