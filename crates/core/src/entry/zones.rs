//! What the instances of the other availability zones admitted, as the relays of
//! each zone report it.
//!
//! Load pattern: hundreds of instances, of which each zone has dozens. If each
//! instance sent its state to all others, the messages of one instance would grow
//! with the size of the fleet. Instead, the relays of a zone, a few of its
//! instances, send one [`Digest`] to the others. Each relay counts for itself, so
//! that only one of them, the lead, counts here; another takes over from the lead's
//! last message on when it falls silent.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::gossip::Digest;
use crate::id;

/// A lead from which nothing was received for this long is replaced.
const LEAD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A relay from which nothing was received for this long is forgotten.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(15);

/// A relay's last known digest.
#[derive(Debug)]
struct Relay {
    incarnation: id::Incarnation,
    sequence: u64,
    received_at: Instant,
    digest: Digest,
    /// What its zone admitted by its count since the lead's last message.
    pending: HashMap<id::Team, i64>,
}

/// The relays of one zone.
#[derive(Debug, Default)]
struct Zone {
    relays: BTreeMap<id::Instance, Relay>,
    lead: Option<id::Instance>,
}

/// A message of a relay.
#[derive(Clone, Debug)]
pub struct Message {
    /// The relay.
    pub from: id::Instance,
    /// The relay's incarnation.
    pub incarnation: id::Incarnation,
    /// Increases with each message of an incarnation.
    pub sequence: u64,
    /// The relay's availability zone.
    pub zone: id::Zone,
    /// The digest.
    pub digest: Digest,
    /// Whether the relay has counted since less than the quotas' window ago, so
    /// that all of its count lies in the window.
    pub is_new: bool,
}

/// How many instances a zone has, and what is known of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Population {
    /// The instances that may be running.
    pub instances: usize,
    /// Those of them that the relays do not hear.
    pub silent: usize,
    /// The time since the newest digest.
    pub age: Duration,
}

/// The other availability zones.
#[derive(Debug, Default)]
pub struct Zones(BTreeMap<id::Zone, Zone>);

impl Zones {
    /// Records a message; returns what it adds to each team's use, which is
    /// negative where more was refunded than admitted.
    pub fn receive(&mut self, message: Message, now: Instant) -> Vec<(id::Team, i64)> {
        let zone = self.0.entry(message.zone).or_default();
        let known = zone.relays.get(&message.from);
        let known = known.filter(|relay| relay.incarnation == message.incarnation);
        if known.is_some_and(|relay| relay.sequence >= message.sequence) {
            return vec![];
        }
        let mut changes = match known {
            Some(relay) => changes(&relay.digest, &message.digest),
            // What a relay counted before its first message counts if nobody else
            // reported it.
            None if message.is_new && zone.lead.is_none() => {
                changes(&Digest::default(), &message.digest)
            }
            None => vec![],
        };
        let pending = known.map(|relay| relay.pending.clone()).unwrap_or_default();
        let relay = Relay {
            incarnation: message.incarnation,
            sequence: message.sequence,
            received_at: now,
            digest: message.digest,
            pending,
        };
        zone.relays.insert(message.from.clone(), relay);
        zone.count(&message.from, &mut changes, now);
        changes
    }

    /// The instances of each zone of which a relay is known.
    pub fn populations(&self, now: Instant) -> impl Iterator<Item = (&id::Zone, Population)> {
        self.0.iter().filter_map(move |(id, zone)| {
            let newest = zone.relays.values().max_by_key(|relay| relay.received_at)?;
            let population = Population {
                instances: newest.digest.instances as usize,
                silent: newest.digest.silent as usize,
                age: now.saturating_duration_since(newest.received_at),
            };
            Some((id, population))
        })
    }

    /// The relays from which something was received lately.
    pub fn relays(&self, now: Instant) -> impl Iterator<Item = &id::Instance> {
        let is_heard =
            move |relay: &Relay| now.saturating_duration_since(relay.received_at) < LEAD_TIMEOUT;
        let relays = self.0.values().flat_map(|zone| &zone.relays);
        relays.filter(move |(_, relay)| is_heard(relay)).map(|(id, _)| id)
    }

    /// Whether a relay of a zone is known.
    pub fn has_relays(&self, zone: &id::Zone) -> bool {
        self.0.contains_key(zone)
    }

    /// Forgets the relays that have been silent for long.
    pub fn expire(&mut self, now: Instant) {
        let is_known =
            |relay: &Relay| now.saturating_duration_since(relay.received_at) < REMOVAL_TIMEOUT;
        for zone in self.0.values_mut() {
            zone.relays.retain(|_, relay| is_known(relay));
        }
        self.0.retain(|_, zone| !zone.relays.is_empty());
    }
}

impl Zone {
    /// Leaves in `changes`, which `from` reported, what counts now.
    fn count(&mut self, from: &id::Instance, changes: &mut Vec<(id::Team, i64)>, now: Instant) {
        let lead = self.lead.as_ref().and_then(|lead| self.relays.get(lead));
        let is_heard =
            |lead: &Relay| now.saturating_duration_since(lead.received_at) < LEAD_TIMEOUT;
        let has_other_lead = lead.is_some_and(is_heard) && self.lead.as_ref() != Some(from);
        if has_other_lead {
            let Some(relay) = self.relays.get_mut(from) else { return };
            for (team, change) in changes.drain(..) {
                *relay.pending.entry(team).or_default() += change;
            }
            return;
        }
        if self.lead.as_ref() != Some(from) {
            // What it reported since the message of the lead that fell silent.
            let pending = self.relays.get_mut(from).map(|relay| std::mem::take(&mut relay.pending));
            changes.extend(pending.unwrap_or_default());
            self.lead = Some(from.clone());
        }
        for relay in self.relays.values_mut() {
            relay.pending.clear();
        }
    }
}

/// How each team's count has changed between two digests.
fn changes(before: &Digest, after: &Digest) -> Vec<(id::Team, i64)> {
    let counted: HashMap<_, _> =
        before.admitted.iter().map(|(team, total)| (team, *total)).collect();
    let change = |(team, total): &(id::Team, u64)| {
        let before = counted.get(team).copied().unwrap_or_default();
        let change = total.wrapping_sub(before) as i64;
        (change != 0).then(|| (team.clone(), change))
    };
    after.admitted.iter().filter_map(change).collect()
}
