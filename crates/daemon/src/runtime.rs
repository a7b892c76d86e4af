//! The thread that runs the actor, and the border around it.

use std::collections::HashMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rosemarypond_core::actor::Node;
use rosemarypond_core::claim::{Ended, Read, Record, State, Verdict, Version};
use rosemarypond_core::event::{Action, Event};
use rosemarypond_core::id;
use rosemarypond_core::instance::{Instance, Options};
use rosemarypond_core::member::Body;
use rosemarypond_core::request::{Key, Request};
use rosemarypond_core::unit::Tokens;
use slog::{Logger, info};
use stakker::{ActorOwn, Stakker, actor, call, fwd_do, ret_nop};

use crate::gateway::Note;
use crate::peer::Links;
use crate::platform;
use crate::upstream::{Answer, Target};

/// How many calls of the table run at once.
pub const TABLE_WORKERS: usize = 8;
/// The longest time between two looks at the timers.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// How many inputs are taken before the timers are looked at again.
const MAX_BATCH: usize = 256;
/// How long calls may take to tell their callers after the last one ended.
const LAST_WORDS: Duration = Duration::from_secs(5);

type Question = Box<dyn FnOnce(&Instance, Instant) + Send>;

/// Something from outside.
enum Input {
    Arrived { request: Request, notes: Sender<Note> },
    Ended { request: id::Request, how: Ended, tokens: Tokens, answer: Option<Answer> },
    Read { request: id::Request, read: Read, answer: Option<Answer> },
    Event(Event),
    Ask(Question),
}

enum TableCall {
    Read {
        request: id::Request,
        key: Key,
    },
    Write {
        request: id::Request,
        key: Key,
        expected: Version,
        record: Record,
        answer: Option<Answer>,
    },
}

/// Talks to the actor's thread.
#[derive(Clone)]
pub struct Handle(Sender<Input>);

impl Handle {
    /// Hands over a request; what becomes of it is told to `notes`.
    pub fn arrived(&self, request: Request, notes: Sender<Note>) {
        self.send(Input::Arrived { request, notes });
    }

    /// Tells that a dispatched request ended, with the answer to be kept.
    pub fn ended(&self, request: id::Request, how: Ended, tokens: Tokens, answer: Option<Answer>) {
        self.send(Input::Ended { request, how, tokens, answer });
    }

    /// Hands over an event.
    pub fn event(&self, event: Event) {
        self.send(Input::Event(event));
    }

    /// Asks the instance something; none where it has stopped.
    pub fn ask<T: Send + 'static>(
        &self,
        question: impl FnOnce(&Instance, Instant) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, answer) = channel();
        self.send(Input::Ask(Box::new(move |instance, now| {
            // The asker may have given up.
            let _ = reply.send(question(instance, now));
        })));
        answer.recv().ok()
    }

    fn send(&self, input: Input) {
        // After the actor's thread ended nobody is left to be told.
        let _ = self.0.send(input);
    }
}

/// What the actor's thread works with.
pub struct Border {
    /// The platform's table.
    pub platform: platform::Client,
    /// The links to the peers.
    pub links: Links,
    /// Where changes of state are written.
    pub logger: Logger,
}

/// The actor's thread.
pub struct Runtime {
    /// Talks to it.
    pub handle: Handle,
    thread: thread::JoinHandle<()>,
}

impl Runtime {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Where the system gives no thread.
    pub fn start(options: Options, border: Border) -> std::io::Result<Self> {
        let (inputs, queue) = channel();
        let handle = Handle(inputs);
        let table = start_table(&border.platform, &handle)?;
        let thread = thread::Builder::new()
            .name("actor".into())
            .spawn(move || Loop::new(options, border, table).run(&queue))?;
        Ok(Self { handle, thread })
    }

    /// Waits until the instance has drained.
    ///
    /// # Errors
    ///
    /// Where the thread stopped at a broken invariant.
    pub fn join(self) -> eyre::Result<()> {
        self.thread.join().map_err(|_| eyre::eyre!("The actor stopped at a broken invariant."))
    }
}

fn start_table(platform: &platform::Client, handle: &Handle) -> std::io::Result<Sender<TableCall>> {
    let (calls, queue) = channel();
    let queue = Arc::new(Mutex::new(queue));
    for _ in 0..TABLE_WORKERS {
        let (queue, platform, handle) = (Arc::clone(&queue), platform.clone(), handle.clone());
        thread::Builder::new().name("table".into()).spawn(move || {
            while let Some(call) = next_call(&queue) {
                run_call(&platform, &handle, call);
            }
        })?;
    }
    Ok(calls)
}

fn next_call(queue: &Mutex<Receiver<TableCall>>) -> Option<TableCall> {
    queue.lock().ok()?.recv().ok()
}

fn run_call(platform: &platform::Client, handle: &Handle, call: TableCall) {
    match call {
        TableCall::Read { request, key } => {
            let (read, answer) = platform.read_record(&key);
            handle.send(Input::Read { request, read, answer });
        }
        TableCall::Write { request, key, expected, record, answer } => {
            let answer = platform.write_record(&key, expected, record, answer);
            handle.event(Event::Written { request, answer });
        }
    }
}

type Actions = std::rc::Rc<std::cell::RefCell<Vec<Action>>>;

struct Loop {
    stakker: Stakker,
    node: ActorOwn<Node>,
    actions: Actions,
    border: Border,
    table: Sender<TableCall>,
    callers: HashMap<id::Request, Sender<Note>>,
    answers: HashMap<id::Request, Answer>,
    config: rosemarypond_core::config::Version,
}

