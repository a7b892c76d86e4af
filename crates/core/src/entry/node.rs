//! The actor that runs a [`Scheduler`] and its timer.

use std::time::Duration;

use stakker::{CX, Fwd, after, fwd};

use super::scheduler::{Action, Event, Options, Scheduler, TICK_INTERVAL};

/// A scheduler on a stakker runtime, with the real or a virtual clock.
pub struct Node {
    scheduler: Scheduler,
    sink: Fwd<Action>,
}

impl Node {
    /// Starts the scheduler and its timer; its actions go to `sink`.
    pub fn init(cx: CX![], options: Options, sink: Fwd<Action>) -> Option<Self> {
        let mut node = Self { scheduler: Scheduler::new(options), sink };
        node.tick(cx);
        Some(node)
    }

    /// Handles an event at the runtime's current time.
    pub fn event(&mut self, cx: CX![], event: Event) {
        self.scheduler.handle(cx.now(), event);
        for action in self.scheduler.take_actions() {
            fwd!([self.sink], action);
        }
    }

    /// The scheduler, for queries.
    pub fn scheduler(&mut self) -> &mut Scheduler {
        &mut self.scheduler
    }

    fn tick(&mut self, cx: CX![]) {
        self.event(cx, Event::Tick);
        let interval: Duration = TICK_INTERVAL;
        after!(interval, [cx], tick());
    }
}
