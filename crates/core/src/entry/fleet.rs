//! The upstreams that one instance knows, and the choice of one for a request.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::call::Call;
use super::gossip::{self, Leaving};
use super::limit::Group;
use super::reach::{Failures, Reach};
use super::rollout::share::Admitted;
use super::upstream::{Estimate, Location, Registration, Upstream, Visibility};
use crate::id;
use crate::unit::{RequestRate, Tokens};

/// The longest pause that an upstream may ask for; after it the upstream is tried
/// again.
pub const MAX_REQUESTED_PAUSE: Duration = Duration::from_secs(60);
/// The most limits in one message that have changed.
const MAX_NEW_LIMITS: usize = 64;
/// The most limits in one message that have not.
const MAX_REPEATED_LIMITS: usize = 4;
/// The most probes at once.
const MAX_PROBES: usize = 4;
/// How many leaving incarnations are remembered.
const MAX_LEAVING: usize = 1_024;

/// All upstreams that are known.
#[derive(Debug)]
pub struct Fleet {
    location: Location,
    upstreams: BTreeMap<id::Upstream, Upstream>,
    /// The incarnations that are leaving by what they answered. They are kept
    /// after an upstream was removed: an older copy of the directory may list it
    /// again.
    leaving: VecDeque<Leaving>,
    /// Where the limits that are told by turns go on.
    next_limit: usize,
    /// The upstreams that could not be reached lately.
    failures: Failures,
}

/// What to do with a request, by [`Fleet::choose`].
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send it to this upstream, whose first byte or event is expected after
    /// this time.
    Send(id::Upstream, Duration),
    /// Let it wait, as those with room are too slow for it, or one that is full now suits
    /// it better.
    Wait,
    /// Let it wait, as no upstream that could take it has room.
    Full,
    /// No upstream that could take it is known.
    NoUpstream,
}

impl Fleet {
    /// A fleet without upstreams, for an instance at `location`.
    pub fn new(location: Location) -> Self {
        Self {
            location,
            upstreams: BTreeMap::new(),
            leaving: VecDeque::new(),
            next_limit: 0,
            failures: Failures::default(),
        }
    }

    /// Adds or updates an upstream; returns whether it is new, restarted, or has
    /// changed whether it takes new work.
    pub fn register(&mut self, registration: Registration) -> bool {
        let is_leaving = self.is_leaving(&registration.id, registration.incarnation);
        let registration =
            Registration { leaving: registration.leaving || is_leaving, ..registration };
        match self.upstreams.get_mut(&registration.id) {
            Some(known) => known.update_registration(registration),
            None => {
                let mut upstream = Upstream::new(registration);
                // What the upstreams of its service say holds for it as well.
                let service = &upstream.registration.service;
                let others = self.upstreams.values().filter(|u| u.registration.service == *service);
                let limit = others.filter_map(|u| u.rejection_limit.stated()).max();
                upstream.rejection_limit = limit.map(Into::into).unwrap_or_default();
                self.upstreams.insert(upstream.registration.id.clone(), upstream);
                true
            }
        }
    }

    /// Stops choosing an upstream; attempts that run on it may end.
    pub fn deregister(&mut self, id: &id::Upstream) {
        if let Some(known) = self.upstreams.get_mut(id) {
            known.deregister();
            self.remove_if_unused(id);
        }
    }

    fn remove_if_unused(&mut self, id: &id::Upstream) {
        if self.upstreams.get(id).is_some_and(Upstream::is_unused) {
            self.upstreams.remove(id);
        }
    }

    /// The upstream with this identifier.
    pub fn get(&self, id: &id::Upstream) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Chooses the upstream on which a request is expected to end first.
    ///
    /// A request that would miss its latency target there waits instead, as long
    /// as a full upstream could still meet the target once it has room. It also waits
    /// where its caller would leave before the first byte or event.
    ///
    /// Outside a full mesh, upstreams of other availability zones are used only
    /// if none of the own zone is open.
    pub fn choose(
        &self,
        call: &Call,
        excluded: &[id::Upstream],
        admitted: &Admitted,
        visibility: Visibility,
        now: Instant,
    ) -> Choice {
        self.choose_among(Upstream::is_open, call, excluded, admitted, visibility, now)
    }

