//! The requests of one service that wait for room, by tier and team.
//!
//! Within a tier, flows share by the work that they ask for: a flow is a
//! team's requests of one size, so that neither a large team nor a long
//! request stands in the way of the others.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Instant;

use crate::id;
use crate::request::Request;
use crate::unit::Tokens;

/// The longest prompts of each size but the last, in tokens.
const SIZE_LIMITS_TOKENS: [u32; 4] = [128, 512, 2_048, 8_192];

/// How much more a flow of each size is charged for the same work: the many
/// short requests that one long one displaces go first, and the long one still
/// has a share that it does not lose.
const SIZE_WEIGHTS: [u64; 5] = [1, 2, 4, 8, 16];

/// How long prompts are, in a few steps.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Size(u8);

impl Size {
    /// The size of a prompt.
    ///
    /// ```
    /// use rosemarypond_core::queue::Size;
    /// use rosemarypond_core::unit::Tokens;
    /// assert!(Size::of(Tokens(30)) < Size::of(Tokens(9_000)));
    /// ```
    pub fn of(prompt: Tokens) -> Self {
        let step = SIZE_LIMITS_TOKENS.iter().position(|limit| prompt.0 <= *limit);
        Self(step.unwrap_or(SIZE_LIMITS_TOKENS.len()) as u8)
    }
}

const CANDIDATES: usize = 4;
/// How many flows in which nothing waits are remembered for each tier.
const MAX_IDLE_FLOWS: usize = 1_024;

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Flow {
    team: id::Team,
    size: Size,
}

impl Flow {
    fn of(request: &Request) -> Self {
        Self { team: request.team.clone(), size: Size::of(request.prompt) }
    }
}

#[derive(Debug, Default)]
struct Backlog {
    finish: u64,
    waiting: VecDeque<id::Request>,
}

#[derive(Debug, Default)]
struct Level {
    clock: u64,
    flows: HashMap<Flow, Backlog>,
    by_finish: BTreeSet<(u64, Flow)>,
    by_length: BTreeSet<(usize, Flow)>,
    by_size: BTreeMap<Size, usize>,
    /// Flows in which nothing waits, by the work that they were charged.
    idle: BTreeSet<(u64, Flow)>,
    count: usize,
}

impl Level {
    fn enlist(&mut self, flow: &Flow) {
        let Some(backlog) = self.flows.get(flow) else { return };
        if backlog.waiting.is_empty() {
            self.idle.insert((backlog.finish, flow.clone()));
        } else {
            self.by_finish.insert((backlog.finish, flow.clone()));
            self.by_length.insert((backlog.waiting.len(), flow.clone()));
        }
    }

    fn delist(&mut self, flow: &Flow) {
        if let Some(backlog) = self.flows.get(flow) {
            self.idle.remove(&(backlog.finish, flow.clone()));
            self.by_finish.remove(&(backlog.finish, flow.clone()));
            self.by_length.remove(&(backlog.waiting.len(), flow.clone()));
        }
    }

    fn push(&mut self, flow: Flow, request: id::Request) {
        self.delist(&flow);
        let clock = self.clock;
        let backlog = self.flows.entry(flow.clone()).or_default();
        if backlog.waiting.is_empty() {
            backlog.finish = backlog.finish.max(clock);
        }
        backlog.waiting.push_back(request);
        self.count += 1;
        *self.by_size.entry(flow.size).or_default() += 1;
        self.enlist(&flow);
    }

    fn first(&self) -> Option<id::Request> {
        let (_, flow) = self.by_finish.first()?;
        self.flows[flow].waiting.front().copied()
    }

    fn firsts(&self) -> impl Iterator<Item = id::Request> {
        let front = |flow: &Flow| self.flows[flow].waiting.front().copied();
        self.by_finish.iter().filter_map(move |(_, flow)| front(flow))
    }

    fn newest_of_longest(&self) -> Option<id::Request> {
        let (_, flow) = self.by_length.last()?;
        self.flows[flow].waiting.back().copied()
    }

    fn remove(&mut self, flow: &Flow, request: id::Request) {
        self.delist(flow);
        let Some(backlog) = self.flows.get_mut(flow) else { return };
        if backlog.waiting.back() == Some(&request) {
            backlog.waiting.pop_back();
        } else {
            let place = backlog.waiting.iter().position(|waiting| *waiting == request);
            let Some(place) = place else { return };
            backlog.waiting.remove(place);
        }
        self.count -= 1;
        if let Some(count) = self.by_size.get_mut(&flow.size) {
            *count -= 1;
        }
        self.settle(flow);
    }

