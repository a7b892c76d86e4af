//! What all instances have counted of a rollout.
//!
//! Load pattern: messages are lost, instances end and start again, and relays of a zone
//! repeat each other's counts. The last known counts of each start of an instance stay;
//! of a zone's relays the one counts that has counted the most requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::tally::Tally;
use super::verdict;
use crate::entry::gossip::Trial;
use crate::id;

/// What was heard longer ago says nothing of what runs now.
const MAX_AGE: Duration = Duration::from_millis(1_500);

/// What an instance, or a zone, reported last.
#[derive(Clone, Debug)]
struct Report {
    trial: Trial,
    received_at: Instant,
}

/// The counts of all instances.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Those of this instance.
    pub own: Tally,
    peers: BTreeMap<(id::Instance, id::Incarnation), Report>,
    zones: BTreeMap<id::Zone, Report>,
    /// All counts when the step began.
    before: Tally,
}

impl Ledger {
    /// Adds what a peer that is heard directly reports.
    pub fn receive(&mut self, from: (id::Instance, id::Incarnation), trial: Trial, now: Instant) {
        self.peers.insert(from, Report { trial, received_at: now });
    }

    /// Adds what a relay reports of its zone.
    pub fn receive_zone(&mut self, zone: id::Zone, trial: Trial, now: Instant) {
        let known = self.zones.get(&zone);
        let is_known = |known: &Report| {
            let is_recent = now.saturating_duration_since(known.received_at) < MAX_AGE;
            is_recent && known.trial.tally.requests > trial.tally.requests
        };
        if !known.is_some_and(is_known) {
            self.zones.insert(zone, Report { trial, received_at: now });
        }
    }

    /// The counts of this instance and those that it hears directly.
    pub fn heard(&self) -> Tally {
        let mut all = self.own.clone();
        self.peers.values().for_each(|report| all.add(&report.trial.tally));
        all
    }

    /// The counts of all instances.
    pub fn all(&self) -> Tally {
        let mut all = self.heard();
        self.zones.values().for_each(|report| all.add(&report.trial.tally));
        all
    }

    /// Remembers the counts at the beginning of a step.
    pub fn mark(&mut self) {
        self.before = self.all();
    }

    /// Whether the counts prove that the new version is bad, of all time or of the step.
    pub fn is_bad(&self) -> bool {
        let all = self.all();
        verdict::is_bad(&all) || verdict::is_bad_since(&all, &self.before)
    }

    /// Whether enough was counted in the step to go on.
    pub fn is_enough(&self) -> bool {
        verdict::is_enough(&self.all().since(&self.before))
    }

    fn reports(&self) -> impl Iterator<Item = &Trial> {
        self.peers.values().chain(self.zones.values()).map(|report| &report.trial)
    }

    /// The latest step that others know, as its number.
    pub fn latest_step(&self) -> u32 {
        self.reports().map(|trial| trial.step).max().unwrap_or_default()
    }

    /// Requests of others that run.
    pub fn running(&self) -> u32 {
        self.reports().fold(0, |sum, trial| sum.saturating_add(trial.running))
    }

    /// Requests of others that run on engines of other versions.
    pub fn old_running(&self) -> u32 {
        self.reports().fold(0, |sum, trial| sum.saturating_add(trial.old_running))
    }

    /// What a peer reported lately.
    pub fn of_peer(&self, peer: &(id::Instance, id::Incarnation), now: Instant) -> Option<&Trial> {
        self.peers.get(peer).filter(|report| is_recent(report, now)).map(|report| &report.trial)
    }

    /// Whether a zone has ever reported.
    pub fn has_zone(&self, zone: &id::Zone) -> bool {
        self.zones.contains_key(zone)
    }

    /// Whether all zones that ever reported did so lately, and match.
    pub fn all_zones(&self, now: Instant, is_match: impl Fn(&Trial) -> bool) -> bool {
        self.zones.values().all(|report| is_recent(report, now) && is_match(&report.trial))
    }

    /// Forgets what peers reported that ended runs on engines, but not their counts.
    pub fn expire(&mut self, now: Instant) {
        for report in self.peers.values_mut().filter(|report| !is_recent(report, now)) {
            report.trial.running = 0;
            report.trial.old_running = 0;
        }
    }
}

fn is_recent(report: &Report, now: Instant) -> bool {
    now.saturating_duration_since(report.received_at) < MAX_AGE
}
