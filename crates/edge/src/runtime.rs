//! Runs the scheduler next to the network I/O on one thread, and executes the
//! actions that it decides on.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rosemarypond_core::entry::baseline;
use rosemarypond_core::entry::call::{Call, Ended, Origin, Reason};
use rosemarypond_core::entry::gossip::{Begun, Cause, Gossip};
use rosemarypond_core::entry::node::Node;
use rosemarypond_core::entry::rollout::{self, Step};
use rosemarypond_core::entry::scheduler::{Action, Audience, Event, Options, Scheduler, Spill};
use rosemarypond_core::entry::upstream::Registration;
use rosemarypond_core::entry::watermark::Watermark;
use rosemarypond_core::id;
use slog::{Logger, info, warn};
use stakker::{actor, ret_nop};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::actor::Host;
use crate::clock;

/// How long the first event of a stream waits until the stream is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// What is to be done with a request next.
#[derive(Clone, Debug)]
pub enum Directive {
    /// Send it to the upstream.
    Send {
        /// The upstream.
        upstream: Registration,
        /// How often the request was sent before.
        sent_before: u32,
        /// The expected time to the first token or byte.
        expected: Duration,
        /// The number of requests that run on the upstream, as far as known.
        running: u32,
    },
    /// Have a peer send it to an upstream.
    Delegate {
        /// The peer.
        peer: id::Instance,
        /// Upstreams on which an attempt failed.
        excluded: Vec<id::Upstream>,
        /// Which upstreams may answer it.
        origin: Origin,
    },
    /// Refuse it.
    Refuse {
        /// Why.
        reason: Reason,
        /// How long the caller is asked to wait before a retry.
        retry_after: Duration,
    },
}

/// Gossip to be sent to peers.
#[derive(Clone, Debug)]
pub struct Broadcast {
    /// The peers that receive it.
    pub audience: Audience,
    /// The gossip.
    pub gossip: Gossip,
}

/// What the scheduler asks for besides directives.
pub struct Outgoing {
    /// Gossip to be sent.
    pub gossip: mpsc::UnboundedReceiver<Broadcast>,
    /// Upstreams to which a connection is to be opened, to find out whether that is
    /// possible.
    pub probes: mpsc::UnboundedReceiver<Registration>,
    /// What is to be read or written in the shared store.
    pub store: mpsc::UnboundedReceiver<StoreCall>,
    /// The streams that are to be recorded there.
    pub records: mpsc::UnboundedReceiver<Record>,
    /// What is to be read or written of rollouts there.
    pub rollouts: mpsc::UnboundedReceiver<RolloutCall>,
}

/// What is to be read or written of rollouts in the shared store.
#[derive(Debug)]
pub enum RolloutCall {
    /// Read the rows.
    Read,
    /// Write a row, and then read the rows.
    Write(rollout::Change),
    /// Count that a rollout has reached a step.
    Reached(Step),
    /// Count that a version proved to be bad.
    Condemned,
}

/// What is to be read or written of streams in the shared store.
#[derive(Debug)]
pub enum StoreCall {
    /// Read the baselines.
    ReadBaselines,
    /// Read the recorded streams, and then the baselines.
    ReadStreams,
    /// Write the baseline of a service.
    SetBaseline(baseline::Change),
}

/// Streams that are to be recorded in the shared store.
#[derive(Debug)]
pub struct Record {
    /// The streams.
    pub begun: Begun,
    /// Is told once they are recorded, where somebody waits for that.
    pub done: Option<oneshot::Sender<()>>,
}

struct Inner {
    host: Host<Node, Action>,
    senders: RefCell<HashMap<id::Request, mpsc::UnboundedSender<Directive>>>,
    gossip: mpsc::UnboundedSender<Broadcast>,
    probes: mpsc::UnboundedSender<Registration>,
    store: mpsc::UnboundedSender<StoreCall>,
    records: mpsc::UnboundedSender<Record>,
    rollouts: mpsc::UnboundedSender<RolloutCall>,
    log: Logger,
    watermark: watch::Sender<Watermark>,
}

/// Passes events to the scheduler and executes the actions that follow.
#[derive(Clone)]
pub struct Handle(Rc<Inner>);