impl Loop {
    fn new(options: Options, border: Border, table: Sender<TableCall>) -> Self {
        let mut stakker = Stakker::new(Instant::now());
        let actions = Actions::default();
        let collected = Actions::clone(&actions);
        let sink = fwd_do!(move |action| collected.borrow_mut().push(action));
        let node = actor!(stakker, Node::init(options, sink), ret_nop!());
        Self {
            stakker,
            node,
            actions,
            border,
            table,
            callers: HashMap::new(),
            answers: HashMap::new(),
            config: Default::default(),
        }
    }

    fn run(mut self, queue: &Receiver<Input>) {
        let mut idle_since = None;
        loop {
            self.advance();
            let wait = self.stakker.next_wait_max(Instant::now(), MAX_WAIT, false);
            match queue.recv_timeout(wait) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for input in queue.try_iter().take(MAX_BATCH) {
                self.take(input);
            }
            self.advance();
            if !self.has_drained() {
                idle_since = None;
                continue;
            }
            let since = *idle_since.get_or_insert_with(Instant::now);
            if self.callers.is_empty() && since.elapsed() > MAX_WAIT || since.elapsed() > LAST_WORDS
            {
                return;
            }
        }
    }

    /// Runs what is due, and does what the instance asks for.
    fn advance(&mut self) {
        self.stakker.run(Instant::now(), false);
        let actions = self.actions.take();
        for action in actions {
            self.act(action);
        }
        self.log_config();
    }

    fn ask<T>(&mut self, question: impl FnOnce(&Instance) -> T) -> Option<T> {
        self.node.query(&mut self.stakker, |node, _| question(node.instance()))
    }

    fn has_drained(&mut self) -> bool {
        self.ask(|instance| instance.is_draining() && instance.is_idle()).unwrap_or(true)
    }

    fn log_config(&mut self) {
        let version = self.ask(|instance| instance.config().0).unwrap_or_default();
        if version != self.config {
            self.config = version;
            info!(self.border.logger, "configuration in force"; "version" => version.0);
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Arrived { request, notes } => {
                self.callers.insert(request.id, notes);
                self.event(Event::Arrived(request));
            }
            Input::Ended { request, how, tokens, answer } => {
                if let Some(answer) = answer {
                    self.answers.insert(request, answer);
                }
                self.event(Event::Ended { request, how, tokens });
            }
            Input::Read { request, read, answer } => {
                if let Some(answer) = answer {
                    self.answers.insert(request, answer);
                }
                self.event(Event::Read { request, answer: read });
            }
            Input::Event(event) => self.event(event),
            Input::Ask(question) => {
                let now = Instant::now();
                self.ask(|instance| question(instance, now));
            }
        }
    }

    fn event(&mut self, event: Event) {
        call!([self.node], event(event));
        // Each event sees the actions of the one before as done.
        self.advance();
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Dispatch { request, upstream } => self.dispatch(request, upstream),
            Action::Cancel { request } => self.tell(request, Note::Cancel),
            Action::Answer { request, verdict, retry_after } => {
                self.answer(request, verdict, retry_after);
            }
            Action::Read { request, key } => {
                self.call_table(TableCall::Read { request, key });
            }
            Action::Write { request, key, expected, record } => {
                self.write(request, key, expected, record);
            }
            Action::Send { to, message } => self.border.links.send(&to, &message),
            Action::Broadcast { own_zone, body } => self.broadcast(own_zone, body),
        }
    }

    fn dispatch(&mut self, request: id::Request, upstream: id::Upstream) {
        let target = self.ask(|instance| {
            let engine = instance.engines().find(|e| e.entry.id == upstream)?;
            let (address, kind) = (engine.entry.address, engine.entry.kind);
            Some(Target { upstream: engine.entry.id.clone(), address, kind })
        });
        if let Some(target) = target.flatten() {
            self.tell(request, Note::Dispatch(target));
        }
    }

    fn answer(&mut self, request: id::Request, verdict: Verdict, retry_after: Duration) {
        let replay = match verdict {
            Verdict::Replay => self.answers.remove(&request),
            _ => None,
        };
        self.tell(request, Note::Verdict { verdict, retry_after, replay });
        self.callers.remove(&request);
        if verdict != Verdict::Deliver {
            self.answers.remove(&request);
        }
    }

    fn write(&mut self, request: id::Request, key: Key, expected: Version, record: Record) {
        let answer = match record.state {
            State::Done => self.answers.remove(&request),
            State::Closed | State::Dispatched => None,
        };
        if let Some(answer) = &answer {
            // Kept until the write is known to have taken effect.
            self.answers.insert(request, answer.clone());
        }
        self.call_table(TableCall::Write { request, key, expected, record, answer });
    }

    fn call_table(&self, call: TableCall) {
        // The workers live as long as this loop.
        let _ = self.table.send(call);
    }

    fn broadcast(&mut self, own_zone: bool, body: Body) {
        let now = Instant::now();
        let node = &self.node;
        let message = node.query(&mut self.stakker, |node, _| node.message(now, body));
        if let Some(message) = message {
            self.border.links.broadcast(own_zone, &message);
        }
    }

    fn tell(&self, request: id::Request, note: Note) {
        if let Some(notes) = self.callers.get(&request) {
            // A caller's thread that is gone needs no telling.
            let _ = notes.send(note);
        }
    }
}
