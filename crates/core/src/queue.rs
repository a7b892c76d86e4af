//! The queue of one service: strict priority between tiers, weighted fair
//! queueing within a tier.
//!
//! A flow is the requests of one team and one prompt size, so that neither a
//! team with many requests nor a long request holds up the others.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Instant;

use crate::id;
use crate::request::Request;
use crate::unit::Tokens;

/// The longest prompt of each size class, in tokens; the last class has no limit.
const SIZE_LIMITS_TOKENS: [u32; 4] = [128, 512, 2_048, 8_192];

/// How much more a flow of each size is charged for the same work: short
/// requests go before a long one that would displace many of them, and the
/// long one keeps a share of its own.
const SIZE_WEIGHTS: [u64; 5] = [1, 2, 4, 8, 16];

/// The size class of a prompt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Size(u8);

impl Size {
    /// Returns the size class of a prompt.
    ///
    /// ```
    /// use rosemarypond_core::queue::Size;
    /// use rosemarypond_core::unit::Tokens;
    /// assert!(Size::of(Tokens(30)) < Size::of(Tokens(9_000)));
    /// ```
    pub fn of(prompt: Tokens) -> Self {
        let class = SIZE_LIMITS_TOKENS.iter().position(|limit| prompt.0 <= *limit);
        Self(class.unwrap_or(SIZE_LIMITS_TOKENS.len()) as u8)
    }
}

/// The number of flows of each tier that [`Queue::candidates`] considers.
const CANDIDATES_PER_TIER: usize = 4;
/// The most flows without waiting requests that each tier keeps.
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
    finish_time: u64,
    waiting: VecDeque<id::Request>,
}

#[derive(Debug, Default)]
struct Tier {
    virtual_time: u64,
    flows: HashMap<Flow, Backlog>,
    by_finish_time: BTreeSet<(u64, Flow)>,
    by_length: BTreeSet<(usize, Flow)>,
    by_size: BTreeMap<Size, usize>,
    /// Flows without waiting requests, by virtual finish time.
    idle: BTreeSet<(u64, Flow)>,
    count: usize,
}

impl Tier {
    fn add_to_indexes(&mut self, flow: &Flow) {
        let Some(backlog) = self.flows.get(flow) else { return };
        if backlog.waiting.is_empty() {
            self.idle.insert((backlog.finish_time, flow.clone()));
        } else {
            self.by_finish_time.insert((backlog.finish_time, flow.clone()));
            self.by_length.insert((backlog.waiting.len(), flow.clone()));
        }
    }

    fn remove_from_indexes(&mut self, flow: &Flow) {
        if let Some(backlog) = self.flows.get(flow) {
            self.idle.remove(&(backlog.finish_time, flow.clone()));
            self.by_finish_time.remove(&(backlog.finish_time, flow.clone()));
            self.by_length.remove(&(backlog.waiting.len(), flow.clone()));
        }
    }

    fn push(&mut self, flow: Flow, request: id::Request) {
        self.remove_from_indexes(&flow);
        let virtual_time = self.virtual_time;
        let backlog = self.flows.entry(flow.clone()).or_default();
        if backlog.waiting.is_empty() {
            backlog.finish_time = backlog.finish_time.max(virtual_time);
        }
        backlog.waiting.push_back(request);
        self.count += 1;
        *self.by_size.entry(flow.size).or_default() += 1;
        self.add_to_indexes(&flow);
    }

    fn first(&self) -> Option<id::Request> {
        let (_, flow) = self.by_finish_time.first()?;
        self.flows[flow].waiting.front().copied()
    }

    fn firsts(&self) -> impl Iterator<Item = id::Request> {
        let front = |flow: &Flow| self.flows[flow].waiting.front().copied();
        self.by_finish_time.iter().filter_map(move |(_, flow)| front(flow))
    }

    fn newest_of_longest_flow(&self) -> Option<id::Request> {
        let (_, flow) = self.by_length.last()?;
        self.flows[flow].waiting.back().copied()
    }

    fn remove(&mut self, flow: &Flow, request: id::Request) {
        self.remove_from_indexes(flow);
        let Some(backlog) = self.flows.get_mut(flow) else { return };
        if backlog.waiting.back() == Some(&request) {
            backlog.waiting.pop_back();
        } else {
            let position = backlog.waiting.iter().position(|waiting| *waiting == request);
            let Some(position) = position else { return };
            backlog.waiting.remove(position);
        }
        self.count -= 1;
        if let Some(count) = self.by_size.get_mut(&flow.size) {
            *count -= 1;
        }
        self.update_indexes(flow);
    }

