//! Messages between instances, the table and the platform.

use std::time::Duration;

use rand::Rng;
use rosemarypond_core::claim::{Read, Write};
use rosemarypond_core::event::Event;
use rosemarypond_core::id;
use rosemarypond_core::member::{Body, Message};

use super::{Decider, Occurrence, PendingWrite, World};

impl World {
    pub(super) fn draw_table_delay(&mut self) -> Duration {
        let base = self.conditions.table_delay;
        base + base.mul_f64(self.rng.random_range(0.0..1.0))
    }

    pub(super) fn can_reach_platform(&self, node: usize) -> bool {
        !self.cut_zones.contains(&self.nodes[node].zone)
    }

    pub(super) fn read(
        &mut self,
        node: usize,
        incarnation: u64,
        request: id::Request,
        key: &rosemarypond_core::request::Key,
    ) {
        let lost =
            self.rng.random_bool(self.conditions.lost_answers) || !self.can_reach_platform(node);
        let answer = if lost { Read::Lost } else { self.table.read(key) };
        let delay = self.draw_table_delay();
        let event = Box::new(Event::Read { request, answer });
        self.after(delay, Occurrence::Deliver { node, incarnation, event });
    }

    pub(super) fn write(
        &mut self,
        node: usize,
        incarnation: u64,
        request: id::Request,
        write: PendingWrite,
    ) {
        if !self.can_reach_platform(node) {
            self.report_written(node, incarnation, request, Write::Lost);
            return;
        }
        // A write whose answer is lost may still take effect, and late.
        if write.reports_result && self.rng.random_bool(self.conditions.lost_answers) {
            self.report_written(node, incarnation, request, Write::Lost);
            if self.rng.random_bool(0.7) {
                let late = PendingWrite { reports_result: false, ..write };
                let delay = Duration::from_millis(self.rng.random_range(0..3_000));
                self.after(delay, Occurrence::Write { node, incarnation, request, write: late });
            }
            return;
        }
        let answer = self.table.write(&write.key, write.expected, write.record);
        if write.reports_result {
            self.report_written(node, incarnation, request, answer);
        }
    }

    pub(super) fn report_written(
        &mut self,
        node: usize,
        incarnation: u64,
        request: id::Request,
        answer: Write,
    ) {
        let event = Box::new(Event::Written { request, answer });
        let delay = self.conditions.table_delay;
        self.after(delay, Occurrence::Deliver { node, incarnation, event });
    }

    pub(super) fn are_linked(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.nodes[a].zone, &self.nodes[b].zone);
        a == b || !(self.cut_zones.contains(a) || self.cut_zones.contains(b))
    }

    pub(super) fn send(&mut self, from: usize, to: &id::Instance, message: Message) {
        let Some(to) = self.nodes.iter().position(|n| n.id == *to) else { return };
        if !self.are_linked(from, to) || self.rng.random_bool(self.conditions.lost_messages) {
            return;
        }
        let incarnation = self.nodes[to].incarnation;
        let delay = self.conditions.one_way_delay.mul_f64(self.rng.random_range(0.5..2.0));
        let event = Box::new(Event::Received(message));
        self.after(delay, Occurrence::Deliver { node: to, incarnation, event });
    }

    pub(super) fn broadcast(&mut self, from: usize, to_own_zone: bool, body: Body) {
        let now = self.now;
        let Some(Decider::Instance(instance)) = &mut self.nodes[from].decider else { return };
        let message = instance.message(now, body);
        let is_recipient =
            |n: &usize| *n != from && (self.nodes[*n].zone == self.nodes[from].zone) == to_own_zone;
        let others: Vec<_> =
            (0..self.nodes.len()).filter(is_recipient).map(|n| self.nodes[n].id.clone()).collect();
        for to in others {
            self.send(from, &to, message.clone());
        }
    }

    pub(super) fn poll(&mut self, node: usize, incarnation: u64) {
        let is_running =
            self.nodes[node].incarnation == incarnation && self.nodes[node].decider.is_some();
        if !is_running {
            return;
        }
        if self.can_reach_platform(node)
            && !self.table.down
            && let Some((version, document)) = self.table.config.clone()
        {
            self.table.reads += 1;
            let event = Box::new(Event::Configured { version, document });
            let delay = self.conditions.table_delay;
            self.after(delay, Occurrence::Deliver { node, incarnation, event });
        }
        let wait = Duration::from_millis(self.rng.random_range(1_500..2_500));
        self.after(wait, Occurrence::PollConfig { node, incarnation });
    }

    pub(super) fn publish(&mut self, upstream: &id::Upstream) {
        let Some(engine) = self.engines.get_mut(upstream) else { return };
        let events = std::mem::take(&mut engine.published);
        if events.is_empty() {
            return;
        }
        let delivered: Vec<_> = events.into_iter().filter(|_| self.rng.random_bool(0.85)).collect();
        let pick =
            |stored| delivered.iter().filter(|e| e.0 == stored).map(|e| e.1).collect::<Vec<_>>();
        let (stored, evicted) = (pick(true), pick(false));
        let zone = self.upstream_zone[upstream].clone();
        for node in 0..self.nodes.len() {
            if self.nodes[node].zone == zone {
                let (upstream, stored, evicted) =
                    (upstream.clone(), stored.clone(), evicted.clone());
                self.handle(node, Event::Cache { upstream, stored, evicted });
            }
        }
    }
}
