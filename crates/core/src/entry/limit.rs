//! Keeps to the limit that an upstream names: the requests per second that it takes
//! from all instances together.
//!
//! All instances would send to a limited upstream as soon as it has room, before
//! they know of each other's requests. Each therefore counts what the others report,
//! waits for its turn, sends few at once, and assumes when it learns of a limit that
//! it was used up just before.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::gossip;
use crate::hash::stable_hash;
use crate::id;
use crate::unit::RequestRate;

/// The time over which a limit is kept.
const WINDOW: Duration = Duration::from_secs(4);
/// The least requests that are counted together: a lower rate has a longer window.
const MIN_REQUESTS: f64 = 2.0;
/// An upstream that names less than this, in requests per second, is asked this
/// often whether it still does.
const MIN_RATE: RequestRate = RequestRate(0.1);
/// A higher limit than this, in requests per second, is kept as this one.
const MAX_RATE: RequestRate = RequestRate(1_000.0);
/// Requests that are sent within this time are counted as one entry.
const ENTRY_TIME: Duration = Duration::from_millis(20);
/// How much newer a peer's knowledge seems to be by the time of its message.
const SKEW: Duration = Duration::from_millis(100);
/// How long a change is repeated in each message.
const NEWS_TIME: Duration = Duration::from_secs(1);
/// The most instances whose turns follow each other; of more, several have theirs
/// at once.
const MAX_TURNS: f64 = 8.0;

/// Which part of a limit an instance may use, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turn {
    /// How long it waits after a request may be sent, so that others go first.
    pub delay: Duration,
    /// The most requests that it sends within `interval`.
    pub burst: u32,
    /// The time in which its peers learn of a request.
    pub interval: Duration,
    /// The part of the limit that the instances which are heard use; the others may
    /// use the rest.
    pub share: f64,
}

/// The instances that use a limited upstream together, as one of them sees them.
#[derive(Clone, Debug)]
pub struct Group {
    /// This instance.
    pub instance: id::Instance,
    /// Its peers that are heard.
    pub peers: Vec<id::Instance>,
    /// Peers that are not heard but may be running.
    pub silent: usize,
    /// The time in which peers learn of a request.
    pub interval: Duration,
}

impl Group {
    /// This instance's turn at an upstream; none if others use its limit alone.
    pub fn turn(&self, upstream: &id::Upstream, rate: RequestRate) -> Option<Turn> {
        let rate = rate.max(MIN_RATE).min(MAX_RATE);
        let key = |instance: &id::Instance| stable_hash((instance.as_str(), upstream.as_str()));
        let own = key(&self.instance);
        let rank = self.peers.iter().filter(|peer| key(peer) < own).count();
        // Half of the requests by which the limit may be exceeded for a moment.
        let window = WINDOW.as_secs_f64();
        let most = ((1.5 * rate.0 * window + 5.0) / 2.0).floor().max(1.0);
        let users = most.min(self.peers.len() as f64 + 1.0);
        if rank as f64 >= users {
            return None;
        }
        let heard = self.peers.len() + 1;
        Some(Turn {
            delay: self.interval.mul_f64((rank as f64 * MAX_TURNS / users.max(MAX_TURNS)).floor()),
            burst: ((0.5 * rate.0 * window + 5.0) / users).floor().max(1.0) as u32,
            interval: self.interval,
            share: heard as f64 / (heard + self.silent) as f64,
        })
    }
}

/// Requests that were sent at about the same time.
#[derive(Clone, Copy, Debug)]
struct Entry {
    at: Instant,
    count: u32,
    is_own: bool,
}

/// The limit of an upstream.
#[derive(Clone, Debug)]
pub struct Limit {
    /// None once the upstream names none any more.
    rate: Option<RequestRate>,
    /// When peers were last to learn of something: another rate, or a request that
    /// this instance sent.
    changed_at: Instant,
    /// When the upstream said so last.
    stated_at: Instant,
    /// The requests of all instances, by time.
    entries: VecDeque<Entry>,
    /// What each peer had sent since its start by its last message.
    reported: HashMap<id::Instance, (id::Incarnation, u64)>,
    turn: Option<Turn>,
}

impl Limit {
    /// A limit that was just learnt.
    pub fn new(rate: RequestRate, stated_at: Instant, now: Instant) -> Self {
        let mut limit = Self {
            rate: Some(rate),
            changed_at: now,
            stated_at,
            entries: VecDeque::new(),
            reported: HashMap::new(),
            turn: None,
        };
        limit.assume_used(now);
        limit
    }

    /// The rate, if one is in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Records what the upstream says, in an answer to a request that was sent at
    /// `sent`; returns whether that changes the limit.
    pub fn state(&mut self, rate: Option<RequestRate>, sent: Instant, now: Instant) -> bool {
        // An answer that was given before the limit was named says nothing of it.
        if rate.is_none() && sent < self.stated_at {
            return false;
        }
        self.set(rate, now, now)
    }

