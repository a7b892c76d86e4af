//! Runs the scheduler and executes the actions that it decides on.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rosemarypond_core::actor::Node;
use rosemarypond_core::claim::{Ended, Record, State, Verdict, Version};
use rosemarypond_core::event::{Action, Event};
use rosemarypond_core::instance::{Instance, Options};
use rosemarypond_core::member::Body;
use rosemarypond_core::request::{Key, Request};
use rosemarypond_core::unit::Tokens;
use rosemarypond_core::{config, id};
use rosemarypond_edge::actor::Host;
use rosemarypond_edge::clock;
use slog::{Logger, info};
use stakker::{actor, ret_nop};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::answer::Answer;
use crate::peer::Links;
use crate::platform;
use crate::upstream::Target;

/// The most calls to the platform's table at once.
pub const MAX_TABLE_CALLS: usize = 8;
/// How often a drain checks whether it is complete.
const DRAIN_CHECK: Duration = Duration::from_millis(50);
/// How long after the last request has ended its answer may take to reach the
/// task that serves the caller.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// A directive of the scheduler to the task that serves a request.
#[derive(Clone, Debug)]
pub enum Directive {
    /// Send the request to this upstream.
    Dispatch(Target),
    /// Stop the upstream's work on the request.
    Cancel,
    /// Give the caller the final answer.
    Verdict {
        /// The kind of answer.
        verdict: Verdict,
        /// How long a refused caller should wait before it retries.
        retry_after: Duration,
        /// The answer that is stored under the request's key.
        replay: Option<Answer>,
    },
}

/// The resources that actions are executed on.
pub struct Environment {
    /// The platform's table.
    pub platform: platform::Client,
    /// The links to the peers.
    pub links: Links,
    /// The log of state changes.
    pub logger: Logger,
}

struct Inner {
    host: Host<Node, Action>,
    environment: Environment,
    table_calls: Semaphore,
    callers: RefCell<HashMap<id::Request, mpsc::UnboundedSender<Directive>>>,
    /// Answers to be written to the table, or read from it for a replay.
    answers: RefCell<HashMap<id::Request, Answer>>,
    config: Cell<config::Version>,
}

/// Passes events to the scheduler and executes the actions that follow.
#[derive(Clone)]
pub struct Handle(Rc<Inner>);

impl Handle {
    /// Starts the scheduler.
    pub fn start(options: Options, environment: Environment) -> Self {
        let host =
            Host::start(|stakker, sink| actor!(stakker, Node::init(options, sink), ret_nop!()));
        Self(Rc::new(Inner {
            host,
            environment,
            table_calls: Semaphore::new(MAX_TABLE_CALLS),
            callers: RefCell::default(),
            answers: RefCell::default(),
            config: Cell::default(),
        }))
    }

    /// Runs the timers until the thread ends.
    pub async fn run_timers(&self) {
        loop {
            self.run();
            self.0.host.wait_until_due().await;
        }
    }

    /// Submits a request; the receiver gets the scheduler's directives for it.
    pub fn submit(&self, request: Request) -> mpsc::UnboundedReceiver<Directive> {
        let (sender, directives) = mpsc::unbounded_channel();
        self.0.callers.borrow_mut().insert(request.id, sender);
        self.event(Event::Arrived(request));
        directives
    }

    /// Reports that a dispatched request has ended, with the answer to be stored
    /// under its key.
    pub fn report_end(
        &self,
        request: id::Request,
        how: Ended,
        tokens: Tokens,
        answer: Option<Answer>,
    ) {
        self.keep_answer(request, answer);
        self.event(Event::Ended { request, how, tokens });
    }

    /// Passes an event to the scheduler.
    pub fn event(&self, event: Event) {
        self.0.host.call(|node, cx| node.event(cx, event));
        self.run();
    }

    /// Evaluates a query on the instance's state. Returns `None` once the instance
    /// has stopped.
    pub fn ask<T>(&self, query: impl FnOnce(&Instance, Instant) -> T) -> Option<T> {
        let now = clock::now();
        self.0.host.ask(|node| query(node.instance(), now))
    }

    /// Returns the number of answers in memory that are not yet written to the table.
    pub fn kept_answer_count(&self) -> usize {
        self.0.answers.borrow().len()
    }

