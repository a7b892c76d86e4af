//! One instance's view of an upstream: its slots, estimated speed and cache.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::config;
use crate::hash::stable_hash;
use crate::id;
use crate::request::Request;
use crate::unit::{Rate, Tokens};

/// The most prompt prefixes that are recorded as cached on an upstream.
pub const MAX_PREFIXES: usize = 512;
/// The number of tokens that one prefix digest covers.
pub const BLOCK_TOKENS: u32 = 64;
/// How long a prefix is assumed to stay cached after it was last seen.
pub const PREFIX_TTL: Duration = Duration::from_secs(120);
/// The pause of an upstream after its first failure.
pub const MIN_PAUSE: Duration = Duration::from_secs(1);
/// The longest pause of an upstream after repeated failures.
pub const MAX_PAUSE: Duration = Duration::from_secs(30);

const LEARNING_RATE: f64 = 0.2;
const DEFAULT_PREFILL_RATE: Rate = Rate(4_000.0);
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(25);
const DEFAULT_CALL_TIME: Duration = Duration::from_millis(50);
/// A shorter prompt has less weight in the prefill rate.
const FULL_WEIGHT_PROMPT_TOKENS: f64 = 1_000.0;
// A first token is late after the expected time by this factor and margin.
const LATE_FIRST_TOKEN_MARGIN: Duration = Duration::from_secs(2);
const LATE_FIRST_TOKEN_FACTOR: u32 = 4;
const LIMIT_DECREASE_FACTOR: f64 = 0.85;
const LIMIT_INCREASE: f64 = 0.25;
const LIMIT_DECREASE_INTERVAL: Duration = Duration::from_secs(1);

/// How the instances of a zone share an upstream's slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Sharing {
    /// Equal shares; slots are lent to peers with more urgent requests.
    #[default]
    Lent,
    /// Equal shares.
    Split,
    /// One instance has all slots.
    Owned,
    /// Each instance uses all slots, regardless of the others.
    Independent,
}

/// The position of an instance among those that share an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Its index, from 0.
    pub index: usize,
    /// The number of instances.
    pub members: usize,
}

/// A dispatched request without a first token yet.
#[derive(Clone, Copy, Debug)]
struct AwaitingFirst {
    since: Instant,
    uncached: u32,
    /// Uncached prompt tokens of this request and those dispatched before it.
    work: u32,
}

/// An upstream as seen by one instance.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its entry in the configuration.
    pub entry: config::Upstream,
    /// The number of this instance's requests that run on it.
    pub running: u32,
    /// Slots of this instance's share that peers use.
    pub lent: u32,
    /// Slots of peers' shares that this instance may use.
    pub borrowed: u32,
    /// Whether it reported that it is leaving.
    pub leaving: bool,
    /// Whether it was removed from the configuration.
    pub removed: bool,
    limit: f64,
    last_decrease: Option<Instant>,
    prefill_rate: f64,
    token_time: f64,
    call_time: f64,
    failures: u32,
    paused_until: Option<Instant>,
    prefixes: HashMap<u64, Instant>,
    awaiting_first: HashMap<id::Request, AwaitingFirst>,
}

fn moving_average(old: f64, sample: f64) -> f64 {
    old + LEARNING_RATE * (sample - old)
}

impl Engine {
    /// Creates an upstream with default estimates.
    pub fn new(entry: config::Upstream) -> Self {
        Self {
            limit: f64::from(entry.slots),
            entry,
            running: 0,
            lent: 0,
            borrowed: 0,
            leaving: false,
            removed: false,
            last_decrease: None,
            prefill_rate: DEFAULT_PREFILL_RATE.0,
            token_time: DEFAULT_TOKEN_TIME.as_secs_f64(),
            call_time: DEFAULT_CALL_TIME.as_secs_f64(),
            failures: 0,
            paused_until: None,
            prefixes: HashMap::new(),
            awaiting_first: HashMap::new(),
        }
    }