    /// Charges the work of a request that is about to run to its flow.
    fn charge(&mut self, flow: &Flow, cost: u64) {
        self.delist(flow);
        let Some(backlog) = self.flows.get_mut(flow) else { return };
        self.clock = self.clock.max(backlog.finish);
        backlog.finish += cost.max(1);
        self.settle(flow);
    }

    fn settle(&mut self, flow: &Flow) {
        self.enlist(flow);
        self.forget_idle();
    }

    /// Forgets idle flows that owe nothing, and the oldest of those that do,
    /// so that teams cost memory only while they are active.
    fn forget_idle(&mut self) {
        while let Some((finish, _)) = self.idle.first() {
            let owes = *finish > self.clock && self.count > 0;
            if owes && self.idle.len() <= MAX_IDLE_FLOWS {
                return;
            }
            if let Some((_, flow)) = self.idle.pop_first() {
                self.flows.remove(&flow);
            }
        }
    }
}

/// The requests of one service that wait.
#[derive(Debug, Default)]
pub struct Queue {
    levels: BTreeMap<u8, Level>,
    requests: HashMap<id::Request, Request>,
    deadlines: BTreeMap<Size, BTreeSet<(Instant, id::Request)>>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, request: Request) {
        self.levels.entry(request.rank).or_default().push(Flow::of(&request), request.id);
        let size = Size::of(request.prompt);
        self.deadlines.entry(size).or_default().insert((request.deadline, request.id));
        self.requests.insert(request.id, request);
    }

    /// Takes a request out that will not run.
    pub fn remove(&mut self, request: id::Request) -> Option<Request> {
        let request = self.requests.remove(&request)?;
        if let Some(deadlines) = self.deadlines.get_mut(&Size::of(request.prompt)) {
            deadlines.remove(&(request.deadline, request.id));
        }
        let level = self.levels.get_mut(&request.rank)?;
        level.remove(&Flow::of(&request), request.id);
        Some(request)
    }

    /// Takes a request out that is about to run, and charges its team for it.
    pub fn take(&mut self, request: id::Request, cost: u64) -> Option<Request> {
        let request = self.remove(request)?;
        let level = self.levels.get_mut(&request.rank)?;
        let flow = Flow::of(&request);
        level
            .flows
            .entry(flow.clone())
            .or_insert_with(|| Backlog { finish: level.clock, waiting: VecDeque::new() });
        level.charge(&flow, cost * SIZE_WEIGHTS[usize::from(flow.size.0)]);
        Some(request)
    }

    /// The next requests of each tier, highest tier first.
    ///
    /// A few flows of each tier are looked at, so that a request that has to
    /// wait for a fast upstream does not hold up those behind it.
    pub fn candidates(&self) -> impl Iterator<Item = &Request> {
        let ids = self.levels.values().flat_map(|level| level.firsts().take(CANDIDATES));
        ids.filter_map(|id| self.requests.get(&id))
    }

    /// The request that runs next.
    pub fn first(&self) -> Option<&Request> {
        let first = self.levels.values().find_map(Level::first)?;
        self.requests.get(&first)
    }

    /// The request that is shed first.
    pub fn shed_candidate(&self) -> Option<&Request> {
        let last = self.levels.values().rev().find_map(Level::newest_of_longest)?;
        self.requests.get(&last)
    }

    /// The request that is shed first, if it is below `rank`.
    pub fn shed_candidate_below(&self, rank: u8) -> Option<&Request> {
        self.shed_candidate().filter(|request| request.rank > rank)
    }

    /// The request of each size whose deadline comes first.
    pub fn earliest_deadlines(&self) -> impl Iterator<Item = &Request> {
        let first = |deadlines: &BTreeSet<(Instant, id::Request)>| {
            let (_, id) = deadlines.first()?;
            self.requests.get(id)
        };
        self.deadlines.values().filter_map(first)
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// How many requests of a rank wait.
    pub fn count(&self, rank: u8) -> usize {
        self.levels.get(&rank).map_or(0, |level| level.count)
    }

    /// How many requests of a rank wait that are not longer than a size.
    pub fn count_up_to(&self, rank: u8, size: Size) -> usize {
        let Some(level) = self.levels.get(&rank) else { return 0 };
        level.by_size.range(..=size).map(|(_, count)| count).sum()
    }

    /// The waiting requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Request> {
        self.requests.values()
    }

    /// How many flows are held in memory.
    pub fn flow_count(&self) -> usize {
        self.levels.values().map(|level| level.flows.len()).sum()
    }
}
