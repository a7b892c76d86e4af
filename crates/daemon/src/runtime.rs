//! The decisions of an instance, and what carries them out.

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

/// How many calls of the table run at once.
pub const TABLE_CALLS: usize = 8;
/// How often it is looked whether a drain is over.
const DRAIN_CHECK: Duration = Duration::from_millis(50);
/// How long calls may take to tell their callers after the last one ended.
const LAST_WORDS: Duration = Duration::from_secs(5);

/// What becomes of a request, told to the task that holds its caller.
#[derive(Clone, Debug)]
pub enum Note {
    /// It goes to this upstream.
    Dispatch(Target),
    /// Its upstream's work is to be stopped.
    Cancel,
    /// Its caller's final answer.
    Verdict {
        /// The answer.
        verdict: Verdict,
        /// When a refused caller may come back.
        retry_after: Duration,
        /// The answer that is kept under its key.
        replay: Option<Answer>,
    },
}

/// What the decisions work with.
pub struct Border {
    /// The platform's table.
    pub platform: platform::Client,
    /// The links to the peers.
    pub links: Links,
    /// Where changes of state are written.
    pub logger: Logger,
}

struct Inner {
    host: Host<Node, Action>,
    border: Border,
    table_calls: Semaphore,
    callers: RefCell<HashMap<id::Request, mpsc::UnboundedSender<Note>>>,
    answers: RefCell<HashMap<id::Request, Answer>>,
    config: Cell<config::Version>,
}

/// Gives events to the decisions and carries their actions out.
#[derive(Clone)]
pub struct Handle(Rc<Inner>);

impl Handle {
    /// Starts the decisions.
    pub fn start(options: Options, border: Border) -> Self {
        let host =
            Host::start(|stakker, sink| actor!(stakker, Node::init(options, sink), ret_nop!()));
        Self(Rc::new(Inner {
            host,
            border,
            table_calls: Semaphore::new(TABLE_CALLS),
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

    /// Hands over a request; what becomes of it comes out of the receiver.
    pub fn arrived(&self, request: Request) -> mpsc::UnboundedReceiver<Note> {
        let (sender, notes) = mpsc::unbounded_channel();
        self.0.callers.borrow_mut().insert(request.id, sender);
        self.event(Event::Arrived(request));
        notes
    }

    /// Tells that a dispatched request ended, with the answer to be kept.
    pub fn ended(&self, request: id::Request, how: Ended, tokens: Tokens, answer: Option<Answer>) {
        self.keep(request, answer);
        self.event(Event::Ended { request, how, tokens });
    }

    /// Hands over an event.
    pub fn event(&self, event: Event) {
        self.0.host.call(|node, cx| node.event(cx, event));
        self.run();
    }

    /// Asks the instance something; none where it has stopped.
    pub fn ask<T>(&self, question: impl FnOnce(&Instance, Instant) -> T) -> Option<T> {
        let now = clock::now();
        self.0.host.ask(|node| question(node.instance(), now))
    }

    /// How many answers are kept until they are written to the table.
    pub fn kept_count(&self) -> usize {
        self.0.answers.borrow().len()
    }

    /// Waits until the instance was told to drain and holds nothing any more.
    pub async fn drained(&self) {
        let mut idle_since = None;
        loop {
            let is_drained = self.ask(|i, _| i.is_draining() && i.is_idle()).unwrap_or(true);
            let now = clock::now();
            let since = *idle_since.get_or_insert(now);
            let has_told = self.0.callers.borrow().is_empty();
            if !is_drained {
                idle_since = None;
            } else if now > since && has_told || now.duration_since(since) > LAST_WORDS {
                return;
            }
            sleep(DRAIN_CHECK).await;
        }
    }

    fn run(&self) {
        for action in self.0.host.run() {
            self.act(action);
        }
        self.log_config();
    }

    fn log_config(&self) {
        let version = self.ask(|instance, _| instance.config().0).unwrap_or_default();
        if self.0.config.replace(version) != version {
            info!(self.0.border.logger, "configuration in force"; "version" => version.0);
        }
    }

    fn act(&self, action: Action) {
        match action {
            Action::Dispatch { request, upstream } => self.dispatch(request, &upstream),
            Action::Cancel { request } => self.tell(request, Note::Cancel),
            Action::Answer { request, verdict, retry_after } => {
                self.answer(request, verdict, retry_after);
            }
            Action::Read { request, key } => self.read(request, key),
            Action::Write { request, key, expected, record } => {
                self.write(request, key, expected, record);
            }
            Action::Send { to, message } => self.0.border.links.send(&to, &message),
            Action::Broadcast { own_zone, body } => self.broadcast(own_zone, body),
        }
    }

    fn dispatch(&self, request: id::Request, upstream: &id::Upstream) {
        let target = self.ask(|instance, _| {
            let engine = instance.engines().find(|e| e.entry.id == *upstream)?;
            let (address, kind) = (engine.entry.address, engine.entry.kind);
            Some(Target { upstream: engine.entry.id.clone(), address, kind })
        });
        if let Some(target) = target.flatten() {
            self.tell(request, Note::Dispatch(target));
        }
    }

    fn answer(&self, request: id::Request, verdict: Verdict, retry_after: Duration) {
        let kept = match verdict {
            // Its write follows.
            Verdict::Deliver => None,
            Verdict::Replay | Verdict::Refuse(..) => self.0.answers.borrow_mut().remove(&request),
        };
        let replay = kept.filter(|_| verdict == Verdict::Replay);
        self.tell(request, Note::Verdict { verdict, retry_after, replay });
        self.0.callers.borrow_mut().remove(&request);
    }

    fn keep(&self, request: id::Request, answer: Option<Answer>) {
        if let Some(answer) = answer {
            self.0.answers.borrow_mut().insert(request, answer);
        }
    }

    fn read(&self, request: id::Request, key: Key) {
        let handle = self.clone();
        spawn_local(async move {
            let _turn = handle.0.table_calls.acquire().await;
            let (answer, kept) = handle.0.border.platform.read_record(&key).await;
            handle.keep(request, kept);
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
            let _turn = handle.0.table_calls.acquire().await;
            let platform = &handle.0.border.platform;
            let answer = platform.write_record(&key, expected, record, kept.clone()).await;
            // Another try of the write takes it out again.
            handle.keep(request, kept);
            handle.event(Event::Written { request, answer });
            handle.0.answers.borrow_mut().remove(&request);
        });
    }

    fn broadcast(&self, own_zone: bool, body: Body) {
        let now = clock::now();
        if let Some(message) = self.0.host.ask(|node| node.message(now, body)) {
            self.0.border.links.broadcast(own_zone, &message);
        }
    }

    fn tell(&self, request: id::Request, note: Note) {
        if let Some(caller) = self.0.callers.borrow().get(&request) {
            // A caller's task that is gone needs no telling.
            let _ = caller.send(note);
        }
    }
}
