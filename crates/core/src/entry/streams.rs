//! Which version of the upstreams' software began each stream that may be resumed.
//!
//! A stream may be resumed only at the version that began it, which upstreams do not
//! check, and its caller may resume it at any instance. Each instance therefore tells
//! its peers which version began a stream, and asks them about one that it does not
//! know. What peers do not know is for the shared store to tell; see
//! [`baseline`](super::baseline).

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::gossip::Begun;
use super::upstream::{Registration, Upstream};
use crate::id;

/// How long a stream is remembered after an upstream began or resumed it.
pub const LIFETIME: Duration = Duration::from_secs(60);
/// How long peers are asked about a stream.
pub const ASK_TIME: Duration = Duration::from_millis(400);
/// The most streams that are remembered.
const MAX_STREAMS: usize = 65_536;
/// The most streams, and the most questions, in one message.
const MAX_PER_MESSAGE: usize = 256;
/// How often a stream that began is sent to peers, as messages may be lost.
const NEWS_MESSAGES: u8 = 2;
/// The time between two searches for what is to be forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// A stream that was begun.
#[derive(Clone, Debug)]
struct Known {
    release: id::Release,
    at: Instant,
}

/// When upstreams of a version were seen.
#[derive(Clone, Copy, Debug)]
struct Seen {
    /// Since when they have been seen within [`LIFETIME`] each time.
    since: Instant,
    last: Instant,
}

/// The streams of the last minute, over all instances.
#[derive(Debug, Default)]
pub struct Streams {
    known: HashMap<id::Stream, Known>,
    /// How often each of these is to be sent to peers yet.
    news: BTreeMap<id::Stream, u8>,
    /// What peers are asked about, with the time of the question.
    asked: BTreeMap<id::Stream, Instant>,
    /// When upstreams of each service had each version; none where it is not known.
    releases: BTreeMap<(id::Service, Option<id::Release>), Seen>,
    expired_at: Option<Instant>,
    /// When a stream was last forgotten early for want of room.
    dropped_at: Option<Instant>,
}

impl Streams {
    /// Records that an upstream of a version began a stream, or resumed it.
    pub fn begin(&mut self, stream: id::Stream, release: id::Release, now: Instant) {
        self.learn(stream, release, now);
        self.news.insert(stream, NEWS_MESSAGES);
    }

    fn learn(&mut self, stream: id::Stream, release: id::Release, now: Instant) {
        if self.known.len() >= MAX_STREAMS {
            self.dropped_at = Some(now);
            self.forget(now, LIFETIME / 4);
        }
        if self.known.len() < MAX_STREAMS {
            self.known.insert(stream, Known { release, at: now });
        }
        self.asked.remove(&stream);
    }

    /// The version that began a stream, if that is known.
    pub fn release_of(&self, stream: id::Stream) -> Option<id::Release> {
        self.known.get(&stream).map(|known| known.release.clone())
    }

    /// Whether all streams of the last minute are remembered that were learnt.
    pub fn is_complete(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LIFETIME;
        !self.dropped_at.is_some_and(is_recent)
    }

    /// Has peers asked about a stream.
    pub fn ask(&mut self, stream: id::Stream, now: Instant) {
        self.asked.entry(stream).or_insert(now);
    }

    /// Adds what a peer knows, and has answered what it asks; returns whether peers
    /// have to be sent something.
    pub fn receive(&mut self, begun: Vec<Begun>, asked: &[id::Stream], now: Instant) -> bool {
        for Begun { release, streams } in begun {
            for stream in streams.into_iter().take(MAX_PER_MESSAGE) {
                self.learn(stream, release.clone(), now);
            }
        }
        let mut has_news = false;
        for stream in asked.iter().take(MAX_PER_MESSAGE) {
            if self.known.contains_key(stream) {
                self.news.entry(*stream).or_insert(1);
                has_news = true;
            }
        }
        has_news
    }

    /// Adds streams that were recorded in the shared store.
    pub fn add_recorded(&mut self, begun: Vec<Begun>, now: Instant) {
        for Begun { release, streams } in begun {
            for stream in streams {
                self.learn(stream, release.clone(), now);
            }
        }
    }

    /// What peers have to know, by version, and what they are asked.
    pub fn message(&mut self, now: Instant) -> (Vec<Begun>, Vec<id::Stream>) {
        let mut begun: BTreeMap<id::Release, Vec<id::Stream>> = BTreeMap::new();
        let sent: Vec<_> = self.news.keys().take(MAX_PER_MESSAGE).copied().collect();
        for stream in sent {
            if let Some(known) = self.known.get(&stream) {
                begun.entry(known.release.clone()).or_default().push(stream);
            }
            self.count_sent(stream);
        }
        self.asked.retain(|_, since| now.saturating_duration_since(*since) < ASK_TIME);
        let begun = begun.into_iter().map(|(release, streams)| Begun { release, streams });
        (begun.collect(), self.asked.keys().take(MAX_PER_MESSAGE).copied().collect())
    }

    fn count_sent(&mut self, stream: id::Stream) {
        if let Some(left) = self.news.get_mut(&stream).filter(|left| **left > 1) {
            *left -= 1;
        } else {
            self.news.remove(&stream);
        }
    }

    /// Records that an upstream serves.
    pub fn record_release(&mut self, upstream: &Registration, now: Instant) {
        let Registration { service, release, .. } = upstream;
        let key = (service.clone(), release.clone());
        self.releases.entry(key).or_insert(Seen { since: now, last: now }).last = now;
    }

    /// The version of all upstreams that a service had for [`LIFETIME`], if they had
    /// the same.
    pub fn only_release(&self, service: &id::Service) -> Option<id::Release> {
        let mut of_service = self.releases.keys().filter(|(s, _)| s == service);
        let (_, release) = of_service.next()?;
        release.clone().filter(|_| of_service.next().is_none())
    }

    /// The versions that a service's upstreams have or had within [`LIFETIME`].
    pub fn releases(&self, service: &id::Service) -> Vec<id::Release> {
        let of_service = self.releases.keys().filter(|(s, _)| s == service);
        of_service.filter_map(|(_, release)| release.clone()).collect()
    }

    /// Since when a service has upstreams of a version.
    pub fn appeared(&self, service: &id::Service, release: &id::Release) -> Option<Instant> {
        let seen = self.releases.get(&(service.clone(), Some(release.clone())));
        seen.map(|seen| seen.since)
    }

    /// All streams that are known, by version.
    pub fn known(&self) -> impl Iterator<Item = (id::Stream, &id::Release)> {
        self.known.iter().map(|(stream, known)| (*stream, &known.release))
    }

    /// Forgets streams and versions of long ago; `upstreams` serve now.
    pub fn expire<'a>(&mut self, upstreams: impl Iterator<Item = &'a Upstream>, now: Instant) {
        let elapsed = self.expired_at.map(|at| now.saturating_duration_since(at));
        if elapsed.is_none_or(|elapsed| elapsed >= EXPIRY_INTERVAL) {
            self.expired_at = Some(now);
            upstreams.for_each(|upstream| self.record_release(&upstream.registration, now));
            self.releases.retain(|_, seen| now.saturating_duration_since(seen.last) < LIFETIME);
            self.forget(now, LIFETIME);
        }
    }

    fn forget(&mut self, now: Instant, age: Duration) {
        self.known.retain(|_, known| now.saturating_duration_since(known.at) < age);
    }
}
