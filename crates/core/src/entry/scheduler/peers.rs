//! Gossip with peers: receives their state and sends this instance's own.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Action, Audience, Scheduler};
use crate::entry::gossip::{Digest, Gossip, Limit, Need};
use crate::entry::limit::Group;
use crate::entry::quota::Knowledge;
use crate::entry::upstream::{Location, Visibility};
use crate::entry::watermark::{POLLERS_PER_ZONE, Watermark};
use crate::entry::zones::{Message, Population};
use crate::hash::stable_hash;
use crate::id;

/// The shortest time between two messages to the same peers.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(30);
/// The most messages per second that an instance sends; with many peers each
/// receives fewer of them.
const MAX_MESSAGES_PER_SECOND: u32 = 300;
/// With more instances than this, the loads of upstreams are sent only within
/// the availability zone.
const MAX_FULL_MESH_INSTANCES: usize = 16;
/// The time between two messages to the peers of other zones, where loads are
/// sent only within the zone.
const OTHER_ZONES_GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
/// The time from a message to its effect at a peer, besides the interval.
pub(super) const GOSSIP_DELAY: Duration = Duration::from_millis(30);
/// How often the turns at upstreams with a limit are updated.
const TURN_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time between two messages to peers.
const MAX_GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
/// A peer from which nothing was received for this long is assumed to run nothing.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A peer from which nothing was received for this long is assumed to admit
/// nothing.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(15);

/// A peer's last known state.
#[derive(Debug)]
pub(super) struct Peer {
    incarnation: id::Incarnation,
    pub(super) zone: id::Zone,
    sequence: u64,
    received_at: Instant,
    pub(super) is_silent: bool,
    pub(super) leaving: bool,
    /// The slots that it can reach, of services of which it cannot reach all upstreams.
    pub(super) reaches: HashMap<id::Service, u32>,
    /// What it needs of other availability zones.
    pub(super) needs: Vec<Need>,
    admitted: HashMap<id::Team, u64>,
    /// The complete answers that it has passed on.
    answers: HashMap<id::Service, u64>,
}

impl Peer {
    /// The start of the peer that was heard last.
    pub(super) fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }
}

impl Scheduler {
    pub(super) fn received(&mut self, now: Instant, gossip: Gossip) {
        if gossip.from == self.options.location.instance {
            return;
        }
        if self.is_for_other_zones(&gossip) {
            self.received_digest(now, gossip);
            return;
        }
        let known = self.peers.get(&gossip.from);
        let is_outdated = known
            .is_some_and(|p| p.incarnation == gossip.incarnation && p.sequence >= gossip.sequence);
        if is_outdated {
            return;
        }
        self.fleet.update_peer(&gossip.from, &gossip.loads, now);
        let before = known.filter(|p| p.incarnation == gossip.incarnation);
        // What a peer that has run for longer than a window admitted before its
        // first message is assumed to have left the window.
        let is_new = gossip.age < self.quota.window();
        let is_own_zone = gossip.zone == self.options.location.zone;
        // Its zone's relays report what it admitted.
        let is_reported = self.is_counted_by_relays(&gossip.zone);
        for (team, total) in &gossip.admitted {
            let before = match before {
                Some(before) => before.admitted.get(team).copied().unwrap_or_default(),
                None if is_new => 0,
                None => continue,
            };
            let change = total.wrapping_sub(before) as i64;
            if is_own_zone {
                self.quota.record_zone_admitted(team, change, now);
            } else if !is_reported {
                self.quota.record_peers_admitted(team, change, now);
            }
        }
        for (service, total) in &gossip.dangers.answers {
            let before = before.and_then(|before| before.answers.get(service));
            if let Some(before) = before {
                self.quarantine.count_answers(service, total.saturating_sub(*before));
            }
        }
        let is_heard_again = known.is_none_or(|peer| peer.is_silent);
        let is_running_peer = before.is_none() && !is_new && self.options.is_joining;
        let peer = Peer {
            incarnation: gossip.incarnation,
            zone: gossip.zone,
            sequence: gossip.sequence,
            received_at: now,
            is_silent: false,
            leaving: gossip.leaving,
            reaches: gossip.reaches.into_iter().map(|r| (r.service, r.slots)).collect(),
            needs: gossip.needs,
            admitted: gossip.admitted.into_iter().collect(),
            answers: gossip.dangers.answers.iter().cloned().collect(),
        };
        let from = gossip.from;
        self.peers.insert(from.clone(), peer);
        if is_heard_again {
            self.population = self.count_instances(now);
        }
        if is_running_peer {
            let instances = self.instances();
            self.quota.record_running_peers(1, instances);
        }
        for leaving in gossip.leaving_upstreams {
            self.upstream_leaving(leaving);
        }
        self.receive_limits(now, &gossip.limits, Some((&from, gossip.incarnation)));
        self.receive_dangers(now, *gossip.dangers);
        self.receive_streams(now, gossip.begun, &gossip.asked);
        self.receive_trials(now, &(from, gossip.incarnation), None, gossip.trials);
        self.receive_condemned(&gossip.condemned);
        self.update_watermark(&gossip.watermark);
        self.dispatch_waiting(now);
    }

