//! Peers, configuration and upstreams as they come and go.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Instance, Stage};
use crate::config::{Document, Version};
use crate::engine::Engine;
use crate::event::Action;
use crate::id;
use crate::member::{
    Body, Change, HEARTBEAT_INTERVAL, Heartbeat, IDLE_INTERVAL, Load, Message, Slots,
};
use crate::timeline::{Stamp, Subject};

impl Instance {
    pub(super) fn heard(&mut self, now: Instant, message: Message) {
        // Another instance that was given this one's name is no peer.
        if message.from == self.options.identity.id {
            return;
        }
        self.clock.observe(message.stamp);
        match self.members.receive(&message, now) {
            Change::Stale => return,
            Change::Joined(slots) => {
                self.note(now, Subject::Member(message.from.to_string()), "joined".into());
                self.settle_slots(&slots);
            }
            Change::Known => {}
        }
        let from = message.from;
        match message.body {
            Body::Heartbeat(heartbeat) => {
                self.follow_leaving(now);
                self.compare_config(now, from, &heartbeat);
            }
            Body::MakeRoom { service, rank } => {
                self.make_room(now, &service, rank);
            }
            Body::Lend { upstream } => self.borrow(now, &from, upstream),
            Body::Return { upstream } => self.take_back(now, &from, &upstream),
            Body::WantConfig => self.send_config(now, from),
            Body::Config { version, text } => self.config_from_peer(now, version, &text),
        }
    }

    pub(super) fn expire_peers(&mut self, now: Instant) {
        for (peer, slots) in self.members.expire(now) {
            self.note(now, Subject::Member(peer.to_string()), "fell silent".into());
            self.settle_slots(&slots);
            self.follow_leaving(now);
        }
    }

    /// Ends what a peer that is gone had lent or borrowed.
    fn settle_slots(&mut self, slots: &Slots) {
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

    /// Tells peers how this instance is, where it is time to.
    pub(super) fn beat(&mut self, now: Instant) {
        let since = |last: Option<Instant>| last.map_or(Duration::MAX, |at| now - at);
        let busy = self.waiting_count() > 0;
        let interval = if busy { HEARTBEAT_INTERVAL } else { IDLE_INTERVAL };
        if since(self.last_heartbeat) >= interval {
            self.heartbeat(now);
        }
        if since(self.last_far_heartbeat) >= IDLE_INTERVAL {
            self.far_heartbeat(now);
        }
    }

    /// Tells the own zone what this instance holds.
    pub(super) fn heartbeat(&mut self, now: Instant) {
        self.last_heartbeat = Some(now);
        let body = self.heartbeat_with(self.loads());
        self.actions.push(Action::Broadcast { own_zone: true, body });
    }

    /// Tells other zones of the configuration; slots are not shared with them.
    fn far_heartbeat(&mut self, now: Instant) {
        self.last_far_heartbeat = Some(now);
        let body = self.heartbeat_with(Vec::new());
        self.actions.push(Action::Broadcast { own_zone: false, body });
    }

    fn heartbeat_with(&self, loads: Vec<Load>) -> Body {
        Body::Heartbeat(Heartbeat {
            config: self.version,
            draining: self.draining,
            loads,
            leaving: self.reports.iter().cloned().collect(),
        })
    }

    fn loads(&self) -> Vec<Load> {
        let mut loads: BTreeMap<(id::Service, u8), (u32, u32)> = BTreeMap::new();
        for held in self.held.values() {
            let request = &held.request;
            let counts = loads.entry((request.service.clone(), request.rank)).or_default();
            match held.stage {
                Stage::Queued => counts.0 += 1,
                Stage::Running(_) if request.repeat.may_cancel() => counts.1 += 1,
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

    /// Wraps what is to be said to peers.
    pub fn message(&mut self, now: Instant, body: Body) -> Message {
        let identity = &self.options.identity;
        let since = now.saturating_duration_since(self.options.epoch).as_micros() as u64;
        let stamp: Stamp = self.clock.tick(self.options.epoch_micros + since);
        Message {
            from: identity.id.clone(),
            incarnation: identity.incarnation,
            zone: identity.zone.clone(),
            stamp,
            body,
        }
    }

    fn compare_config(&mut self, now: Instant, from: id::Instance, heartbeat: &Heartbeat) {
        if heartbeat.config > self.version {
            self.send(now, from, Body::WantConfig);
        }
    }

    fn send_config(&mut self, now: Instant, to: id::Instance) {
        let Ok(text) = serde_json::to_string(&*self.document) else { return };
        let version = self.version;
        self.send(now, to, Body::Config { version, text });
    }

    fn config_from_peer(&mut self, now: Instant, version: Version, text: &str) {
        if version <= self.version {
            return;
        }
        match Document::parse(text) {
            Ok(document) => self.configured(now, version, Arc::new(document)),
            Err(e) => self.note(now, Subject::Config(version), format!("refused: {e}")),
        }
    }

    /// Moves up to a version; an older one is left alone.
    pub(super) fn configured(&mut self, now: Instant, version: Version, document: Arc<Document>) {
        if version <= self.version {
            return;
        }
        self.checker.check_version(version);
        self.version = version;
        self.document = document;
        self.note(now, Subject::Config(version), "in force".into());
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
        let listed = |id: &id::Upstream| self.document.upstreams.iter().any(|u| u.id == *id);
        self.engines.retain(|id, engine| {
            let stays = listed(id);
            engine.removed = !stays;
            stays || engine.running > 0
        });
    }

    /// Takes an upstream's own report of whether it leaves.
    pub(super) fn leaving(&mut self, now: Instant, upstream: id::Upstream, leaving: bool) {
        if leaving {
            self.reports.insert(upstream);
        } else {
            self.reports.remove(&upstream);
        }
        self.follow_leaving(now);
    }

    /// Marks the upstreams that told this instance, or a peer of its zone
    /// that is heard, that they leave.
    fn follow_leaving(&mut self, now: Instant) {
        let zone = &self.options.identity.zone;
        let peers = self.members.in_zone(zone).flat_map(|(_, p)| &p.heartbeat.leaving);
        let leaving: BTreeSet<_> = self.reports.iter().chain(peers).cloned().collect();
        let changed = |e: &&mut Engine| e.leaving != leaving.contains(&e.entry.id);
        let mut notes = Vec::new();
        for engine in self.engines.values_mut().filter(changed) {
            engine.leaving = !engine.leaving;
            let what = if engine.leaving { "leaving" } else { "back" };
            notes.push((engine.entry.id.to_string(), what));
        }
        for (upstream, what) in notes {
            self.note(now, Subject::Member(upstream), what.into());
        }
    }

    pub(super) fn cache(
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