impl Handle {
    /// Starts the scheduler; returns what it asks for besides directives.
    pub fn start(options: Options, log: Logger) -> (Self, Outgoing) {
        let host =
            Host::start(|stakker, sink| actor!(stakker, Node::init(options, sink), ret_nop!()));
        let (gossip, outgoing) = mpsc::unbounded_channel();
        let watermark = watch::channel(Watermark::default()).0;
        let (probes, probed) = mpsc::unbounded_channel();
        let senders = RefCell::default();
        let (store, calls) = mpsc::unbounded_channel();
        let (records, recorded) = mpsc::unbounded_channel();
        let (rollouts, rolled) = mpsc::unbounded_channel();
        let inner =
            Inner { host, senders, gossip, probes, store, records, rollouts, log, watermark };
        let outgoing = Outgoing {
            gossip: outgoing,
            probes: probed,
            store: calls,
            records: recorded,
            rollouts: rolled,
        };
        (Self(Rc::new(inner)), outgoing)
    }

    /// Runs the scheduler's timers until the thread ends.
    pub async fn run_timers(&self) {
        loop {
            self.run();
            self.0.host.wait_until_due().await;
        }
    }

    /// Passes an event to the scheduler.
    pub fn event(&self, event: Event) {
        self.0.host.call(|node, cx| node.event(cx, event));
        self.run();
    }

    /// Submits a request, and returns the scheduler's directives for it.
    pub fn submit(&self, call: Call) -> Directives {
        let (sender, receiver) = mpsc::unbounded_channel();
        let id = call.id;
        self.0.senders.borrow_mut().insert(id, sender);
        self.event(Event::Arrived(call));
        Directives { id, handle: self.clone(), receiver, has_ended: false }
    }

    /// Returns a receiver of what is known of the shared store.
    pub fn watermark(&self) -> watch::Receiver<Watermark> {
        self.0.watermark.subscribe()
    }

    /// Queries the scheduler; returns `None` after its actor has stopped.
    pub fn ask<T>(&self, query: impl FnOnce(&mut Scheduler) -> T) -> Option<T> {
        self.0.host.ask(|node| query(node.scheduler()))
    }

    fn run(&self) {
        for action in self.0.host.run() {
            self.execute(action);
        }
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Send { request, upstream, sent_before, expected, running } => {
                self.send_directive(
                    request,
                    Directive::Send { upstream, sent_before, expected, running },
                );
            }
            Action::Delegate { request, peer, excluded, origin } => {
                self.send_directive(request, Directive::Delegate { peer, excluded, origin });
            }
            Action::ReadBaselines => drop(self.0.store.send(StoreCall::ReadBaselines)),
            Action::ReadStreams => drop(self.0.store.send(StoreCall::ReadStreams)),
            Action::SetBaseline(change) => {
                drop(self.0.store.send(StoreCall::SetBaseline(change)));
            }
            Action::RecordStreams(begun) => {
                for begun in begun {
                    drop(self.0.records.send(Record { begun, done: None }));
                }
            }
            Action::ReadRollouts => drop(self.0.rollouts.send(RolloutCall::Read)),
            Action::WriteRollout(change) => {
                drop(self.0.rollouts.send(RolloutCall::Write(change)));
            }
            Action::ReportRollout { service, to, step, before } => {
                info!(self.0.log, "rollout has reached a step"; "service" => service.as_str(),
                    "to" => to.as_str(), "step" => step.as_str(),
                    "before" => before.map(Step::as_str));
                drop(self.0.rollouts.send(RolloutCall::Reached(step)));
            }
            Action::ReportCondemned { service, to } => {
                warn!(self.0.log, "version proved to be bad; it gets no further requests";
                    "service" => service.as_str(), "to" => to.as_str());
                drop(self.0.rollouts.send(RolloutCall::Condemned));
            }
            Action::Probe(upstream) => drop(self.0.probes.send(upstream)),
            Action::Refuse { request, reason, retry_after } => {
                self.send_directive(request, Directive::Refuse { reason, retry_after });
            }
            Action::ReportQuarantine(Cause::Parts(parts)) => {
                let parts: Vec<_> = parts.iter().map(|part| part.to_string()).collect();
                warn!(self.0.log, "prompts are quarantined, as they crash upstreams";
                    "parts" => parts.join(","));
            }
            Action::ReportQuarantine(Cause::Request(fingerprint)) => {
                warn!(self.0.log, "a request is quarantined, as it crashes upstreams";
                    "fingerprint" => %fingerprint);
            }
            Action::ReportSpill(spill) => self.report_spill(spill),
            Action::UpdateWatermark(watermark) => drop(self.0.watermark.send_replace(watermark)),
            // The receiver lives as long as the thread.
            Action::SendGossip { audience, gossip } => {
                drop(self.0.gossip.send(Broadcast { audience, gossip: *gossip }));
            }
        }
    }

    fn report_spill(&self, spill: Spill) {
        match spill {
            Spill::Lending(is_lending) => {
                info!(self.0.log, "lending of engines to other zones changed";
                    "lending" => is_lending);
            }
            Spill::Borrowing(is_borrowing) => {
                info!(self.0.log, "use of engines of other zones changed";
                    "borrowing" => is_borrowing);
            }
        }
    }

    fn send_directive(&self, request: id::Request, directive: Directive) {
        if let Some(sender) = self.0.senders.borrow().get(&request) {
            // The task may have ended already; it reported that when it dropped its
            // `Directives`.
            let _ = sender.send(directive);
        }
    }
}