    /// Whether a message is a digest of another zone.
    fn is_for_other_zones(&self, gossip: &Gossip) -> bool {
        gossip.digest.is_some() && gossip.zone != self.options.location.zone
    }

    /// Counts what another zone admitted by the digest of one of its relays.
    fn received_digest(&mut self, now: Instant, mut gossip: Gossip) {
        self.receive_spill(now, &mut gossip);
        let Some(mut digest) = gossip.digest else { return };
        let sender = (gossip.from.clone(), gossip.incarnation);
        let trials = std::mem::take(&mut digest.trials);
        self.receive_trials(now, &sender, Some(&gossip.zone), trials);
        self.receive_condemned(&gossip.condemned);
        let is_new = gossip.age < self.quota.window();
        let is_first = !self.is_counted_by_relays(&gossip.zone);
        let instances = digest.instances as usize;
        let message = Message {
            from: gossip.from,
            incarnation: gossip.incarnation,
            sequence: gossip.sequence,
            zone: gossip.zone,
            digest,
            is_new,
        };
        for (team, change) in self.zones.receive(message, now) {
            self.quota.record_peers_admitted(&team, change, now);
        }
        if is_first {
            self.population = self.count_instances(now);
        }
        if is_first && !is_new && self.options.is_joining {
            // The zone has been running for longer than a window.
            let all = self.instances();
            self.quota.record_running_peers(instances, all);
        }
        for leaving in gossip.leaving_upstreams {
            self.upstream_leaving(leaving);
        }
        self.receive_limits(now, &gossip.limits, None);
        self.receive_dangers(now, *gossip.dangers);
        self.update_watermark(&gossip.watermark);
    }

    /// Adds a registered peer; it may be running although nothing was received
    /// from it yet.
    pub(super) fn peer_registered(&mut self, now: Instant, peer: id::Instance, zone: id::Zone) {
        if peer == self.options.location.instance {
            return;
        }
        self.peers.entry(peer).or_insert_with(|| Peer {
            incarnation: id::Incarnation(0),
            zone,
            sequence: 0,
            received_at: now,
            is_silent: true,
            leaving: false,
            reaches: HashMap::new(),
            needs: vec![],
            admitted: HashMap::new(),
            answers: HashMap::new(),
        });
        self.population = self.count_instances(now);
    }

    /// Merges what this instance or a peer read in the store, and publishes the
    /// result; a newer version is sent to peers.
    pub(super) fn update_watermark(&mut self, watermark: &Watermark) {
        self.has_changes |= watermark.has_changed_since(&self.watermark);
        if self.watermark.merge(watermark) {
            self.actions.push(Action::UpdateWatermark(self.watermark));
        }
    }

    /// Whether this instance polls the shared store: where many serve, only a
    /// few of each availability zone do.
    pub fn is_poller(&self) -> bool {
        self.is_full_mesh() || self.preferred_peers() < POLLERS_PER_ZONE
    }