    /// Charges a flow for the work of a request that is about to run.
    fn charge(&mut self, flow: &Flow, cost: u64) {
        self.remove_from_indexes(flow);
        let Some(backlog) = self.flows.get_mut(flow) else { return };
        self.virtual_time = self.virtual_time.max(backlog.finish_time);
        backlog.finish_time += cost.max(1);
        self.update_indexes(flow);
    }

    fn update_indexes(&mut self, flow: &Flow) {
        self.add_to_indexes(flow);
        self.evict_idle_flows();
    }

    /// Removes the idle flows that are not ahead of the virtual time, and the
    /// earliest of the others beyond [`MAX_IDLE_FLOWS`], so that inactive
    /// teams use no memory.
    fn evict_idle_flows(&mut self) {
        while let Some((finish_time, _)) = self.idle.first() {
            let is_ahead = *finish_time > self.virtual_time && self.count > 0;
            if is_ahead && self.idle.len() <= MAX_IDLE_FLOWS {
                return;
            }
            if let Some((_, flow)) = self.idle.pop_first() {
                self.flows.remove(&flow);
            }
        }
    }
}

/// The waiting requests of one service.
#[derive(Debug, Default)]
pub struct Queue {
    tiers: BTreeMap<u8, Tier>,
    requests: HashMap<id::Request, Request>,
    deadlines: BTreeMap<Size, BTreeSet<(Instant, id::Request)>>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, request: Request) {
        self.tiers.entry(request.rank).or_default().push(Flow::of(&request), request.id);
        let size = Size::of(request.prompt);
        self.deadlines.entry(size).or_default().insert((request.deadline, request.id));
        self.requests.insert(request.id, request);
    }

    /// Removes a request that will not run.
    pub fn remove(&mut self, request: id::Request) -> Option<Request> {
        let request = self.requests.remove(&request)?;
        if let Some(deadlines) = self.deadlines.get_mut(&Size::of(request.prompt)) {
            deadlines.remove(&(request.deadline, request.id));
        }
        let tier = self.tiers.get_mut(&request.rank)?;
        tier.remove(&Flow::of(&request), request.id);
        Some(request)
    }

    /// Removes a request that is about to run, and charges its flow for it.
    pub fn take(&mut self, request: id::Request, cost: u64) -> Option<Request> {
        let request = self.remove(request)?;
        let tier = self.tiers.get_mut(&request.rank)?;
        let flow = Flow::of(&request);
        tier.flows.entry(flow.clone()).or_insert_with(|| Backlog {
            finish_time: tier.virtual_time,
            waiting: VecDeque::new(),
        });
        tier.charge(&flow, cost * SIZE_WEIGHTS[usize::from(flow.size.0)]);
        Some(request)
    }

    /// The next requests of each tier, highest tier first.
    ///
    /// Several flows of each tier are considered, so that a request that has
    /// to wait for a fast upstream does not hold up the others.
    pub fn candidates(&self) -> impl Iterator<Item = &Request> {
        let ids = self.tiers.values().flat_map(|tier| tier.firsts().take(CANDIDATES_PER_TIER));
        ids.filter_map(|id| self.requests.get(&id))
    }

    /// The request that runs next.
    pub fn first(&self) -> Option<&Request> {
        let first = self.tiers.values().find_map(Tier::first)?;
        self.requests.get(&first)
    }

    /// The request that is shed first.
    pub fn shed_candidate(&self) -> Option<&Request> {
        let last = self.tiers.values().rev().find_map(Tier::newest_of_longest_flow)?;
        self.requests.get(&last)
    }

    /// The request that is shed first, if its tier is lower than `rank`.
    pub fn shed_candidate_below(&self, rank: u8) -> Option<&Request> {
        self.shed_candidate().filter(|request| request.rank > rank)
    }

    /// The request with the earliest deadline of each size.
    pub fn earliest_deadlines(&self) -> impl Iterator<Item = &Request> {
        let first = |deadlines: &BTreeSet<(Instant, id::Request)>| {
            let (_, id) = deadlines.first()?;
            self.requests.get(id)
        };
        self.deadlines.values().filter_map(first)
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The number of waiting requests of a rank.
    pub fn count(&self, rank: u8) -> usize {
        self.tiers.get(&rank).map_or(0, |tier| tier.count)
    }

    /// The number of waiting requests of a rank up to a size.
    pub fn count_up_to(&self, rank: u8, size: Size) -> usize {
        let Some(tier) = self.tiers.get(&rank) else { return 0 };
        tier.by_size.range(..=size).map(|(_, count)| count).sum()
    }

    /// The waiting requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Request> {
        self.requests.values()
    }

    /// The number of flows in memory.
    pub fn flow_count(&self) -> usize {
        self.tiers.values().map(|tier| tier.flows.len()).sum()
    }
}