    /// The same where no upstream can be reached: those that may be reached again by
    /// now are tried.
    pub fn choose_unreached(
        &self,
        call: &Call,
        excluded: &[id::Upstream],
        admitted: &Admitted,
        visibility: Visibility,
        now: Instant,
    ) -> Choice {
        self.choose_among(Upstream::may_be_tried, call, excluded, admitted, visibility, now)
    }

    fn choose_among(
        &self,
        is_candidate: impl Fn(&Upstream, Instant) -> bool,
        call: &Call,
        excluded: &[id::Upstream],
        admitted: &Admitted,
        visibility: Visibility,
        now: Instant,
    ) -> Choice {
        let is_open = |u: &&Upstream| {
            u.registration.service == call.service
                && is_candidate(u, now)
                && !excluded.contains(&u.registration.id)
                && call.origin.allows(u.registration.release.as_ref())
                && admitted.allows(u.registration.release.as_ref())
        };
        let is_in_own_zone = |u: &&Upstream| u.registration.zone == self.location.zone;
        let only_own_zone = !visibility.is_full_mesh
            && self.upstreams.values().filter(is_open).any(|u| is_in_own_zone(&u));
        let mut is_any_open = false;
        let mut best: Option<(Estimate, &Upstream)> = None;
        let mut fastest_full: Option<Duration> = None;
        let mut is_any_too_slow = false;
        let open = self.upstreams.values().filter(is_open);
        let open = open.filter(|u| !only_own_zone || is_in_own_zone(u));
        for upstream in open {
            is_any_open = true;
            if !upstream.is_within_limit(now) {
                continue;
            }
            if !upstream.has_room(call, visibility) {
                let first = upstream.idle_time_to_first(call);
                fastest_full = Some(fastest_full.map_or(first, |f| f.min(first)));
                continue;
            }
            let estimate = upstream.estimate(call, now, &self.location, visibility);
            if now + estimate.first > call.first_byte_deadline && !upstream.is_trial_due(now) {
                is_any_too_slow = true;
                continue;
            }
            if best.is_none_or(|(b, _)| estimate.cost < b.cost) {
                best = Some((estimate, upstream));
            }
        }
        let Some((estimate, upstream)) = best else {
            // Others of the service may do with an upstream that is too slow for this one.
            return match (is_any_too_slow, is_any_open) {
                (true, _) => Choice::Wait,
                (false, true) => Choice::Full,
                (false, false) => Choice::NoUpstream,
            };
        };
        let is_late = now + estimate.first > call.latency_target;
        let could_be_in_time = fastest_full.is_some_and(|first| now + first < call.latency_target);
        if is_late && could_be_in_time {
            return Choice::Wait;
        }
        Choice::Send(upstream.registration.id.clone(), estimate.first)
    }

    /// The least time to the first byte or event at the upstreams that
    /// [`choose`](Self::choose) weighs for a request now or after a pause; zero if none
    /// takes work.
    pub fn least_time_to_first(
        &self,
        call: &Call,
        excluded: &[id::Upstream],
        visibility: Visibility,
        now: Instant,
    ) -> Duration {
        let mut least: [Option<Duration>; 2] = [None; 2];
        for upstream in self.usable(call, excluded) {
            let is_other = upstream.registration.zone != self.location.zone;
            let is_other = is_other && !visibility.is_full_mesh;
            let first = upstream.least_time_to_first(call, now);
            let least = &mut least[usize::from(is_other)];
            *least = Some(least.map_or(first, |l| l.min(first)));
        }
        let [own, other] = least;
        own.or(other).unwrap_or_default()
    }

