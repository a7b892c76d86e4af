//! What one instance has learnt about one upstream.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::config;
use crate::hash::stable_hash;
use crate::id;
use crate::request::Request;
use crate::unit::{Rate, Tokens};

/// How many prompt prefixes are remembered for an upstream.
pub const MAX_PREFIXES: usize = 512;
/// The number of tokens that one prefix digest covers.
pub const BLOCK_TOKENS: u32 = 64;
/// How long a prefix is taken to stay cached.
pub const PREFIX_TTL: Duration = Duration::from_secs(120);
/// The first pause of an upstream that failed.
pub const MIN_PAUSE: Duration = Duration::from_secs(1);
/// The longest pause of an upstream that failed.
pub const MAX_PAUSE: Duration = Duration::from_secs(30);

const LEARNING_RATE: f64 = 0.2;
const DEFAULT_PREFILL: Rate = Rate(4_000.0);
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(25);
const DEFAULT_CALL_TIME: Duration = Duration::from_millis(50);
const FULL_WEIGHT_TOKENS: f64 = 1_000.0;
const LATE_MARGIN: Duration = Duration::from_secs(2);
const LATE_FACTOR: u32 = 4;
const DECREASE: f64 = 0.85;
const INCREASE: f64 = 0.25;
const DECREASE_INTERVAL: Duration = Duration::from_secs(1);

/// How the instances of a zone share an upstream's slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Sharing {
    /// Equal shares, of which slots are lent to peers that need them more.
    #[default]
    Lent,
    /// Equal shares.
    Split,
    /// One instance has all slots.
    Owned,
    /// Each instance acts as if all slots were its own.
    Independent,
}

/// The place of an instance among those that share an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Its index, from 0.
    pub index: usize,
    /// How many they are.
    pub members: usize,
}

/// A request whose first token has not come yet.
#[derive(Clone, Copy, Debug)]
struct Awaited {
    since: Instant,
    uncached: u32,
    /// Prompt tokens to be processed up to and with this request.
    work: u32,
}

/// An upstream as one instance knows it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its entry in the configuration.
    pub entry: config::Upstream,
    /// Requests of this instance that run on it.
    pub running: u32,
    /// Slots of this instance's share that peers use.
    pub lent: u32,
    /// Slots of peers' shares that this instance may use.
    pub borrowed: u32,
    /// Whether it said itself that it leaves.
    pub leaving: bool,
    /// Whether the configuration no longer names it.
    pub removed: bool,
    limit: f64,
    last_decrease: Option<Instant>,
    prefill: f64,
    token_time: f64,
    call_time: f64,
    failures: u32,
    paused_until: Option<Instant>,
    prefixes: HashMap<u64, Instant>,
    awaiting_first: HashMap<id::Request, Awaited>,
}

fn learn(old: f64, seen: f64) -> f64 {
    old + LEARNING_RATE * (seen - old)
}

