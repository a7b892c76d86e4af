//! Upstreams that crash if they have to reject too many requests.
//!
//! Load pattern: more work waits than an upstream has room for. All instances that see
//! a slot become free would send to it at once, and all but one would be rejected.
//! Instances therefore divide the slots among themselves, and send no more than their
//! part, until the upstream no longer names a limit.

use std::time::{Duration, Instant};

use super::limit::Group;
use crate::hash::stable_hash;
use crate::id;

/// A limit that no answer has named for this long is forgotten.
const LIFETIME: Duration = Duration::from_secs(10);
/// What peers still report of a limit is ignored for this long after an answer without
/// it.
const CLEARED_TIME: Duration = Duration::from_secs(2);
/// The part of an upstream's slots that an instance uses before it knows its peers'.
const FIRST_SHARE: u32 = 1;

/// The rejections per second beyond which an upstream crashes, if it named them.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    per_second: Option<u32>,
    stated_at: Option<Instant>,
    cleared_at: Option<Instant>,
    share: Option<u32>,
}

/// A limit in force.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Stated {
    at: Instant,
    per_second: u32,
}

impl From<Stated> for Limit {
    fn from(stated: Stated) -> Self {
        let (per_second, stated_at) = (Some(stated.per_second), Some(stated.at));
        Self { per_second, stated_at, ..Self::default() }
    }
}

impl Limit {
    /// The rejections per second, if a limit is in force.
    pub fn per_second(&self) -> Option<u32> {
        self.per_second
    }

    /// The limit in force, and when it was stated.
    pub fn stated(&self) -> Option<Stated> {
        Some(Stated { at: self.stated_at?, per_second: self.per_second? })
    }

    /// The slots that this instance may use; none if there is no limit.
    pub fn share(&self) -> Option<u32> {
        self.per_second.map(|_| self.share.unwrap_or(FIRST_SHARE))
    }

    /// Records what an answer names; returns whether that changes the limit.
    ///
    /// ```
    /// use rosemarypond_core::entry::rejection::Limit;
    /// let mut limit = Limit::default();
    /// assert!(limit.state(Some(5), std::time::Instant::now()));
    /// assert_eq!(limit.share(), Some(1));
    /// ```
    pub fn state(&mut self, per_second: Option<u32>, now: Instant) -> bool {
        let has_changed = self.per_second != per_second;
        if per_second.is_none() && has_changed {
            self.clear(now);
        } else if per_second.is_some() {
            self.per_second = per_second;
            self.stated_at = Some(now);
        }
        has_changed
    }

    /// Adds what a peer knows from answers.
    pub fn receive(&mut self, per_second: Option<u32>, now: Instant) {
        let is_cleared = |at: Instant| now.saturating_duration_since(at) < CLEARED_TIME;
        if per_second.is_some() && !self.cleared_at.is_some_and(is_cleared) {
            self.per_second = per_second;
            self.stated_at = Some(now);
        }
    }

    /// Updates the part of the slots that this instance may use; it is one of `group`,
    /// or uses none.
    pub fn update_share(
        &mut self,
        group: Option<&Group>,
        upstream: &id::Upstream,
        slots: u32,
        now: Instant,
    ) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= LIFETIME;
        if self.stated_at.is_none_or(is_old) {
            self.clear(now);
        }
        if let Some(rejections) = self.per_second {
            self.share = Some(group.map_or(0, |group| group.slots(upstream, slots, rejections)));
        }
    }

    fn clear(&mut self, now: Instant) {
        *self = Self { cleared_at: Some(now), ..Self::default() };
    }
}

impl Group {
    /// The slots of an upstream that this instance may use, if the upstream crashes
    /// beyond so many rejections per second: each instance that uses it may cause one
    /// at a time.
    pub fn slots(&self, upstream: &id::Upstream, slots: u32, rejections: u32) -> u32 {
        let heard = self.peers.len() as u32 + 1;
        let all = heard + self.silent as u32;
        // The instances that are not heard use their part.
        let part = |number: u32| (number.saturating_mul(heard) / all).max(1);
        let (slots, rejections) = (part(slots), part(rejections));
        let users = heard.min(slots).min(rejections);
        let key = |instance: &id::Instance| stable_hash((instance.as_str(), upstream.as_str()));
        let own = key(&self.instance);
        let rank = self.peers.iter().filter(|peer| key(peer) < own).count() as u32;
        if rank >= users {
            return 0;
        }
        slots / users + u32::from(rank < slots % users)
    }
}
