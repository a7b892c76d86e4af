//! The actor that gives a [`Scheduler`] its time.

use std::time::Duration;

use stakker::{CX, Fwd, after, fwd};

use super::scheduler::{Action, Event, Options, Scheduler, TICK_INTERVAL};

/// A scheduler on a stakker runtime, real or virtual.
pub struct Node {
    scheduler: Scheduler,
    sink: Fwd<Action>,
}

impl Node {
    /// Starts the scheduler and its ticks; its actions go to `sink`.
    pub fn init(cx: CX![], options: Options, sink: Fwd<Action>) -> Option<Self> {
        let mut node = Self { scheduler: Scheduler::new(options), sink };
        node.tick(cx);
        Some(node)
    }

    /// Takes an event at the runtime's time.
    pub fn event(&mut self, cx: CX![], event: Event) {
        self.scheduler.handle(cx.now(), event);
        for action in self.scheduler.take_actions() {
            fwd!([self.sink], action);
        }
    }

    /// The scheduler, to be asked.
    pub fn scheduler(&mut self) -> &mut Scheduler {
        &mut self.scheduler
    }

    fn tick(&mut self, cx: CX![]) {
        self.event(cx, Event::Tick);
        let interval: Duration = TICK_INTERVAL;
        after!(interval, [cx], tick());
    }
}
