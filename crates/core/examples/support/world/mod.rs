//! A simulated site: instances, upstreams, table and callers, and the events
//! between them.

mod jobs;
mod links;
mod oracle;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarypond_core::claim::{Ended, Verdict};
use rosemarypond_core::config::{self, Document};
use rosemarypond_core::engine::Sharing;
use rosemarypond_core::event::{Action, Event};
use rosemarypond_core::id;
use rosemarypond_core::instance::{Identity, Instance, Options, TICK_INTERVAL};
use rosemarypond_core::request::Request;
use stakker::Stakker;

use crate::support::balancer::{Balancer, Choice};
use crate::support::engine::{Engine, Speed};
use crate::support::table::Table;
use crate::support::tally::Tally;

/// The policy by which requests are scheduled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    Scheduler(Sharing),
    Baseline(Choice),
    /// One queue that knows the exact lengths and loads.
    Oracle,
}

pub enum Decider {
    Instance(Box<Instance>),
    Baseline(Balancer),
}

impl Decider {
    fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match self {
            Decider::Instance(instance) => {
                instance.handle(now, event);
                instance.take_actions()
            }
            Decider::Baseline(balancer) => balancer.handle(now, event),
        }
    }
}

pub struct Node {
    pub id: id::Instance,
    pub zone: id::Zone,
    pub incarnation: u64,
    pub decider: Option<Decider>,
    pub paused: bool,
    pub draining: bool,
    backlog: Vec<Event>,
}

/// Something that happens at a scheduled time.
#[derive(Clone, Debug)]
pub enum Occurrence {
    Tick {
        node: usize,
        incarnation: u64,
    },
    PollConfig {
        node: usize,
        incarnation: u64,
    },
    Deliver {
        node: usize,
        incarnation: u64,
        event: Box<Event>,
    },
    FirstToken {
        upstream: id::Upstream,
        job: u64,
    },
    Completion {
        upstream: id::Upstream,
        job: u64,
    },
    /// A request reaches its upstream.
    Dispatch {
        node: usize,
        incarnation: u64,
        request: id::Request,
        upstream: id::Upstream,
    },
    /// The cancellation of a request reaches its upstream.
    Cancel {
        node: usize,
        incarnation: u64,
        request: id::Request,
    },
    /// A write of a key's record reaches the table.
    Write {
        node: usize,
        incarnation: u64,
        request: id::Request,
        write: PendingWrite,
    },
    CallerTimeout {
        request: id::Request,
    },
    /// The timeout of a call has expired, and the instance closes it.
    CallTimeout {
        upstream: id::Upstream,
        job: u64,
    },
    Publish {
        upstream: id::Upstream,
    },
    /// Calls the hook of the example, with a number of its choice.
    Hook(u64),
}

#[derive(Clone, Debug)]
pub struct PendingWrite {
    pub key: rosemarypond_core::request::Key,
    pub expected: u64,
    pub record: rosemarypond_core::claim::Record,
    pub reports_result: bool,
}

/// How long past its deadline a call may run.
const CALL_GRACE: Duration = Duration::from_secs(5);

/// The numbers of [`Occurrence::Hook`] from this one on stand for retries.
pub const FIRST_RETRY: u64 = 1 << 32;

/// A refused request that its caller will retry.
pub struct Retry {
    pub request: Request,
    pub tokens: u32,
    pub retries_left: u8,
}

pub struct Caller {
    pub request: Request,
    pub node: usize,
    pub incarnation: u64,
    pub tokens: u32,
    pub first: bool,
    pub retries_left: u8,
    pub answered: Option<Verdict>,
    pub upstream: Option<id::Upstream>,
}

/// Delays and losses between the parts of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// The one-way delay between instances and to upstreams.
    pub one_way_delay: Duration,
    /// The base delay of the table.
    pub table_delay: Duration,
    /// The share of table answers that are lost.
    pub lost_answers: f64,
    /// The share of peers' messages that are lost.
    pub lost_messages: f64,
}

pub type Hook = Rc<dyn Fn(&mut World, u64)>;

pub struct World {
    pub now: Instant,
    pub start: Instant,
    /// Draws what the simulated parts do.
    pub rng: ChaCha8Rng,
    /// Draws the load, independently of what the simulated parts do.
    pub load_rng: ChaCha8Rng,
    pub policy: Policy,
    pub nodes: Vec<Node>,
    pub engines: BTreeMap<id::Upstream, Engine>,
    pub table: Table,
    pub conditions: Conditions,
    pub cut_zones: BTreeSet<id::Zone>,
    pub callers: HashMap<id::Request, Caller>,
    pub tally: Tally,
    /// How often each key ran.
    pub runs_by_key: BTreeMap<String, u32>,
    pub runs_by_request: HashMap<id::Request, u32>,
    pub answers: Vec<(id::Request, Verdict)>,
    pub dispatches: Vec<(Instant, id::Upstream)>,
    /// How often a caller retries a refused request.
    pub max_retries: u8,
    retries: Vec<Retry>,
    scheduled: Vec<(Duration, Occurrence)>,
    next_job: u64,
    next_request: u64,
    seen_blocks: HashSet<(id::Zone, u64)>,
    oracle: Vec<id::Request>,
    hook: Option<Hook>,
    pub upstream_zone: BTreeMap<id::Upstream, id::Zone>,
}