    /// The least time to the end of the answer at the upstreams that may take a request;
    /// zero if none takes work.
    pub fn least_time_to_end(&self, call: &Call, excluded: &[id::Upstream]) -> Duration {
        let usable = self.usable(call, excluded);
        usable.map(|upstream| upstream.idle_time_to_end(call)).min().unwrap_or_default()
    }

    /// The upstreams that take work and may take a request.
    fn usable<'a>(
        &'a self,
        call: &'a Call,
        excluded: &'a [id::Upstream],
    ) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams.values().filter(|upstream| {
            upstream.registration.service == call.service
                && upstream.takes_work()
                && !excluded.contains(&upstream.registration.id)
                && call.origin.allows(upstream.registration.release.as_ref())
        })
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, id: &id::Upstream, call: &Call, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_sent(call, now);
        }
    }

    /// Records the first byte or event of an answer.
    pub fn record_first_byte(&mut self, id: &id::Upstream, request: id::Request, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_first_byte(request, now);
            self.failures.clear(&upstream.registration.service);
        }
    }

    /// Records that an attempt ended; `tokens` are given for a complete answer.
    pub fn record_ended(
        &mut self,
        id: &id::Upstream,
        request: id::Request,
        tokens: Option<Tokens>,
        now: Instant,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_ended(request, tokens, now);
            self.remove_if_unused(id);
        }
    }

    /// Records whether an attempt failed because of the upstream.
    pub fn record_outcome(&mut self, id: &id::Upstream, is_failure: bool, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_outcome(is_failure, now);
        }
    }

    /// Records that an upstream could not be reached: it gets no requests until it is
    /// reached again. Where several of its service could not be reached one after the
    /// other, the paths to all of them are probed first.
    pub fn record_unreached(&mut self, id: &id::Upstream, now: Instant) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        let was_open = upstream.path.is_open();
        upstream.path.record_failure(now);
        let service = upstream.registration.service.clone();
        if was_open && self.failures.record(&service, id) {
            for other in self.upstreams.values_mut() {
                if other.registration.service == service {
                    other.path.doubt(now);
                }
            }
        }
    }

    /// Records that a connection to an upstream was opened, and has the others of its
    /// service that could not be reached probed soon.
    pub fn record_reached(&mut self, id: &id::Upstream, now: Instant) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.path.record_answer();
        let service = upstream.registration.service.clone();
        self.failures.clear(&service);
        for other in self.upstreams.values_mut() {
            if other.registration.service == service {
                other.path.expedite(now);
            }
        }
    }

    /// The upstreams to probe now: some that could not be reached, those of the own
    /// availability zone first, and some that are silent.
    pub fn begin_probes(&mut self, now: Instant) -> Vec<Registration> {
        let zone = &self.location.zone;
        let probed = self.upstreams.values().filter(|u| u.path.is_probed(now)).count();
        let is_due = |u: &&mut Upstream| {
            let is_silent = u.path.may_probe_silent(now) && u.is_silent(now);
            u.takes_work() && (u.path.is_due(now) || is_silent)
        };
        let mut due: Vec<_> = self.upstreams.values_mut().filter(is_due).collect();
        due.sort_by_key(|u| (u.registration.zone != *zone, u.path.retry_at()));
        let begin = |upstream: &mut Upstream| {
            upstream.path.begin_probe(now);
            upstream.registration.clone()
        };
        due.into_iter().take(MAX_PROBES.saturating_sub(probed)).map(begin).collect()
    }

    /// How much this instance can use of each service of which it cannot use all.
    pub fn partial_reaches(&self) -> BTreeMap<id::Service, Reach> {
        let mut reaches: BTreeMap<id::Service, Reach> = BTreeMap::new();
        let usable = || self.upstreams.values().filter(|u| u.takes_work());
        for upstream in usable().filter(|u| u.reachable_slots() < u.registration.slots) {
            reaches.entry(upstream.registration.service.clone()).or_default();
        }
        if !reaches.is_empty() {
            for upstream in usable() {
                if let Some(reach) = reaches.get_mut(&upstream.registration.service) {
                    reach.add(upstream.registration.slots, upstream.reachable_slots());
                }
            }
        }
        reaches
    }

    /// Records that an upstream rejected a request.
    pub fn record_rejection(&mut self, id: &id::Upstream, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_rejection(now);
        }
    }

    /// Records that an incarnation of an upstream is leaving, whatever its
    /// registration states from now on; returns whether that was not known.
    pub fn record_leaving(&mut self, leaving: Leaving) -> bool {
        if self.is_leaving(&leaving.upstream, leaving.incarnation) {
            return false;
        }
        if let Some(upstream) = self.upstreams.get_mut(&leaving.upstream)
            && upstream.registration.incarnation == leaving.incarnation
        {
            upstream.registration.leaving = true;
        }
        if self.leaving.len() == MAX_LEAVING {
            self.leaving.pop_front();
        }
        self.leaving.push_back(leaving);
        true
    }

    /// Whether an incarnation of an upstream is known as leaving by an answer.
    pub fn is_leaving(&self, id: &id::Upstream, incarnation: u64) -> bool {
        self.leaving.iter().any(|l| l.upstream == *id && l.incarnation == incarnation)
    }

    /// The incarnations of registered upstreams that are leaving by what they
    /// answered.
    pub fn leaving(&self) -> impl Iterator<Item = &Leaving> {
        self.leaving.iter().filter(|l| self.upstreams.contains_key(&l.upstream))
    }

    /// Pauses an upstream that asked for no further request for `time`, which is
    /// limited to [`MAX_REQUESTED_PAUSE`].
    pub fn pause_for(&mut self, id: &id::Upstream, time: Duration, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.pause_until(now + time.min(MAX_REQUESTED_PAUSE));
        }
    }

    /// Records the limit that an incarnation of an upstream named, or that it named
    /// none, in an answer to a request that was sent at `sent`; returns whether that
    /// changes its limit.
    pub fn state_limit(
        &mut self,
        id: &id::Upstream,
        incarnation: u64,
        rate: Option<RequestRate>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let upstream = self.upstreams.get_mut(id);
        let upstream = upstream.filter(|u| u.registration.incarnation == incarnation);
        upstream.is_some_and(|upstream| upstream.state_limit(rate, sent, now))
    }

    /// Adds what a peer knows of a limit; `counted` is the peer if its requests
    /// count together with those of this instance. Returns whether that changes the
    /// limit.
    pub fn receive_limit(
        &mut self,
        limit: &gossip::Limit,
        counted: Option<(&id::Instance, id::Incarnation)>,
        now: Instant,
    ) -> bool {
        let upstream = self.upstreams.get_mut(&limit.upstream);
        let upstream = upstream.filter(|u| u.registration.incarnation == limit.incarnation);
        let Some(upstream) = upstream else { return false };
        let has_changed = upstream.receive_limit(limit, now);
        if let Some((peer, incarnation)) = counted {
            upstream.record_peer_sent(peer, incarnation, limit.sent, now);
        }
        has_changed
    }

    /// Whether an upstream has a limit.
    pub fn has_limits(&self) -> bool {
        let is_limited =
            |u: &Upstream| u.limit().is_some() || u.rejection_limit.per_second().is_some();
        self.upstreams.values().any(is_limited)
    }

    /// The rejections per second beyond which an upstream crashes, if it named them.
    pub fn rejection_limit(&self, id: &id::Upstream) -> Option<u32> {
        self.upstreams.get(id).and_then(|u| u.rejection_limit.per_second())
    }

    /// Records the rejections per second beyond which an incarnation of an upstream
    /// crashes, or that it named none; returns whether that changes.
    pub fn state_rejection_limit(
        &mut self,
        id: &id::Upstream,
        incarnation: u64,
        per_second: Option<u32>,
        now: Instant,
    ) -> bool {
        let upstream = self.upstreams.get_mut(id);
        let upstream = upstream.filter(|u| u.registration.incarnation == incarnation);
        let Some(upstream) = upstream else { return false };
        let has_changed = upstream.rejection_limit.state(per_second, now);
        let service = upstream.registration.service.clone();
        for other in self.upstreams.values_mut().filter(|u| u.registration.service == service) {
            other.rejection_limit.receive(per_second, now);
        }
        has_changed
    }

    /// Updates this instance's turns at the upstreams with a limit; with `only_own_zone`
    /// those of other availability zones are left to the instances there.
    pub fn update_turns(&mut self, group: &Group, only_own_zone: bool, now: Instant) {
        let zone = &self.location.zone;
        for upstream in self.upstreams.values_mut() {
            let is_used = !only_own_zone || upstream.registration.zone == *zone;
            upstream.update_turn(Some(group).filter(|_| is_used), now);
        }
    }

    /// What peers have to know of the limits: what has changed, and a few of the
    /// others by turns.
    pub fn limits(&mut self, now: Instant) -> Vec<gossip::Limit> {
        let limits = self.upstreams.values().filter_map(|upstream| upstream.limit_message(now));
        let (news, others): (Vec<_>, Vec<_>) = limits.partition(|(is_news, _)| *is_news);
        let first = self.next_limit % others.len().max(1);
        self.next_limit = first + MAX_REPEATED_LIMITS;
        let repeated =
            others.iter().cycle().skip(first).take(others.len().min(MAX_REPEATED_LIMITS));
        let news = news.iter().take(MAX_NEW_LIMITS);
        news.chain(repeated).map(|(_, limit)| limit.clone()).collect()
    }

    /// Whether an upstream of a service takes new requests.
    pub fn has_open(&self, service: &id::Service, now: Instant) -> bool {
        self.upstreams.values().any(|u| u.registration.service == *service && u.is_open(now))
    }

    /// Whether an upstream of a service takes work whose version may get requests.
    pub fn has_admitted(&self, service: &id::Service, admitted: &Admitted) -> bool {
        let is_admitted = |u: &Upstream| {
            let Registration { service: of, release, .. } = &u.registration;
            of == service && u.takes_work() && admitted.allows(release.as_ref())
        };
        self.upstreams.values().any(is_admitted)
    }

    /// Whether an upstream of a service may answer a request now or later.
    pub fn has_allowed(&self, call: &Call) -> bool {
        let is_allowed = |u: &Upstream| {
            let Registration { service, release, .. } = &u.registration;
            *service == call.service && u.takes_work() && call.origin.allows(release.as_ref())
        };
        self.upstreams.values().any(is_allowed)
    }

    /// When the first upstream of a service opens again, if all of them are
    /// paused; none if one is open, or none will open again.
    pub fn opens_at(&self, service: &id::Service, now: Instant) -> Option<Instant> {
        let mut first: Option<Instant> = None;
        for upstream in self.upstreams.values().filter(|u| u.registration.service == *service) {
            if upstream.is_open(now) {
                return None;
            }
            let opens_at = upstream.opens_at();
            first = opens_at.map(|at| first.map_or(at, |f| f.min(at))).or(first);
        }
        first
    }

    /// Replaces the loads of a peer.
    pub fn update_peer(&mut self, from: &id::Instance, loads: &[gossip::Load], now: Instant) {
        self.remove_peer(from);
        for load in loads {
            if let Some(upstream) = self.upstreams.get_mut(&load.upstream) {
                upstream.update_peer(from, load, now);
            }
        }
    }

    /// Removes the loads of a peer.
    pub fn remove_peer(&mut self, peer: &id::Instance) {
        for upstream in self.upstreams.values_mut() {
            upstream.remove_peer(peer);
        }
    }

    /// This instance's load on each upstream that it uses.
    pub fn loads(&self) -> Vec<gossip::Load> {
        let used = self.upstreams.values().filter(|u| u.own_running() > 0);
        used.map(Upstream::load).collect()
    }
}