    /// The peers of this zone that poll the shared store rather than this instance.
    pub(super) fn preferred_peers(&self) -> usize {
        let Location { instance, zone } = &self.options.location;
        let own = stable_hash(instance.as_str());
        let is_preferred = |(id, peer): &(&id::Instance, &Peer)| {
            peer.zone == *zone && !peer.is_silent && !peer.leaving && stable_hash(id.as_str()) < own
        };
        self.peers.iter().filter(is_preferred).count()
    }

    pub(super) fn expire_peers(&mut self, now: Instant) {
        self.zones.expire(now);
        for (id, peer) in &mut self.peers {
            let silence = now.saturating_duration_since(peer.received_at);
            if silence > SILENCE_TIMEOUT && !peer.is_silent {
                peer.is_silent = true;
                self.fleet.remove_peer(id);
            }
        }
        self.peers.retain(|_, p| {
            let silence = now.saturating_duration_since(p.received_at);
            silence < REMOVAL_TIMEOUT && !(p.leaving && p.is_silent)
        });
        self.population = self.count_instances(now);
    }

    /// Counts the instances: those of a zone whose relays are known by its newest
    /// digest, all others one by one.
    fn count_instances(&self, now: Instant) -> Population {
        let mut all = Population { instances: 1, silent: 0, age: Duration::ZERO };
        let own_zone = &self.options.location.zone;
        let others: Vec<_> = self.zones.populations(now).collect();
        let is_single =
            |zone: &id::Zone| zone == own_zone || others.iter().all(|(other, _)| *other != zone);
        for peer in self.peers.values().filter(|peer| is_single(&peer.zone)) {
            all.instances += 1;
            all.silent += usize::from(peer.is_silent);
            all.age += now.saturating_duration_since(peer.received_at).min(SILENCE_TIMEOUT);
        }
        for (_, zone) in others {
            let is_silent = zone.age > SILENCE_TIMEOUT;
            all.instances += zone.instances;
            all.silent += if is_silent { zone.instances } else { zone.silent };
            all.age += zone.age.min(SILENCE_TIMEOUT) * zone.instances as u32;
        }
        Population { age: all.age / all.instances as u32, ..all }
    }

    /// Whether what the instances of a zone do is reported by its relays.
    fn is_counted_by_relays(&self, zone: &id::Zone) -> bool {
        self.zones.has_relays(zone)
    }

    /// The number of instances that may be running, including this one.
    pub(super) fn instances(&self) -> usize {
        self.population.instances
    }

    /// The same, for those that share a limit with the other instances.
    pub fn instance_count(&self) -> usize {
        self.instances()
    }

    /// What this instance knows of the others for the quotas; the peers that are
    /// silent keep their equal share.
    pub(super) fn knowledge(&self) -> Knowledge {
        let Population { instances, silent, age } = self.population;
        let share = (instances - silent.min(instances - 1)) as f64 / instances as f64;
        let has_backlog = !self.backlog.is_empty();
        Knowledge { share, age, instances, has_backlog }
    }

    /// Sends this instance's state to peers where a message is due.
    pub(super) fn gossip(&mut self, now: Instant) {
        let started = *self.started.get_or_insert(now);
        let age = now.saturating_duration_since(started);
        let since = |last: Option<Instant>| {
            last.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
        };
        let is_full_mesh = self.is_full_mesh();
        let elapsed = since(self.last_gossip);
        let interval = self.gossip_interval();
        if elapsed >= MAX_GOSSIP_INTERVAL.max(interval) || self.has_changes && elapsed >= interval {
            self.has_changes = false;
            self.last_gossip = Some(now);
            let audience = if is_full_mesh { Audience::Everyone } else { Audience::OwnZone };
            self.send_gossip(now, audience, age);
        }
        if !is_full_mesh && since(self.last_other_zones_gossip) >= OTHER_ZONES_GOSSIP_INTERVAL {
            self.last_other_zones_gossip = Some(now);
            if self.is_poller() {
                self.send_gossip(now, Audience::OtherZones, age);
            }
        }
    }

