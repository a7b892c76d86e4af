//! What peers tell, and what they are told.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Action, Audience, Scheduler};
use crate::entry::gossip::Gossip;
use crate::entry::upstream::{Location, Visibility};
use crate::entry::watermark::{POLLERS_PER_ZONE, Watermark};
use crate::hash::stable_hash;
use crate::id;

/// The shortest time between two messages to the same peers.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(30);
/// The most messages a second that an instance sends; with many peers each
/// hears from it less often.
const MAX_MESSAGES_PER_SECOND: u32 = 300;
/// With more instances than these, the state of upstreams is told within the
/// availability zone only.
const MAX_WIDE_INSTANCES: usize = 16;
/// The time between two messages to the peers of other zones, where the state
/// of upstreams is told within the zone only.
const FAR_GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
/// The longest time between two messages to peers.
const MAX_GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
/// A peer that was not heard for this long is taken to run nothing.
const SILENCE: Duration = Duration::from_millis(1_500);
/// A peer that was not heard for this long is taken to admit nothing.
const FORGOTTEN: Duration = Duration::from_secs(15);

/// A peer as it was last heard.
#[derive(Debug)]
pub(super) struct Peer {
    incarnation: id::Incarnation,
    zone: id::Zone,
    sequence: u64,
    heard: Instant,
    is_quiet: bool,
    leaving: bool,
    admitted: HashMap<id::Team, u64>,
}

impl Scheduler {
    pub(super) fn heard(&mut self, now: Instant, gossip: Gossip) {
        if gossip.from == self.options.location.instance {
            return;
        }
        let known = self.peers.get(&gossip.from);
        let is_old = known
            .is_some_and(|p| p.incarnation == gossip.incarnation && p.sequence >= gossip.sequence);
        if is_old {
            return;
        }
        self.fleet.hear(&gossip.from, &gossip.loads);
        let before = known.filter(|p| p.incarnation == gossip.incarnation);
        // What a peer at work for longer admitted before it was first heard is
        // long past.
        let is_young = gossip.age < self.quota.window();
        for (team, total) in &gossip.admitted {
            let seen = match before {
                Some(before) => before.admitted.get(team).copied().unwrap_or_default(),
                None if is_young => 0,
                None => continue,
            };
            self.quota.admitted_elsewhere(team, total.saturating_sub(seen), now);
        }
        if before.is_none() && !is_young && self.options.is_joining {
            self.quota.set_instances(self.instances());
            self.quota.vouched(now);
        }
        let peer = Peer {
            incarnation: gossip.incarnation,
            zone: gossip.zone,
            sequence: gossip.sequence,
            heard: now,
            is_quiet: false,
            leaving: gossip.leaving,
            admitted: gossip.admitted.into_iter().collect(),
        };
        self.peers.insert(gossip.from, peer);
        self.learnt(&gossip.watermark);
        self.place_waiting(now);
    }

    /// Notes a peer that is listed; until it is heard it may be at work.
    pub(super) fn expected(&mut self, now: Instant, peer: id::Instance, zone: id::Zone) {
        if peer == self.options.location.instance {
            return;
        }
        self.peers.entry(peer).or_insert_with(|| Peer {
            incarnation: id::Incarnation(0),
            zone,
            sequence: 0,
            heard: now,
            is_quiet: true,
            leaving: false,
            admitted: HashMap::new(),
        });
    }

    /// Takes over what this instance or a peer read in the store, and passes
    /// it on.
    pub(super) fn learnt(&mut self, news: &Watermark) {
        self.is_changed |= news.has_changed_since(&self.watermark);
        if self.watermark.merge(news) {
            self.actions.push(Action::UpdateWatermark(self.watermark));
        }
    }

