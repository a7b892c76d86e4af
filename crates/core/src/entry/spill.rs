//! Upstreams that one availability zone lends to another: what a zone needs, what another
//! zone offers, and which instance may use which offered slot.
//!
//! Load pattern: beyond a full mesh, instances know the loads of their own zone only. A
//! wave of load fills one zone after the other, while upstreams elsewhere are idle. The
//! instances of a full zone report what they need; the first relay of a zone with free
//! slots offers some of them by name. An offer bounds the requests that a zone may run on
//! an upstream at once, so that a repeated offer grants nothing in addition.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::gossip::{Need, Offer};
use super::pace::Pace;
use crate::hash::stable_hash;
use crate::id;

/// How long an offer and a reported need are valid.
pub const LIFETIME: Duration = Duration::from_millis(1_000);
/// How often the load of the own zone is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// What is offered was free in this many samples.
const SAMPLES: usize = 4;
/// The fraction of a service's slots that a zone keeps free for its own callers.
const RESERVE: f64 = 0.1;
/// The most offers in one digest, which bounds its size to some 3 kB.
const MAX_OFFERS: usize = 64;
/// How fast an estimate of a peer's start may move, as a fraction of the time: clocks of
/// machines differ by less.
const CLOCK_DRIFT: f64 = 0.001;

/// A relay that reports on behalf of its zone.
#[derive(Debug)]
struct Relay {
    id: id::Instance,
    incarnation: id::Incarnation,
    /// The earliest start of the relay that its messages allow for.
    start: Instant,
    received_at: Instant,
}

/// A relay's message that counts.
#[derive(Debug, Eq, PartialEq)]
pub struct Accepted {
    /// When it was made, at the earliest.
    pub made: Instant,
    /// The relay that reported for the zone before, if that was another one.
    pub replaced: Option<id::Instance>,
}

/// The relay of each zone whose reports count.
///
/// Each message states the time since its sender's start, which tells a message that was
/// held up, for instance while the receiver's process was paused.
#[derive(Debug, Default)]
pub struct Relays(BTreeMap<id::Zone, Relay>);

impl Relays {
    /// Whether a message counts: it is fresh, and from the preferred one of its zone's
    /// relays that were heard lately.
    pub fn accept(
        &mut self,
        zone: &id::Zone,
        from: &id::Instance,
        incarnation: id::Incarnation,
        age: Duration,
        now: Instant,
    ) -> Option<Accepted> {
        let key = |relay: &id::Instance| stable_hash(relay.as_str());
        let known = self.0.get(zone);
        let is_heard = |relay: &Relay| now.saturating_duration_since(relay.received_at) < LIFETIME;
        if known.is_some_and(|k| k.id != *from && is_heard(k) && key(&k.id) < key(from)) {
            return None;
        }
        let stated = now.checked_sub(age).unwrap_or(now);
        let same = known.filter(|known| known.id == *from && known.incarnation == incarnation);
        let expected = same.map_or(stated, |known| {
            known.start + now.saturating_duration_since(known.received_at).mul_f64(CLOCK_DRIFT)
        });
        let delay = stated.saturating_duration_since(expected);
        let replaced = known.filter(|known| known.id != *from).map(|known| known.id.clone());
        let (id, start) = (from.clone(), stated.min(expected));
        self.0.insert(zone.clone(), Relay { id, incarnation, start, received_at: now });
        let made = now.checked_sub(delay).filter(|_| delay < LIFETIME)?;
        Some(Accepted { made, replaced })
    }

    /// The relay that reports for each zone.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Zone, &id::Instance)> {
        self.0.iter().map(|(zone, relay)| (zone, &relay.id))
    }

    /// Removes the relays from which nothing was received for `timeout`.
    pub fn expire(&mut self, timeout: Duration, now: Instant) -> Vec<id::Instance> {
        let is_silent = |r: &Relay| now.saturating_duration_since(r.received_at) >= timeout;
        let silent: Vec<_> =
            self.0.values().filter(|r| is_silent(r)).map(|r| r.id.clone()).collect();
        self.0.retain(|_, relay| !is_silent(relay));
        silent
    }
}

/// An upstream of the own zone that may be lent.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Its service.
    pub service: id::Service,
    /// The most requests that it runs at once.
    pub slots: u32,
    /// Requests of the own zone that run on it.
    pub own: u32,
    /// Requests of other zones that run on it, as they report.
    pub borrowed: Vec<(id::Zone, u32)>,
    /// Its estimated speed.
    pub pace: Pace,
}

/// Slots of an upstream that another zone may use.
#[derive(Clone, Copy, Debug)]
struct Grant {
    slots: u32,
    until: Instant,
}

/// What a relay offers to other zones.
#[derive(Debug, Default)]
pub struct Lender {
    samples: BTreeMap<id::Upstream, Vec<u32>>,
    sampled: Option<Instant>,
    /// When the own zone needed more of a service than it has.
    missed: BTreeMap<id::Service, Instant>,
    needs: BTreeMap<id::Zone, (Instant, Vec<Need>)>,
    grants: BTreeMap<(id::Upstream, id::Zone), Vec<Grant>>,
    /// Since when this instance has been the relay that offers.
    since: Option<Instant>,
}