    /// Waits until the instance drains and holds no request any more.
    pub async fn wait_until_drained(&self) {
        let mut idle_since = None;
        loop {
            let is_drained = self.ask(|i, _| i.is_draining() && i.is_idle()).unwrap_or(true);
            let now = clock::now();
            let since = *idle_since.get_or_insert(now);
            let all_answered = self.0.callers.borrow().is_empty();
            if !is_drained {
                idle_since = None;
            } else if now > since && all_answered || now.duration_since(since) > DELIVERY_TIMEOUT {
                return;
            }
            sleep(DRAIN_CHECK).await;
        }
    }

    fn run(&self) {
        for action in self.0.host.run() {
            self.execute(action);
        }
        self.log_config();
    }

    fn log_config(&self) {
        let version = self.ask(|instance, _| instance.config().0).unwrap_or_default();
        if self.0.config.replace(version) != version {
            info!(self.0.environment.logger, "configuration in force"; "version" => version.0);
        }
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Dispatch { request, upstream } => self.dispatch(request, &upstream),
            Action::Cancel { request } => self.send_directive(request, Directive::Cancel),
            Action::Answer { request, verdict, retry_after } => {
                self.answer(request, verdict, retry_after);
            }
            Action::Read { request, key } => self.read(request, key),
            Action::Write { request, key, expected, record } => {
                self.write(request, key, expected, record);
            }
            Action::Send { to, message } => self.0.environment.links.send(&to, &message),
            Action::Broadcast { to_own_zone, body } => self.broadcast(to_own_zone, body),
        }
    }

    fn dispatch(&self, request: id::Request, upstream: &id::Upstream) {
        let target = self.ask(|instance, _| {
            let engine = instance.engines().find(|e| e.entry.id == *upstream)?;
            let (address, kind) = (engine.entry.address, engine.entry.kind);
            Some(Target { upstream: engine.entry.id.clone(), address, kind })
        });
        if let Some(target) = target.flatten() {
            self.send_directive(request, Directive::Dispatch(target));
        }
    }

    fn answer(&self, request: id::Request, verdict: Verdict, retry_after: Duration) {
        let kept = match verdict {
            // The write of the key's record takes it.
            Verdict::Deliver => None,
            Verdict::Replay | Verdict::Refuse(..) => self.0.answers.borrow_mut().remove(&request),
        };
        let replay = kept.filter(|_| verdict == Verdict::Replay);
        self.send_directive(request, Directive::Verdict { verdict, retry_after, replay });
        self.0.callers.borrow_mut().remove(&request);
    }

    fn keep_answer(&self, request: id::Request, answer: Option<Answer>) {
        if let Some(answer) = answer {
            self.0.answers.borrow_mut().insert(request, answer);
        }
    }

    fn read(&self, request: id::Request, key: Key) {
        let handle = self.clone();
        spawn_local(async move {
            let _permit = handle.0.table_calls.acquire().await;
            let (answer, kept) = handle.0.environment.platform.read_record(&key).await;
            handle.keep_answer(request, kept);
            handle.event(Event::Read { request, answer });
        });
    }

    fn write(&self, request: id::Request, key: Key, expected: Version, record: Record) {
        let kept = match record.state {
            State::Done => self.0.answers.borrow_mut().remove(&request),
            State::Closed | State::Dispatched => None,
        };
        let handle = self.clone();
        spawn_local(async move {
            let _permit = handle.0.table_calls.acquire().await;
            let platform = &handle.0.environment.platform;
            let answer = platform.write_record(&key, expected, record, kept.clone()).await;
            // Kept for another attempt of the write, which the event may start.
            handle.keep_answer(request, kept);
            handle.event(Event::Written { request, answer });
            handle.0.answers.borrow_mut().remove(&request);
        });
    }

    fn broadcast(&self, to_own_zone: bool, body: Body) {
        let now = clock::now();
        if let Some(message) = self.0.host.ask(|node| node.message(now, body)) {
            self.0.environment.links.broadcast(to_own_zone, &message);
        }
    }

    fn send_directive(&self, request: id::Request, directive: Directive) {
        if let Some(caller) = self.0.callers.borrow().get(&request) {
            // The task may have ended already.
            let _ = caller.send(directive);
        }
    }
}
