//! A stakker actor that runs an [`Instance`] and sends it ticks.

use std::time::{Duration, Instant};

use stakker::{CX, Fwd, after, fwd};

use crate::event::{Action, Event};
use crate::instance::{Instance, Options, TICK_INTERVAL};
use crate::member::{Body, Message};

/// An instance on a stakker runtime, in real or virtual time.
///
/// ```
/// use std::time::{Duration, Instant};
/// use rosemarypond_core::actor::Node;
/// use rosemarypond_core::engine::Sharing;
/// use rosemarypond_core::id::Incarnation;
/// use rosemarypond_core::instance::{Identity, Options};
/// use stakker::{Stakker, actor, fwd_do, ret_nop};
/// let start = Instant::now();
/// let mut runtime = Stakker::new(start);
/// let identity = Identity {
///     id: "a1".parse()?,
///     incarnation: Incarnation(1),
///     zone: "accra-a".parse()?,
/// };
/// let options =
///     Options { identity, epoch: start, epoch_micros: 0, seed: 1, sharing: Sharing::Lent };
/// let sink = fwd_do!(|_action| ());
/// let _node = actor!(runtime, Node::init(options, sink), ret_nop!());
/// runtime.run(start + Duration::from_secs(1), false);
/// # Ok::<(), rosemarypond_core::id::Error>(())
/// ```
#[derive(Debug)]
pub struct Node {
    instance: Instance,
    sink: Sink,
}

struct Sink(Fwd<Action>);

impl std::fmt::Debug for Sink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Sink")
    }
}

impl Node {
    /// Starts the instance and its periodic ticks; its actions go to `sink`.
    pub fn init(cx: CX![], options: Options, sink: Fwd<Action>) -> Option<Self> {
        let mut node = Self { instance: Instance::new(options), sink: Sink(sink) };
        node.tick(cx);
        Some(node)
    }

    /// Passes an event to the instance, at the runtime's current time.
    pub fn event(&mut self, cx: CX![], event: Event) {
        self.instance.handle(cx.now(), event);
        self.send_actions();
    }

    /// The instance, for queries.
    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    /// Builds a message to peers that is stamped at `now`.
    pub fn message(&mut self, now: Instant, body: Body) -> Message {
        self.instance.message(now, body)
    }

    fn tick(&mut self, cx: CX![]) {
        self.event(cx, Event::Tick);
        after!(TICK_INTERVAL, [cx], tick());
    }

    fn send_actions(&mut self) {
        for action in self.instance.take_actions() {
            fwd!([self.sink.0], action);
        }
    }
}