    /// Replaces the configuration entry and keeps the estimates.
    pub fn reconfigure(&mut self, entry: config::Upstream) {
        self.limit = self.limit.min(f64::from(entry.slots));
        if entry.slots > self.entry.slots {
            self.limit = f64::from(entry.slots);
        }
        self.entry = entry;
    }

    /// Whether it is leaving, by its own report or by the configuration.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.removed || self.entry.leaving
    }

    /// Whether it may be sent requests: it is neither leaving nor paused.
    pub fn is_open(&self, now: Instant) -> bool {
        let paused = self.paused_until.is_some_and(|until| now < until);
        !self.is_leaving() && !paused
    }

    /// The concurrency limit over all instances.
    pub fn limit(&self) -> u32 {
        if self.failures > 0 { 1 } else { self.limit as u32 }
    }

    /// This instance's share of the limit.
    ///
    /// Except with [`Sharing::Independent`], the shares of all positions add up
    /// to the limit.
    pub fn share(&self, sharing: Sharing, position: Position) -> u32 {
        let members = position.members.max(1) as u32;
        let limit = self.limit();
        let index = self.rotated_index(position);
        match sharing {
            Sharing::Independent => limit,
            Sharing::Owned if index == 0 => limit,
            Sharing::Owned => 0,
            Sharing::Lent | Sharing::Split => limit / members + u32::from(index < limit % members),
        }
    }

    /// An instance's index, rotated by an offset that differs between
    /// upstreams, so that remainders and ownership are spread over instances.
    pub fn rotated_index(&self, position: Position) -> u32 {
        let members = position.members.max(1) as u64;
        let offset = stable_hash(self.entry.id.as_str()) % members;
        ((position.index as u64 + offset) % members) as u32
    }

    /// The number of requests that this instance may send in addition.
    pub fn free_slots(&self, sharing: Sharing, position: Position) -> u32 {
        let share = self.share(sharing, position) + self.borrowed;
        share.saturating_sub(self.running + self.lent)
    }

    /// The number of a request's prompt tokens that are probably cached.
    pub fn cached_tokens(&self, request: &Request, now: Instant) -> Tokens {
        let fresh = |digest: &&u64| {
            self.prefixes.get(digest).is_some_and(|seen| now.duration_since(*seen) < PREFIX_TTL)
        };
        let blocks = request.prefix.iter().take_while(fresh).count() as u32;
        Tokens((blocks * BLOCK_TOKENS).min(request.prompt.0))
    }

    /// The expected time to the first token or byte of an answer.
    pub fn first_token_time(&self, request: &Request, now: Instant) -> Duration {
        if self.entry.kind == config::Kind::Plain {
            return Duration::from_secs_f64(self.call_time);
        }
        let uncached = request.prompt.0 - self.cached_tokens(request, now).0;
        let work = Rate(self.prefill_rate)
            .time_for(Tokens(self.awaiting_prefill_tokens() + uncached.max(1)));
        work.max(self.oldest_wait(now) / 2)
    }

    /// The expected time to the complete answer.
    pub fn completion_time(&self, request: &Request, answer: Tokens, now: Instant) -> Duration {
        let first = self.first_token_time(request, now);
        if self.entry.kind == config::Kind::Plain {
            return first;
        }
        first + Duration::from_secs_f64(self.token_time * f64::from(answer.0))
    }

    fn oldest_wait(&self, now: Instant) -> Duration {
        let oldest = self.awaiting_first.values().map(|request| request.since).min();
        oldest.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Uncached prompt tokens of this instance's requests without a first token.
    fn awaiting_prefill_tokens(&self) -> u32 {
        self.awaiting_first.values().map(|request| request.uncached).sum()
    }

    /// Records that a request was sent to it.
    pub fn record_dispatch(&mut self, request: &Request, now: Instant) {
        let uncached = request.prompt.0 - self.cached_tokens(request, now).0;
        let work = self.awaiting_prefill_tokens() + uncached;
        self.awaiting_first.insert(request.id, AwaitingFirst { since: now, uncached, work });
        self.record_cached(&request.prefix, now);
    }

    /// Records that prompt prefixes are cached on it.
    pub fn record_cached(&mut self, digests: &[u64], now: Instant) {
        for digest in digests {
            self.prefixes.insert(*digest, now);
        }
        if self.prefixes.len() > MAX_PREFIXES {
            self.evict_oldest_prefixes();
        }
    }

    /// Records that a prompt prefix is no longer cached on it.
    pub fn record_evicted(&mut self, digest: u64) {
        self.prefixes.remove(&digest);
    }

    fn evict_oldest_prefixes(&mut self) {
        let mut times: Vec<_> = self.prefixes.values().copied().collect();
        let (_, middle, _) = times.select_nth_unstable(MAX_PREFIXES / 2);
        let middle = *middle;
        self.prefixes.retain(|_, seen| *seen >= middle);
    }

    /// Records a first token; updates the prefill rate and the concurrency limit.
    pub fn record_first_token(&mut self, request: id::Request, now: Instant) {
        self.failures = 0;
        let Some(awaiting) = self.awaiting_first.remove(&request) else { return };
        if self.entry.kind == config::Kind::Plain {
            return;
        }
        let taken = now.duration_since(awaiting.since);
        let expected = Rate(self.prefill_rate).time_for(Tokens(awaiting.work.max(1)));
        let is_late = taken > expected * LATE_FIRST_TOKEN_FACTOR + LATE_FIRST_TOKEN_MARGIN;
        // Short prompts have less weight: most of their time is waiting.
        let weight =
            LEARNING_RATE * (f64::from(awaiting.work) / FULL_WEIGHT_PROMPT_TOKENS).min(1.0);
        let rate = f64::from(awaiting.work) / taken.as_secs_f64().max(1e-4);
        self.prefill_rate += weight * (rate - self.prefill_rate);
        if is_late { self.decrease_limit(now) } else { self.increase_limit() }
    }

    fn decrease_limit(&mut self, now: Instant) {
        let recent = |at: Instant| now.duration_since(at) < LIMIT_DECREASE_INTERVAL;
        if self.last_decrease.is_some_and(recent) {
            return;
        }
        self.last_decrease = Some(now);
        self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(1.0);
    }

    fn increase_limit(&mut self) {
        let max = f64::from(self.entry.slots);
        self.limit = (self.limit + LIMIT_INCREASE).min(max);
    }

    /// Records a complete answer of `tokens` that ended `taken` after its first token.
    pub fn record_completion(&mut self, tokens: Tokens, taken: Duration) {
        self.failures = 0;
        if self.entry.kind == config::Kind::Plain {
            self.call_time = moving_average(self.call_time, taken.as_secs_f64());
        } else if tokens.0 > 1 {
            let gap = taken.as_secs_f64() / f64::from(tokens.0 - 1);
            self.token_time = moving_average(self.token_time, gap);
        }
    }

    /// Releases the slot of a request.
    pub fn release(&mut self, request: id::Request) {
        self.running = self.running.saturating_sub(1);
        self.awaiting_first.remove(&request);
    }

    /// Records a failure and pauses the upstream, for twice as long each time,
    /// up to [`MAX_PAUSE`].
    pub fn record_failure(&mut self, now: Instant) {
        let pause = MIN_PAUSE * 2u32.pow(self.failures.min(5));
        self.failures += 1;
        self.paused_until = Some(now + pause.min(MAX_PAUSE));
    }

    /// The estimated prefill rate in tokens a second, and the time per answer token.
    pub fn estimated_rates(&self) -> (Rate, Duration) {
        (Rate(self.prefill_rate), Duration::from_secs_f64(self.token_time))
    }
}
