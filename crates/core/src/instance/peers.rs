//! Messages from peers, heartbeats, and changes of the configuration and the
//! upstreams.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Instance, Phase};
use crate::config::{Document, Version};
use crate::engine::Engine;
use crate::event::Action;
use crate::id;
use crate::member::{
    Body, Change, HEARTBEAT_INTERVAL, Heartbeat, IDLE_INTERVAL, Load, Message, Slots,
};
use crate::timeline::{Stamp, Subject};

impl Instance {
    pub(super) fn receive(&mut self, now: Instant, message: Message) {
        // Ignores an instance that was configured with this instance's name.
        if message.from == self.options.identity.id {
            return;
        }
        self.clock.observe(message.stamp);
        match self.members.receive(&message, now) {
            Change::Stale => return,
            Change::Joined(slots) => {
                self.record_event(now, Subject::Member(message.from.to_string()), "joined".into());
                self.end_leases(&slots);
            }
            Change::Known => {}
        }
        let from = message.from;
        match message.body {
            Body::Heartbeat(heartbeat) => {
                self.update_leaving(now);
                self.request_newer_config(now, from, &heartbeat);
            }
            Body::MakeRoom { service, rank } => {
                self.make_room(now, &service, rank);
            }
            Body::Lend { upstream } => self.borrow_slot(now, &from, upstream),
            Body::Return { upstream } => self.reclaim_slot(now, &from, &upstream),
            Body::WantConfig => self.send_config(now, from),
            Body::Config { version, text } => self.apply_peer_config(now, version, &text),
        }
    }

    pub(super) fn expire_peers(&mut self, now: Instant) {
        for (peer, slots) in self.members.expire(now) {
            self.record_event(now, Subject::Member(peer.to_string()), "fell silent".into());
            self.end_leases(&slots);
            self.update_leaving(now);
        }
    }

    /// Ends the leases with a peer that is gone.
    fn end_leases(&mut self, slots: &Slots) {
        for (upstream, count) in slots.lent.counts() {
            if let Some(engine) = self.engines.get_mut(upstream) {
                engine.lent = engine.lent.saturating_sub(count);
            }
        }
        for (upstream, count) in slots.borrowed.counts() {
            if let Some(engine) = self.engines.get_mut(upstream) {
                engine.borrowed = engine.borrowed.saturating_sub(count);
            }
        }
    }

    /// Sends the heartbeats that are due.
    pub(super) fn send_due_heartbeats(&mut self, now: Instant) {
        let elapsed = |last: Option<Instant>| last.map_or(Duration::MAX, |at| now - at);
        let busy = self.waiting_count() > 0;
        let interval = if busy { HEARTBEAT_INTERVAL } else { IDLE_INTERVAL };
        if elapsed(self.last_heartbeat) >= interval {
            self.send_heartbeat(now);
        }
        if elapsed(self.last_other_zones_heartbeat) >= IDLE_INTERVAL {
            self.send_other_zones_heartbeat(now);
        }
    }

    /// Sends a heartbeat with this instance's loads to its own zone.
    pub(super) fn send_heartbeat(&mut self, now: Instant) {
        self.last_heartbeat = Some(now);
        let body = self.heartbeat_body(self.loads());
        self.actions.push(Action::Broadcast { to_own_zone: true, body });
    }

    /// Sends a heartbeat without loads to other zones, with which no slots are
    /// shared.
    fn send_other_zones_heartbeat(&mut self, now: Instant) {
        self.last_other_zones_heartbeat = Some(now);
        let body = self.heartbeat_body(Vec::new());
        self.actions.push(Action::Broadcast { to_own_zone: false, body });
    }

    fn heartbeat_body(&self, loads: Vec<Load>) -> Body {
        Body::Heartbeat(Heartbeat {
            config: self.version,
            draining: self.draining,
            loads,
            leaving: self.leaving_reports.iter().cloned().collect(),
        })
    }

    fn loads(&self) -> Vec<Load> {
        let mut loads: BTreeMap<(id::Service, u8), (u32, u32)> = BTreeMap::new();
        for held in self.held.values() {
            let request = &held.request;
            let counts = loads.entry((request.service.clone(), request.rank)).or_default();
            match held.phase {
                Phase::Queued => counts.0 += 1,
                Phase::Running(_) if request.repeat.may_cancel() => counts.1 += 1,
                _ => {}
            }
        }
        let load = |((service, rank), (waiting, cancellable))| Load {
            service,
            rank,
            waiting,
            cancellable,
        };
        loads.into_iter().map(load).filter(|l| l.waiting + l.cancellable > 0).collect()
    }