    /// Updates this instance's turns at the upstreams that named a limit: beyond a
    /// full mesh only the instances of an upstream's zone use it.
    pub(super) fn update_turns(&mut self, now: Instant) {
        let elapsed = self.last_turns.map(|at| now.saturating_duration_since(at));
        if elapsed.is_some_and(|elapsed| elapsed < TURN_INTERVAL) || !self.fleet.has_limits() {
            return;
        }
        self.last_turns = Some(now);
        let is_full_mesh = self.is_full_mesh();
        let zone = &self.options.location.zone;
        let in_group = || self.peers.iter().filter(|(_, p)| is_full_mesh || p.zone == *zone);
        let group = Group {
            instance: self.options.location.instance.clone(),
            peers: in_group().filter(|(_, p)| !p.is_silent).map(|(id, _)| id.clone()).collect(),
            silent: in_group().filter(|(_, p)| p.is_silent).count(),
            interval: self.gossip_interval() + GOSSIP_DELAY,
        };
        self.fleet.update_turns(&group, !is_full_mesh, now);
    }

    /// Adds what a peer knows of limits.
    fn receive_limits(
        &mut self,
        now: Instant,
        limits: &[Limit],
        counted: Option<(&id::Instance, id::Incarnation)>,
    ) {
        for limit in limits {
            self.has_changes |= self.fleet.receive_limit(limit, counted, now);
        }
    }

    fn send_gossip(&mut self, now: Instant, audience: Audience, age: Duration) {
        self.sequence += 1;
        let has_loads = audience != Audience::OtherZones;
        let digest = (!has_loads).then(|| self.digest(now));
        let (begun, asked) = if has_loads { self.streams.message(now) } else { (vec![], vec![]) };
        let gossip = Gossip {
            from: self.options.location.instance.clone(),
            incarnation: self.options.incarnation,
            zone: self.options.location.zone.clone(),
            age,
            sequence: self.sequence,
            leaving: self.ending.is_some(),
            loads: if has_loads { self.zone_loads() } else { self.borrowed_loads() },
            admitted: self.quota.admitted().map(|(t, c)| (t.clone(), c)).collect(),
            digest,
            leaving_upstreams: self.fleet.leaving().cloned().collect(),
            limits: self.fleet.limits(now),
            dangers: Box::new(self.quarantine.message(now)),
            begun,
            asked,
            reaches: if has_loads { self.reaches() } else { vec![] },
            trials: if has_loads { self.trials(now) } else { vec![] },
            condemned: self.condemned(),
            needs: if has_loads { self.needs() } else { vec![] },
            watermark: self.watermark,
        };
        self.actions.push(Action::SendGossip { audience, gossip: Box::new(gossip) });
    }

    /// What this instance reports of its zone to the others.
    fn digest(&mut self, now: Instant) -> Digest {
        let (needs, offers) = self.spill_digest(now);
        let zone = &self.options.location.zone;
        let peers = || self.peers.values().filter(|peer| peer.zone == *zone);
        Digest {
            instances: peers().count() as u32 + 1,
            silent: peers().filter(|peer| peer.is_silent).count() as u32,
            admitted: self.quota.zone_admitted().map(|(t, c)| (t.clone(), c)).collect(),
            trials: self.zone_trials(now),
            needs,
            offers,
        }
    }

    /// Whether instances are few enough that each sends its state to all peers
    /// and polls the shared store itself.
    pub fn is_full_mesh(&self) -> bool {
        self.instances() <= MAX_FULL_MESH_INSTANCES
    }

    /// How much this instance knows of its peers' loads.
    pub(super) fn visibility(&self) -> Visibility {
        let instances = self.visible_peers() as u32 + 1;
        Visibility { is_full_mesh: self.is_full_mesh(), max_age: self.gossip_interval(), instances }
    }

    /// The shortest time between two messages to the same peers.
    pub(super) fn gossip_interval(&self) -> Duration {
        let peers = Duration::from_secs(self.visible_peers() as u64);
        MIN_GOSSIP_INTERVAL.max(peers / MAX_MESSAGES_PER_SECOND)
    }

    /// The number of peers that send their loads to this instance.
    fn visible_peers(&self) -> usize {
        let zone = &self.options.location.zone;
        let is_full_mesh = self.is_full_mesh();
        self.peers.values().filter(|p| is_full_mesh || p.zone == *zone).count()
    }
}