    /// Whether this instance asks the store that all share whether anything
    /// changed: where many serve, a few of each availability zone do.
    pub fn is_poller(&self) -> bool {
        if self.is_full_mesh() {
            return true;
        }
        let Location { instance, zone } = &self.options.location;
        let own = stable_hash(instance.as_str());
        let goes_before = |(id, peer): &(&id::Instance, &Peer)| {
            peer.zone == *zone && !peer.is_quiet && !peer.leaving && stable_hash(id.as_str()) < own
        };
        self.peers.iter().filter(goes_before).count() < POLLERS_PER_ZONE
    }

    pub(super) fn quiet_peers(&mut self, now: Instant) {
        for (id, peer) in &mut self.peers {
            let silence = now.saturating_duration_since(peer.heard);
            if silence > SILENCE && !peer.is_quiet {
                peer.is_quiet = true;
                self.fleet.forget(id);
            }
        }
        self.peers.retain(|_, p| {
            let silence = now.saturating_duration_since(p.heard);
            silence < FORGOTTEN && !(p.leaving && p.is_quiet)
        });
    }

    /// The instances that may be at work, with this one.
    pub(super) fn instances(&self) -> usize {
        self.peers.len() + 1
    }

    /// The part of each quota that this instance and the peers that it hears
    /// may use together.
    pub(super) fn quota_share(&self) -> f64 {
        let quiet = self.peers.values().filter(|p| p.is_quiet).count();
        let all = self.instances();
        (all - quiet) as f64 / all as f64
    }

    /// Tells peers the state of this instance, where it is time to.
    pub(super) fn gossip(&mut self, now: Instant) {
        let started = *self.started.get_or_insert(now);
        let age = now.saturating_duration_since(started);
        let since = |last: Option<Instant>| {
            last.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
        };
        let is_full_mesh = self.is_full_mesh();
        let elapsed = since(self.last_gossip);
        let interval = self.gossip_interval();
        if elapsed >= MAX_GOSSIP_INTERVAL.max(interval) || self.is_changed && elapsed >= interval {
            self.is_changed = false;
            self.last_gossip = Some(now);
            let audience = if is_full_mesh { Audience::Everyone } else { Audience::OwnZone };
            self.tell(audience, age);
        }
        if !is_full_mesh && since(self.last_far_gossip) >= FAR_GOSSIP_INTERVAL {
            self.last_far_gossip = Some(now);
            self.tell(Audience::OtherZones, age);
        }
    }

    fn tell(&mut self, audience: Audience, age: Duration) {
        self.sequence += 1;
        let is_near = audience != Audience::OtherZones;
        let gossip = Gossip {
            from: self.options.location.instance.clone(),
            incarnation: self.options.incarnation,
            zone: self.options.location.zone.clone(),
            age,
            sequence: self.sequence,
            leaving: self.is_stopping,
            loads: if is_near { self.fleet.loads() } else { vec![] },
            admitted: self.quota.admitted().map(|(t, c)| (t.clone(), c)).collect(),
            watermark: self.watermark,
        };
        self.actions.push(Action::SendGossip { audience, gossip });
    }

    /// Whether so few serve that each tells its state to all peers, and asks
    /// the shared store itself.
    pub fn is_full_mesh(&self) -> bool {
        self.instances() <= MAX_WIDE_INSTANCES
    }

    /// How well this instance sees what its peers run.
    pub(super) fn sight(&self) -> Visibility {
        let near = self.near() as u32 + 1;
        Visibility { is_full_mesh: self.is_full_mesh(), lag: self.gossip_interval(), near }
    }

    /// The shortest time between two messages to the same peers.
    fn gossip_interval(&self) -> Duration {
        let near = Duration::from_secs(self.near() as u64);
        MIN_GOSSIP_INTERVAL.max(near / MAX_MESSAGES_PER_SECOND)
    }

    /// The peers that tell what they run.
    fn near(&self) -> usize {
        let zone = &self.options.location.zone;
        let is_full_mesh = self.is_full_mesh();
        self.peers.values().filter(|p| is_full_mesh || p.zone == *zone).count()
    }
}