pub type Shared = Rc<RefCell<World>>;

impl World {
    pub fn new(start: Instant, seed: u64, policy: Policy) -> Self {
        Self {
            now: start,
            start,
            rng: ChaCha8Rng::seed_from_u64(seed),
            load_rng: ChaCha8Rng::seed_from_u64(!seed),
            policy,
            nodes: Vec::new(),
            engines: BTreeMap::new(),
            table: Table::default(),
            conditions: Conditions {
                one_way_delay: Duration::from_millis(1),
                table_delay: Duration::from_millis(4),
                lost_answers: 0.0,
                lost_messages: 0.0,
            },
            cut_zones: BTreeSet::new(),
            callers: HashMap::new(),
            tally: Tally::default(),
            runs_by_key: BTreeMap::new(),
            runs_by_request: HashMap::new(),
            answers: Vec::new(),
            dispatches: Vec::new(),
            max_retries: 0,
            retries: Vec::new(),
            scheduled: Vec::new(),
            next_job: 0,
            next_request: 1,
            seen_blocks: HashSet::new(),
            oracle: Vec::new(),
            hook: None,
            upstream_zone: BTreeMap::new(),
        }
    }

    pub fn set_hook(&mut self, hook: impl Fn(&mut World, u64) + 'static) {
        self.hook = Some(Rc::new(hook));
    }

    pub fn add_engine(&mut self, entry: &config::Upstream, speed: Speed) {
        self.engines.insert(entry.id.clone(), Engine::new(speed, self.now));
        self.upstream_zone.insert(entry.id.clone(), entry.zone.clone());
    }

    pub fn add_node(&mut self, id: &str, zone: &id::Zone) -> usize {
        let node = Node {
            id: id.parse().expect("a valid id"),
            zone: zone.clone(),
            incarnation: 0,
            decider: None,
            paused: false,
            draining: false,
            backlog: Vec::new(),
        };
        self.nodes.push(node);
        let index = self.nodes.len() - 1;
        self.boot(index);
        index
    }

    /// Starts an instance as a new incarnation.
    pub fn boot(&mut self, index: usize) {
        let policy = self.policy;
        let (epoch, seed) = (self.start, self.rng.random());
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.paused = false;
        node.draining = false;
        node.backlog.clear();
        let identity = Identity {
            id: node.id.clone(),
            incarnation: id::Incarnation(node.incarnation),
            zone: node.zone.clone(),
        };
        node.decider = Some(match policy {
            Policy::Scheduler(sharing) => {
                let options = Options { identity, epoch, epoch_micros: 0, seed, sharing };
                Decider::Instance(Box::new(Instance::new(options)))
            }
            Policy::Baseline(choice) => Decider::Baseline(Balancer::new(choice, node.zone.clone())),
            Policy::Oracle => {
                Decider::Baseline(Balancer::new(Choice::RoundRobin, node.zone.clone()))
            }
        });
        let incarnation = node.incarnation;
        let offset = Duration::from_millis(7 * index as u64);
        self.after(offset, Occurrence::PollConfig { node: index, incarnation });
        self.after(offset, Occurrence::Tick { node: index, incarnation });
    }

    /// Kills an instance; its connections to upstreams break.
    pub fn kill(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation;
        self.nodes[index].decider = None;
        let upstreams: Vec<_> = self.engines.keys().cloned().collect();
        for upstream in upstreams {
            let jobs: Vec<_> = self.engines[&upstream]
                .jobs
                .iter()
                .filter(|(_, job)| job.node == index && job.incarnation == incarnation)
                .map(|(number, _)| *number)
                .collect();
            for job in jobs {
                self.end_job(&upstream, job, None);
            }
        }
    }

    /// Whether an instance is ready for requests.
    pub fn is_ready(&self, index: usize) -> bool {
        match &self.nodes[index].decider {
            Some(Decider::Instance(instance)) => instance.is_ready(),
            Some(Decider::Baseline(balancer)) => balancer.is_ready(),
            None => false,
        }
    }

    pub fn pause(&mut self, index: usize) {
        self.nodes[index].paused = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        let backlog = std::mem::take(&mut self.nodes[index].backlog);
        for event in backlog {
            self.handle(index, event);
        }
    }

    pub fn after(&mut self, delay: Duration, occurrence: Occurrence) {
        self.scheduled.push((delay, occurrence));
    }

    pub fn next_id(&mut self) -> id::Request {
        self.next_request += 1;
        id::Request(self.next_request)
    }

    /// Sends a request to an instance; its caller waits until the deadline.
    pub fn submit(&mut self, index: usize, request: Request, tokens: u32) {
        *self.tally.offered.entry(request.rank).or_default() += 1;
        self.submit_with_retries(index, request, tokens, self.max_retries);
    }