impl Lender {
    /// Ends offering, as another instance is the relay now; what was offered counts as
    /// taken until it expires.
    pub fn retire(&mut self, now: Instant) {
        let mut grants = std::mem::take(&mut self.grants);
        for granted in grants.values_mut() {
            granted.retain(|grant| now < grant.until);
        }
        grants.retain(|_, granted| !granted.is_empty());
        *self = Self { grants, ..Self::default() };
    }

    /// Records what another zone needs.
    pub fn receive(&mut self, zone: id::Zone, needs: Vec<Need>, made: Instant) {
        if needs.is_empty() {
            self.needs.remove(&zone);
        } else {
            self.needs.insert(zone, (made, needs));
        }
    }

    /// Whether the load of the own zone is to be sampled now.
    pub fn is_due(&self, now: Instant) -> bool {
        self.sampled.is_none_or(|at| now.saturating_duration_since(at) >= SAMPLE_INTERVAL)
    }

    /// Samples the load of the own zone, and what it needs itself.
    pub fn sample(&mut self, engines: &[Engine], own: &BTreeSet<id::Service>, now: Instant) {
        self.since.get_or_insert(now);
        self.sampled = Some(now);
        self.missed.extend(own.iter().map(|service| (service.clone(), now)));
        self.missed.retain(|_, at| now.saturating_duration_since(*at) < LIFETIME);
        let is_valid = |made: Instant| now.saturating_duration_since(made) < LIFETIME;
        self.needs.retain(|_, (made, _)| is_valid(*made));
        for grants in self.grants.values_mut() {
            grants.retain(|grant| now < grant.until);
        }
        self.grants.retain(|_, grants| !grants.is_empty());
        let mut before = std::mem::take(&mut self.samples);
        for engine in engines {
            let mut samples = before.remove(&engine.upstream).unwrap_or_default();
            samples.push(engine.own);
            samples.drain(..samples.len().saturating_sub(SAMPLES));
            self.samples.insert(engine.upstream.clone(), samples);
        }
    }

    /// The slots of each upstream that other zones may use by valid offers.
    pub fn granted(&self, now: Instant) -> BTreeMap<&id::Upstream, u32> {
        let mut granted = BTreeMap::new();
        for ((upstream, _), grants) in &self.grants {
            *granted.entry(upstream).or_default() += valid_slots(grants, now);
        }
        granted
    }

    /// The offers of a new digest.
    ///
    /// Nothing is offered until this instance has been the offering relay for the lifetime
    /// of an offer: those of another relay have expired then.
    pub fn offer(&mut self, engines: &[Engine], now: Instant) -> Vec<Offer> {
        let is_new = self.since.is_none_or(|at| now.saturating_duration_since(at) < LIFETIME);
        if is_new {
            return vec![];
        }
        let services: BTreeSet<_> =
            self.needs.values().flat_map(|(_, needs)| needs).map(|n| n.service.clone()).collect();
        let mut offers = vec![];
        for service in services {
            if !self.missed.contains_key(&service) {
                let engines: Vec<_> = engines.iter().filter(|e| e.service == service).collect();
                offers.extend(self.offer_service(&service, &engines, now));
            }
        }
        offers.truncate(MAX_OFFERS);
        for Offer { upstream, zone, slots, .. } in &offers {
            let grants = self.grants.entry((upstream.clone(), zone.clone())).or_default();
            grants.push(Grant { slots: *slots, until: now + LIFETIME });
        }
        offers
    }

    /// Slots of an upstream that were free for some time.
    fn room(&self, engine: &Engine) -> u32 {
        let samples = self.samples.get(&engine.upstream);
        let samples = samples.filter(|samples| samples.len() >= SAMPLES);
        let peak = samples.and_then(|samples| samples.iter().max().copied());
        peak.map_or(0, |peak| engine.slots.saturating_sub(peak.max(engine.own)))
    }

    /// Slots of an upstream that a zone uses or may still use.
    fn held(&self, engine: &Engine, zone: &id::Zone, now: Instant) -> u32 {
        let running = engine.borrowed.iter().find(|(of, _)| of == zone).map_or(0, |(_, n)| *n);
        let grants = self.grants.get(&(engine.upstream.clone(), zone.clone()));
        running.max(grants.map_or(0, |grants| valid_slots(grants, now)))
    }

