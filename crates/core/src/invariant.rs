//! Invariants that an instance checks at run time.
//!
//! A violation panics, which stops the process: the state that led to it must
//! not handle more requests.

use std::collections::HashSet;

use crate::claim::Verdict;
use crate::config::Version;
use crate::id;
use crate::outcome::Outcome;

/// Checks the invariants of one instance.
#[derive(Debug, Default)]
pub struct Checker {
    dispatched: HashSet<id::Request>,
    version: Version,
}

impl Checker {
    /// Checks that a request is dispatched for the first time, to an open upstream.
    ///
    /// # Panics
    ///
    /// Panics where it was dispatched before or its upstream is not open.
    pub fn check_dispatch(&mut self, request: id::Request, is_open: bool) {
        assert!(is_open, "request {request} was dispatched to a leaving or paused upstream");
        assert!(self.dispatched.insert(request), "request {request} was dispatched twice");
    }

    /// Records that an upstream refused the connection: the request does not count
    /// as dispatched.
    pub fn record_connection_refused(&mut self, request: id::Request) {
        self.dispatched.remove(&request);
    }

    /// Checks that a final answer is true, and drops the state of the request.
    ///
    /// # Panics
    ///
    /// Panics where a request that was dispatched is reported as not run.
    pub fn check_answer(&mut self, request: id::Request, verdict: Verdict) {
        let was_dispatched = self.dispatched.remove(&request);
        let not_run = matches!(verdict, Verdict::Refuse(Outcome::NotRun, _));
        assert!(!(was_dispatched && not_run), "request {request} ran, but was reported as not run");
    }

    /// Checks that a request is shed only where no lower tier could make room.
    ///
    /// # Panics
    ///
    /// Panics where a lower tier still holds work that could make room.
    pub fn check_shed(&self, request: id::Request, rank: u8, lower_tier_could_make_room: bool) {
        assert!(
            !lower_tier_could_make_room,
            "request {request} of rank {rank} was shed before a lower tier"
        );
    }

    /// Checks that the configuration's version does not decrease.
    ///
    /// # Panics
    ///
    /// Panics where it would decrease.
    pub fn check_version(&mut self, version: Version) {
        assert!(
            version >= self.version,
            "configuration {} would revert to {version}",
            self.version
        );
        self.version = version;
    }
}
