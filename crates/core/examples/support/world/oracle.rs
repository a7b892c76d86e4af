//! The oracle policy, which knows all lengths and loads exactly.

use std::time::Duration;

use rosemarypond_core::id;

use super::World;

impl World {
    /// Dispatches waiting requests to free upstreams: the highest tier first, then
    /// the shortest exact time on the upstream that completes it first, if that is
    /// before its deadline.
    pub(super) fn run_oracle(&mut self) {
        loop {
            let mut best: Option<(u8, Duration, id::Request, id::Upstream)> = None;
            for id in &self.oracle {
                let caller = &self.callers[id];
                if best.as_ref().is_some_and(|b| b.0 < caller.request.rank) {
                    continue;
                }
                let zone = &self.nodes[caller.node].zone;
                let free = self.engines.iter().filter(|(u, e)| {
                    e.alive && e.running() < e.speed.slots && self.upstream_zone[*u] == *zone
                });
                let timed = free.map(|(u, e)| {
                    (e.exact_time(&caller.request, caller.tokens, self.now), u.clone())
                });
                let Some((time, upstream)) = timed.min() else { continue };
                if self.now + time > caller.request.deadline {
                    continue;
                }
                let candidate = (caller.request.rank, time, *id, upstream);
                if best.as_ref().is_none_or(|b| candidate < *b) {
                    best = Some(candidate);
                }
            }
            let Some((_, _, id, upstream)) = best else { return };
            self.oracle.retain(|r| *r != id);
            let node = self.callers[&id].node;
            let incarnation = self.nodes[node].incarnation;
            self.dispatch(node, incarnation, id, upstream);
        }
    }
}