    /// Retries a refused request, as a new request with a full deadline.
    pub fn retry(&mut self, index: usize, number: u64) {
        let retry = &self.retries[(number - FIRST_RETRY) as usize];
        let (tokens, retries_left) = (retry.tokens, retry.retries_left);
        let mut request = retry.request.clone();
        let time_allowed = request.deadline.duration_since(request.arrived);
        request.id = self.next_id();
        request.arrived = self.now;
        request.deadline = self.now + time_allowed;
        self.submit_with_retries(index, request, tokens, retries_left);
    }

    fn submit_with_retries(
        &mut self,
        index: usize,
        request: Request,
        tokens: u32,
        retries_left: u8,
    ) {
        let id = request.id;
        let wait = request.deadline.saturating_duration_since(self.now);
        self.tally.sent += 1;
        let caller = Caller {
            request: request.clone(),
            node: index,
            incarnation: self.nodes[index].incarnation,
            tokens,
            first: false,
            retries_left,
            answered: None,
            upstream: None,
        };
        self.callers.insert(id, caller);
        self.after(wait, Occurrence::CallerTimeout { request: id });
        if self.policy == Policy::Oracle {
            self.oracle.push(id);
            self.run_oracle();
        } else {
            self.handle(index, Event::Arrived(request));
        }
    }

    /// Passes an event to an instance and executes the actions that it returns.
    pub fn handle(&mut self, index: usize, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.paused {
            node.backlog.push(event);
            return;
        }
        let Some(decider) = &mut node.decider else { return };
        let incarnation = node.incarnation;
        for action in decider.handle(now, event) {
            self.execute(index, incarnation, action);
        }
    }

    fn execute(&mut self, node: usize, incarnation: u64, action: Action) {
        let one_way_delay = self.conditions.one_way_delay;
        match action {
            Action::Dispatch { request, upstream } => {
                self.after(
                    one_way_delay,
                    Occurrence::Dispatch { node, incarnation, request, upstream },
                );
            }
            Action::Cancel { request } => {
                self.after(one_way_delay, Occurrence::Cancel { node, incarnation, request })
            }
            Action::Answer { request, verdict, retry_after } => {
                self.answer(request, verdict, retry_after);
            }
            Action::Read { request, key } => self.read(node, incarnation, request, &key),
            Action::Write { request, key, expected, record } => {
                let write = PendingWrite { key, expected, record, reports_result: true };
                let delay = self.draw_table_delay();
                self.after(delay, Occurrence::Write { node, incarnation, request, write });
            }
            Action::Send { to, message } => self.send(node, &to, message),
            Action::Broadcast { to_own_zone, body } => self.broadcast(node, to_own_zone, body),
        }
    }

    pub fn fire(&mut self, now: Instant, occurrence: Occurrence) {
        self.now = self.now.max(now);
        match occurrence {
            Occurrence::Tick { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].decider.is_some()
                {
                    if !self.nodes[node].paused {
                        self.handle(node, Event::Tick);
                    }
                    self.after(TICK_INTERVAL, Occurrence::Tick { node, incarnation });
                }
            }
            Occurrence::PollConfig { node, incarnation } => self.poll(node, incarnation),
            Occurrence::Deliver { node, incarnation, event } => {
                if self.nodes[node].incarnation == incarnation {
                    self.handle(node, *event);
                }
            }
            Occurrence::FirstToken { upstream, job } => self.first_token(&upstream, job),
            Occurrence::Completion { upstream, job } => self.completed(&upstream, job),
            Occurrence::Dispatch { node, incarnation, request, upstream } => {
                self.dispatch(node, incarnation, request, upstream);
            }
            Occurrence::Cancel { node, incarnation, request } => {
                self.cancel(node, incarnation, request)
            }
            Occurrence::Write { node, incarnation, request, write } => {
                self.write(node, incarnation, request, write)
            }
            Occurrence::CallerTimeout { request } => self.caller_timeout(request),
            Occurrence::CallTimeout { upstream, job } => {
                self.end_job(&upstream, job, Some(Ended::Broken));
            }
            Occurrence::Publish { upstream } => self.publish(&upstream),
            Occurrence::Hook(number) => {
                if let Some(hook) = self.hook.clone() {
                    hook(self, number);
                }
            }
        }
    }

    pub fn put_config(&mut self, document: Document) {
        let version = self.table.config.as_ref().map(|(v, _)| *v).unwrap_or_default();
        let version = config::Version(version.0 + 1);
        self.table.config = Some((version, Arc::new(document)));
    }
}

/// Moves what a world has scheduled to the runtime's timers.
fn flush(runtime: &mut Stakker, world: &Shared) {
    let due = std::mem::take(&mut world.borrow_mut().scheduled);
    for (delay, occurrence) in due {
        let shared = Rc::clone(world);
        runtime.after(delay, move |runtime| {
            let now = runtime.now();
            shared.borrow_mut().fire(now, occurrence);
            flush(runtime, &shared);
        });
    }
}

/// Runs a world on virtual time until `end`.
pub fn run(runtime: &mut Stakker, world: &Shared, end: Instant) {
    flush(runtime, world);
    loop {
        let Some(next) = runtime.next_expiry() else { return };
        if next > end {
            runtime.run(end, false);
            return;
        }
        runtime.run(next, false);
    }
}