    fn offer_service(
        &self,
        service: &id::Service,
        engines: &[&Engine],
        now: Instant,
    ) -> Vec<Offer> {
        let rooms: Vec<_> = engines.iter().map(|engine| self.room(engine)).collect();
        let slots: u32 = engines.iter().map(|engine| engine.slots).sum();
        let spare = rooms.iter().sum::<u32>().saturating_sub(reserve(slots));
        let mut left = targets(service, &self.needs, spare);
        let mut granted: BTreeMap<(usize, &id::Zone), u32> = BTreeMap::new();
        let mut free = rooms;
        // What a zone uses already stays with it as far as its part goes.
        for (index, engine) in engines.iter().enumerate() {
            for zone in self.zones(engine) {
                let held = self.held(engine, zone, now);
                let part = left.get(zone).copied().unwrap_or_default().min(held).min(free[index]);
                if part > 0 {
                    granted.insert((index, zone), part);
                    left.entry(zone).and_modify(|left| *left -= part);
                }
                free[index] = free[index].saturating_sub(held);
            }
        }
        // The rest is spread slot by slot, as prompts delay each other on an upstream.
        while let Some((zone, _)) = left.iter().max_by_key(|(_, left)| **left).filter(|l| *l.1 > 0)
        {
            let zone = *zone;
            let key = |index: &usize| {
                (free[*index], stable_hash((zone.as_str(), engines[*index].upstream.as_str())))
            };
            let Some(index) = (0..free.len()).max_by_key(key).filter(|i| free[*i] > 0) else {
                break;
            };
            free[index] -= 1;
            *granted.entry((index, zone)).or_default() += 1;
            left.entry(zone).and_modify(|left| *left -= 1);
        }
        let offer = |((index, zone), slots): ((usize, &id::Zone), u32)| Offer {
            upstream: engines[index].upstream.clone(),
            zone: zone.clone(),
            slots,
            pace: engines[index].pace,
        };
        granted.into_iter().map(offer).collect()
    }

    /// The zones that use an upstream or may do so.
    fn zones<'a>(&'a self, engine: &'a Engine) -> BTreeSet<&'a id::Zone> {
        let granted = self.grants.keys().filter(|(upstream, _)| *upstream == engine.upstream);
        let borrowing = engine.borrowed.iter().map(|(zone, _)| zone);
        borrowing.chain(granted.map(|(_, zone)| zone)).collect()
    }
}

/// The slots that a zone may use by offers that are valid: one that lost the newest offer
/// may still use an earlier, larger one.
fn valid_slots(grants: &[Grant], now: Instant) -> u32 {
    grants.iter().filter(|grant| now < grant.until).map(|grant| grant.slots).max().unwrap_or(0)
}

/// The slots of a service, of all that a zone has, that it keeps for its own callers.
///
/// ```
/// use rosemarypond_core::entry::spill::reserve;
/// assert_eq!(reserve(91), 10);
/// ```
pub fn reserve(slots: u32) -> u32 {
    (f64::from(slots) * RESERVE).ceil() as u32
}

/// Divides spare slots between the zones in need, in proportion to what they need, and no
/// zone gets more than that.
fn targets<'a>(
    service: &id::Service,
    needs: &'a BTreeMap<id::Zone, (Instant, Vec<Need>)>,
    spare: u32,
) -> BTreeMap<&'a id::Zone, u32> {
    let need = |needs: &[Need]| {
        needs.iter().filter(|n| n.service == *service).map(|n| u64::from(n.slots)).sum::<u64>()
    };
    let needs: Vec<_> = needs.iter().map(|(zone, (_, needs))| (zone, need(needs))).collect();
    let total: u64 = needs.iter().map(|(_, need)| need).sum();
    let spare = u64::from(spare).min(total);
    let part = |need: u64| (spare * need).checked_div(total).unwrap_or_default() as u32;
    needs.into_iter().map(|(zone, need)| (zone, part(need))).collect()
}

/// Slots of an upstream that this instance may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Those of this instance.
    pub own: u32,
    /// Those of its zone.
    pub zone: u32,
    /// Until when.
    pub until: Instant,
}

/// What other zones offer to the own zone, and when each offer was made.
#[derive(Debug, Default)]
pub struct Borrower(BTreeMap<id::Zone, (Instant, Vec<Offer>)>);

impl Borrower {
    /// Records the offers of a zone, which replace those before.
    pub fn receive(&mut self, zone: id::Zone, offers: Vec<Offer>, made: Instant) {
        let is_older = |(known, _): &(Instant, Vec<Offer>)| made < *known;
        if !self.0.get(&zone).is_some_and(is_older) {
            self.0.insert(zone, (made, offers));
        }
    }

    /// Drops the offers that have expired.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, (made, _)| now.saturating_duration_since(*made) < LIFETIME);
    }

    /// Whether nothing is offered.
    pub fn is_empty(&self) -> bool {
        self.0.values().all(|(_, offers)| offers.is_empty())
    }

    /// The slots that `instance` may use. Each slot belongs to one of `users`, the instances
    /// of the zone that need one, by rendezvous hashing.
    pub fn shares(&self, instance: &id::Instance, users: &BTreeSet<&id::Instance>) -> Vec<Share> {
        let offers = self.0.values().flat_map(|(made, offers)| offers.iter().map(|o| (*made, o)));
        let share = |(made, offer): (Instant, &Offer)| {
            let is_own = |slot: &u32| {
                let key = |user: &&id::Instance| {
                    stable_hash((user.as_str(), offer.upstream.as_str(), *slot))
                };
                users.iter().copied().max_by_key(key) == Some(instance)
            };
            let own = (0..offer.slots).filter(is_own).count() as u32;
            let until = made + LIFETIME;
            Share { upstream: offer.upstream.clone(), own, zone: offer.slots, until }
        };
        offers.map(share).filter(|share| share.own > 0).collect()
    }
}