/// The directives for one request; unless the request has ended, dropping them
/// reports to the scheduler that it was abandoned.
pub struct Directives {
    id: id::Request,
    handle: Handle,
    receiver: mpsc::UnboundedReceiver<Directive>,
    has_ended: bool,
}

impl Directives {
    /// Waits for the next directive.
    pub async fn next(&mut self) -> Directive {
        let directive = self.receiver.recv().await;
        let directive = directive.expect("the sender is removed only when the receiver is dropped");
        if matches!(directive, Directive::Refuse { .. }) {
            self.has_ended = true;
        }
        directive
    }

    /// Reports the first byte or event of the answer to the scheduler.
    pub fn report_first_byte(&self) {
        self.handle.event(Event::FirstByte(self.id));
    }

    /// Reports to the scheduler that the connection of the current attempt ended
    /// before its answer was complete, this long after the head of the answer.
    pub fn report_connection_lost(&self, answering: Option<Duration>) {
        self.handle.event(Event::ConnectionLost(self.id, answering));
    }

    /// Has the stream that the first event of the answer begins recorded in the shared
    /// store, if that is necessary; returns whether the event may be passed on.
    pub async fn record_stream(&self) -> bool {
        let unrecorded = self.handle.ask(|s| s.unrecorded(clock::now(), self.id)).flatten();
        let Some((stream, release)) = unrecorded else { return true };
        let (done, recorded) = oneshot::channel();
        let begun = Begun { release, streams: vec![stream] };
        drop(self.handle.0.records.send(Record { begun, done: Some(done) }));
        matches!(timeout(RECORD_TIMEOUT, recorded).await, Ok(Ok(())))
    }

    /// Reports to the scheduler which upstream a peer sent the request to.
    pub fn report_delegated_send(&self, upstream: id::Upstream, release: Option<id::Release>) {
        self.handle.event(Event::DelegatedSend(self.id, upstream, release));
    }

    /// Whether the scheduler would send the request to another upstream at once
    /// if the current attempt were abandoned.
    pub fn can_reroute(&self) -> bool {
        let can_reroute = self.handle.ask(|s| s.can_reroute(clock::now(), self.id));
        can_reroute.unwrap_or_default()
    }

    /// Reports to the scheduler how an attempt ended.
    pub fn report_end(&mut self, how: Ended) {
        let is_last =
            matches!(how, Ended::Whole { .. } | Ended::Cut | Ended::TimedOut | Ended::Abandoned);
        if is_last {
            self.has_ended = true;
        }
        self.handle.event(Event::Ended(self.id, how));
    }
}

impl Drop for Directives {
    fn drop(&mut self) {
        self.handle.0.senders.borrow_mut().remove(&self.id);
        if !self.has_ended {
            self.handle.event(Event::Ended(self.id, Ended::Abandoned));
        }
    }
}