impl Engine {
    /// An upstream of which only the configuration is known.
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
            prefill: DEFAULT_PREFILL.0,
            token_time: DEFAULT_TOKEN_TIME.as_secs_f64(),
            call_time: DEFAULT_CALL_TIME.as_secs_f64(),
            failures: 0,
            paused_until: None,
            prefixes: HashMap::new(),
            awaiting_first: HashMap::new(),
        }
    }

    /// Takes over a changed entry and keeps what was learnt.
    pub fn reconfigure(&mut self, entry: config::Upstream) {
        self.limit = self.limit.min(f64::from(entry.slots));
        if entry.slots > self.entry.slots {
            self.limit = f64::from(entry.slots);
        }
        self.entry = entry;
    }

    /// Whether it is leaving, whoever says so.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.removed || self.entry.leaving
    }

    /// Whether it gets new work at all.
    pub fn is_open(&self, now: Instant) -> bool {
        let paused = self.paused_until.is_some_and(|until| now < until);
        !self.is_leaving() && !paused
    }

    /// The most requests that all instances together run on it.
    pub fn limit(&self) -> u32 {
        if self.failures > 0 { 1 } else { self.limit as u32 }
    }

    /// This instance's share of the limit.
    ///
    /// Except with [`Sharing::Independent`], the shares of all places add up
    /// to the limit.
    pub fn share(&self, sharing: Sharing, position: Position) -> u32 {
        let members = position.members.max(1) as u32;
        let limit = self.limit();
        let turn = self.rotated_index(position);
        match sharing {
            Sharing::Independent => limit,
            Sharing::Owned if turn == 0 => limit,
            Sharing::Owned => 0,
            Sharing::Lent | Sharing::Split => limit / members + u32::from(turn < limit % members),
        }
    }

    /// The place of an instance counted from the first one of this upstream,
    /// which differs from upstream to upstream.
    pub fn rotated_index(&self, position: Position) -> u32 {
        let members = position.members.max(1) as u64;
        let offset = stable_hash(self.entry.id.as_str()) % members;
        ((position.index as u64 + offset) % members) as u32
    }

    /// How many more requests this instance may send to it.
    pub fn free_slots(&self, sharing: Sharing, position: Position) -> u32 {
        let share = self.share(sharing, position) + self.borrowed;
        share.saturating_sub(self.running + self.lent)
    }

    /// How many of a request's prompt tokens it is likely to hold already.
    pub fn cached_tokens(&self, request: &Request, now: Instant) -> Tokens {
        let fresh = |digest: &&u64| {
            self.prefixes.get(digest).is_some_and(|seen| now.duration_since(*seen) < PREFIX_TTL)
        };
        let blocks = request.prefix.iter().take_while(fresh).count() as u32;
        Tokens((blocks * BLOCK_TOKENS).min(request.prompt.0))
    }

    /// The expected time until the first token or byte of an answer.
    pub fn first_token_time(&self, request: &Request, now: Instant) -> Duration {
        if self.entry.kind == config::Kind::Plain {
            return Duration::from_secs_f64(self.call_time);
        }
        let left = request.prompt.0 - self.cached_tokens(request, now).0;
        let work = Rate(self.prefill).time_for(Tokens(self.awaited_tokens() + left.max(1)));
        work.max(self.oldest_wait(now) / 2)
    }

    /// The expected time until the whole answer.
    pub fn completion_time(&self, request: &Request, answer: Tokens, now: Instant) -> Duration {
        let first = self.first_token_time(request, now);
        if self.entry.kind == config::Kind::Plain {
            return first;
        }
        first + Duration::from_secs_f64(self.token_time * f64::from(answer.0))
    }

    fn oldest_wait(&self, now: Instant) -> Duration {
        let oldest = self.awaiting_first.values().map(|awaited| awaited.since).min();
        oldest.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Prompt tokens of this instance's requests that are still processed.
    fn awaited_tokens(&self) -> u32 {
        self.awaiting_first.values().map(|awaited| awaited.uncached).sum()
    }

    /// Notes that a request was sent to it.
    pub fn record_dispatch(&mut self, request: &Request, now: Instant) {
        let uncached = request.prompt.0 - self.cached_tokens(request, now).0;
        let work = self.awaited_tokens() + uncached;
        self.awaiting_first.insert(request.id, Awaited { since: now, uncached, work });
        self.record_cached(&request.prefix, now);
    }

    /// Notes that prompt prefixes are cached on it.
    pub fn record_cached(&mut self, digests: &[u64], now: Instant) {
        for digest in digests {
            self.prefixes.insert(*digest, now);
        }
        if self.prefixes.len() > MAX_PREFIXES {
            self.forget_oldest();
        }
    }

    /// Notes that a prompt prefix is no longer cached on it.
    pub fn record_evicted(&mut self, digest: u64) {
        self.prefixes.remove(&digest);
    }

    fn forget_oldest(&mut self) {
        let mut times: Vec<_> = self.prefixes.values().copied().collect();
        let (_, middle, _) = times.select_nth_unstable(MAX_PREFIXES / 2);
        let middle = *middle;
        self.prefixes.retain(|_, seen| *seen >= middle);
    }

    /// Learns from a first token.
    pub fn record_first_token(&mut self, request: id::Request, now: Instant) {
        self.failures = 0;
        let Some(awaited) = self.awaiting_first.remove(&request) else { return };
        if self.entry.kind == config::Kind::Plain {
            return;
        }
        let taken = now.duration_since(awaited.since);
        let expected = Rate(self.prefill).time_for(Tokens(awaited.work.max(1)));
        let late = taken > expected * LATE_FACTOR + LATE_MARGIN;
        // Short prompts say little of the rate: their time is mostly waiting.
        let weight = LEARNING_RATE * (f64::from(awaited.work) / FULL_WEIGHT_TOKENS).min(1.0);
        let seen = f64::from(awaited.work) / taken.as_secs_f64().max(1e-4);
        self.prefill += weight * (seen - self.prefill);
        if late { self.decrease(now) } else { self.increase() }
    }

    fn decrease(&mut self, now: Instant) {
        let recent = |at: Instant| now.duration_since(at) < DECREASE_INTERVAL;
        if self.last_decrease.is_some_and(recent) {
            return;
        }
        self.last_decrease = Some(now);
        self.limit = (self.limit * DECREASE).max(1.0);
    }

    fn increase(&mut self) {
        let most = f64::from(self.entry.slots);
        self.limit = (self.limit + INCREASE).min(most);
    }

    /// Learns from a whole answer of `tokens` that took `taken` after its first.
    pub fn record_completion(&mut self, tokens: Tokens, taken: Duration) {
        self.failures = 0;
        if self.entry.kind == config::Kind::Plain {
            self.call_time = learn(self.call_time, taken.as_secs_f64());
        } else if tokens.0 > 1 {
            let gap = taken.as_secs_f64() / f64::from(tokens.0 - 1);
            self.token_time = learn(self.token_time, gap);
        }
    }

    /// Notes that a request no longer runs on it.
    pub fn release(&mut self, request: id::Request) {
        self.running = self.running.saturating_sub(1);
        self.awaiting_first.remove(&request);
    }

    /// Notes a failure: no new work for a pause that doubles each time.
    pub fn record_failure(&mut self, now: Instant) {
        let pause = MIN_PAUSE * 2u32.pow(self.failures.min(5));
        self.failures += 1;
        self.paused_until = Some(now + pause.min(MAX_PAUSE));
    }

    /// The learnt rates, as prompt tokens a second and seconds a token.
    pub fn estimated_rates(&self) -> (Rate, Duration) {
        (Rate(self.prefill), Duration::from_secs_f64(self.token_time))
    }
}