    /// Adds what a peer knows of the upstream; returns whether that changes the
    /// limit.
    pub fn receive(&mut self, limit: &gossip::Limit, now: Instant) -> bool {
        let stated_at = now.checked_sub(limit.age).unwrap_or(now);
        stated_at > self.stated_at + SKEW && self.set(limit.rate, stated_at, now)
    }

    fn set(&mut self, rate: Option<RequestRate>, stated_at: Instant, now: Instant) -> bool {
        let has_changed = self.rate != rate;
        if has_changed {
            self.changed_at = now;
        }
        let is_new = self.rate.is_none() && rate.is_some();
        self.rate = rate;
        if is_new {
            self.assume_used(now);
        }
        self.stated_at = stated_at;
        has_changed
    }

    /// Assumes that all of it was used in the window before.
    fn assume_used(&mut self, now: Instant) {
        let (capacity, window) = self.capacity(1.0);
        self.entries.clear();
        for index in (0..capacity).rev() {
            let age = window.mul_f64(f64::from(index) / f64::from(capacity));
            self.record(now.checked_sub(age).unwrap_or(now), 1, false);
        }
    }

    /// How many requests may be sent in which time.
    fn capacity(&self, share: f64) -> (u32, Duration) {
        let rate = self.rate.unwrap_or(MIN_RATE).max(MIN_RATE).min(MAX_RATE).0;
        let seconds = WINDOW.as_secs_f64().max(MIN_REQUESTS / rate);
        let requests = (rate * seconds * share + 1e-9).floor().max(1.0);
        (requests as u32, Duration::from_secs_f64(seconds))
    }

    /// Records that this instance sent a request.
    pub fn record_sent(&mut self, now: Instant) {
        self.changed_at = now;
        self.record(now, 1, true);
    }

    /// Records what a peer has sent since its start.
    pub fn record_peer(
        &mut self,
        peer: &id::Instance,
        incarnation: id::Incarnation,
        sent: u64,
        now: Instant,
    ) {
        let before = self.reported.insert(peer.clone(), (incarnation, sent));
        let new = match before {
            Some((known, before)) if known == incarnation => sent.saturating_sub(before),
            // Another process: all that it has sent.
            Some(_) => sent,
            // What it sent before its first report is assumed to have been.
            None => 0,
        };
        let (capacity, _) = self.capacity(1.0);
        self.record(now, new.min(u64::from(capacity)) as u32, false);
    }

    fn record(&mut self, at: Instant, count: u32, is_own: bool) {
        if count == 0 || self.rate.is_none() {
            return;
        }
        match self.entries.back_mut() {
            Some(last)
                if last.is_own == is_own && at.saturating_duration_since(last.at) < ENTRY_TIME =>
            {
                last.count = last.count.saturating_add(count);
            }
            _ => self.entries.push_back(Entry { at, count, is_own }),
        }
    }

    /// Sets this instance's turn, and forgets what was long ago.
    pub fn set_turn(&mut self, turn: Option<Turn>, now: Instant) {
        self.turn = turn;
        if self.rate.is_none() {
            self.entries.clear();
        }
        let (_, window) = self.capacity(1.0);
        let is_old = |entry: &Entry| now.saturating_duration_since(entry.at) > window * 2;
        while self.entries.front().is_some_and(is_old) {
            self.entries.pop_front();
        }
    }

    /// Whether this instance may send a request now.
    pub fn has_room(&self, now: Instant) -> bool {
        if self.rate.is_none() {
            return true;
        }
        let Some(turn) = self.turn else { return false };
        let is_recent = |e: &&Entry| now.saturating_duration_since(e.at) < turn.interval;
        let own = self.entries.iter().rev().take_while(is_recent).filter(|e| e.is_own);
        if own.map(|entry| entry.count).sum::<u32>() >= turn.burst {
            return false;
        }
        let (capacity, window) = self.capacity(turn.share);
        let mut count = 0_u32;
        for entry in self.entries.iter().rev() {
            count = count.saturating_add(entry.count);
            if count >= capacity {
                return now >= entry.at + window + turn.delay;
            }
        }
        true
    }

    /// Whether peers are to be told now, and not only from time to time.
    pub fn is_news(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.changed_at) < NEWS_TIME
    }

    /// What peers have to know; `sent` is what this instance has sent since its
    /// start.
    pub fn message(
        &self,
        upstream: &id::Upstream,
        incarnation: u64,
        sent: u64,
        now: Instant,
    ) -> gossip::Limit {
        gossip::Limit {
            upstream: upstream.clone(),
            incarnation,
            rate: self.rate,
            age: now.saturating_duration_since(self.stated_at),
            sent,
        }
    }
}
