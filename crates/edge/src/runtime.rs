//! The scheduler's actor beside the borders on one thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rosemarypond_core::entry::call::{Call, Ended, Reason};
use rosemarypond_core::entry::gossip::Gossip;
use rosemarypond_core::entry::node::Node;
use rosemarypond_core::entry::scheduler::{Action, Audience, Event, Options, Scheduler};
use rosemarypond_core::entry::upstream::Registration;
use rosemarypond_core::entry::watermark::Watermark;
use rosemarypond_core::id;
use stakker::{actor, ret_nop};
use tokio::sync::{mpsc, watch};

use crate::actor::Host;
use crate::clock;

/// What a request is to do next.
#[derive(Clone, Debug)]
pub enum Directive {
    /// Go to the upstream.
    Send {
        /// The upstream.
        upstream: Registration,
        /// How often the request was sent before.
        sent_before: u32,
        /// The expected time to the first token or byte.
        expected: Duration,
        /// Requests that run on the upstream, as far as known.
        running: u32,
    },
    /// Answer the caller.
    Refuse {
        /// Why.
        reason: Reason,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// A message to peers.
#[derive(Clone, Debug)]
pub struct Broadcast {
    /// Who hears it.
    pub audience: Audience,
    /// What they hear.
    pub gossip: Gossip,
}

struct Inner {
    host: Host<Node, Action>,
    waiters: RefCell<HashMap<id::Request, mpsc::UnboundedSender<Directive>>>,
    gossip: mpsc::UnboundedSender<Broadcast>,
    news: watch::Sender<Watermark>,
}

/// Gives events to the scheduler and carries its actions to those concerned.
#[derive(Clone)]
pub struct Handle(Rc<Inner>);

impl Handle {
    /// Starts the scheduler; what it tells peers comes out of the receiver.
    pub fn start(options: Options) -> (Self, mpsc::UnboundedReceiver<Broadcast>) {
        let host =
            Host::start(|stakker, sink| actor!(stakker, Node::init(options, sink), ret_nop!()));
        let (gossip, told) = mpsc::unbounded_channel();
        let news = watch::channel(Watermark::default()).0;
        let inner = Inner { host, waiters: RefCell::default(), gossip, news };
        (Self(Rc::new(inner)), told)
    }

    /// Runs the scheduler's timers until the thread ends.
    pub async fn run_timers(&self) {
        loop {
            self.run();
            self.0.host.wait_until_due().await;
        }
    }

    /// Gives an event to the scheduler.
    pub fn event(&self, event: Event) {
        self.0.host.call(|node, cx| node.event(cx, event));
        self.run();
    }

    /// Hands a request over; its directives come out of the receiver.
    pub fn arrived(&self, call: Call) -> Directives {
        let (sender, receiver) = mpsc::unbounded_channel();
        let id = call.id;
        self.0.waiters.borrow_mut().insert(id, sender);
        self.event(Event::Arrived(call));
        Directives { id, handle: self.clone(), receiver, is_over: false }
    }

    /// What peers know of the store that all share.
    pub fn watermark(&self) -> watch::Receiver<Watermark> {
        self.0.news.subscribe()
    }

    /// Asks the scheduler.
    pub fn ask<T>(&self, look: impl FnOnce(&mut Scheduler) -> T) -> Option<T> {
        self.0.host.ask(|node| look(node.scheduler()))
    }

    fn run(&self) {
        for action in self.0.host.run() {
            self.carry_out(action);
        }
    }

    fn carry_out(&self, action: Action) {
        match action {
            Action::Send { request, upstream, sent_before, expected, running } => {
                self.direct(request, Directive::Send { upstream, sent_before, expected, running });
            }
            Action::Refuse { request, reason, retry_after } => {
                self.direct(request, Directive::Refuse { reason, retry_after });
            }
            Action::UpdateWatermark(news) => drop(self.0.news.send_replace(news)),
            // The receiver lives as long as the thread.
            Action::SendGossip { audience, gossip } => {
                drop(self.0.gossip.send(Broadcast { audience, gossip }));
            }
        }
    }

    fn direct(&self, request: id::Request, directive: Directive) {
        if let Some(waiter) = self.0.waiters.borrow().get(&request) {
            // A request whose task ended reports that itself.
            let _ = waiter.send(directive);
        }
    }
}

/// The directives for one request; dropping it tells the scheduler that the
/// caller left, unless the request ended before.
pub struct Directives {
    id: id::Request,
    handle: Handle,
    receiver: mpsc::UnboundedReceiver<Directive>,
    is_over: bool,
}

impl Directives {
    /// Waits for the next directive.
    pub async fn next(&mut self) -> Directive {
        let directive = self.receiver.recv().await;
        let directive = directive.expect("the sender is dropped with the receiver");
        if matches!(directive, Directive::Refuse { .. }) {
            self.is_over = true;
        }
        directive
    }

    /// Notes the first byte or event of the answer.
    pub fn first(&self) {
        self.handle.event(Event::FirstByte(self.id));
    }

    /// Whether the request would be sent elsewhere at once if its upstream
    /// were given up.
    pub fn may_move(&self) -> bool {
        let may_move = self.handle.ask(|s| s.can_reroute(clock::now(), self.id));
        may_move.unwrap_or_default()
    }

    /// Notes how a try ended.
    pub fn ended(&mut self, how: Ended) {
        if matches!(how, Ended::Whole { .. } | Ended::Cut | Ended::Abandoned) {
            self.is_over = true;
        }
        self.handle.event(Event::Ended(self.id, how));
    }
}

impl Drop for Directives {
    fn drop(&mut self) {
        self.handle.0.waiters.borrow_mut().remove(&self.id);
        if !self.is_over {
            self.handle.event(Event::Ended(self.id, Ended::Abandoned));
        }
    }
}