    /// Returns a message to peers with this instance's identity and the next
    /// time stamp.
    pub fn message(&mut self, now: Instant, body: Body) -> Message {
        let identity = &self.options.identity;
        let elapsed = now.saturating_duration_since(self.options.epoch).as_micros() as u64;
        let stamp: Stamp = self.clock.tick(self.options.epoch_micros + elapsed);
        Message {
            from: identity.id.clone(),
            incarnation: identity.incarnation,
            zone: identity.zone.clone(),
            stamp,
            body,
        }
    }

    fn request_newer_config(&mut self, now: Instant, from: id::Instance, heartbeat: &Heartbeat) {
        if heartbeat.config > self.version {
            self.send(now, from, Body::WantConfig);
        }
    }

    fn send_config(&mut self, now: Instant, to: id::Instance) {
        let Ok(text) = serde_json::to_string(&*self.document) else { return };
        let version = self.version;
        self.send(now, to, Body::Config { version, text });
    }

    fn apply_peer_config(&mut self, now: Instant, version: Version, text: &str) {
        if version <= self.version {
            return;
        }
        match Document::parse(text) {
            Ok(document) => self.apply_config(now, version, Arc::new(document)),
            Err(e) => self.record_event(now, Subject::Config(version), format!("refused: {e}")),
        }
    }

    /// Applies a configuration, unless it is not newer than the current one.
    pub(super) fn apply_config(&mut self, now: Instant, version: Version, document: Arc<Document>) {
        if version <= self.version {
            return;
        }
        self.checker.check_version(version);
        self.version = version;
        self.document = document;
        self.record_event(now, Subject::Config(version), "in force".into());
        self.reconcile_engines();
        self.schedule_all(now);
    }

    fn reconcile_engines(&mut self) {
        for entry in &self.document.upstreams {
            match self.engines.get_mut(&entry.id) {
                Some(engine) => engine.reconfigure(entry.clone()),
                None => {
                    self.engines.insert(entry.id.clone(), Engine::new(entry.clone()));
                }
            }
        }
        let is_configured = |id: &id::Upstream| self.document.upstreams.iter().any(|u| u.id == *id);
        self.engines.retain(|id, engine| {
            let is_kept = is_configured(id);
            engine.removed = !is_kept;
            is_kept || engine.running > 0
        });
    }

    /// Records an upstream's own report of whether it is leaving.
    pub(super) fn set_leaving(&mut self, now: Instant, upstream: id::Upstream, leaving: bool) {
        if leaving {
            self.leaving_reports.insert(upstream);
        } else {
            self.leaving_reports.remove(&upstream);
        }
        self.update_leaving(now);
    }

    /// Marks the upstreams that reported to this instance or to a current peer
    /// of its zone that they are leaving.
    fn update_leaving(&mut self, now: Instant) {
        let zone = &self.options.identity.zone;
        let peers = self.members.in_zone(zone).flat_map(|(_, p)| &p.heartbeat.leaving);
        let leaving: BTreeSet<_> = self.leaving_reports.iter().chain(peers).cloned().collect();
        let has_changed = |e: &&mut Engine| e.leaving != leaving.contains(&e.entry.id);
        let mut changes = Vec::new();
        for engine in self.engines.values_mut().filter(has_changed) {
            engine.leaving = !engine.leaving;
            let description = if engine.leaving { "leaving" } else { "back" };
            changes.push((engine.entry.id.to_string(), description));
        }
        for (upstream, description) in changes {
            self.record_event(now, Subject::Member(upstream), description.into());
        }
    }

    pub(super) fn update_cache(
        &mut self,
        now: Instant,
        upstream: id::Upstream,
        stored: &[u64],
        evicted: &[u64],
    ) {
        let Some(engine) = self.engines.get_mut(&upstream) else { return };
        engine.record_cached(stored, now);
        for digest in evicted {
            engine.record_evicted(*digest);
        }
    }
}
