//! The promises that an instance checks about itself while it runs.
//!
//! A broken promise stops the process: the state that broke it is not to be
//! trusted with more requests.

use std::collections::HashSet;

use crate::claim::Verdict;
use crate::config::Version;
use crate::id;
use crate::outcome::Outcome;

/// What has to be remembered to check the promises.
#[derive(Debug, Default)]
pub struct Checker {
    dispatched: HashSet<id::Request>,
    version: Version,
}

impl Checker {
    /// Checks that a request is dispatched for the first time.
    ///
    /// # Panics
    ///
    /// Where it was dispatched before, or its upstream is leaving.
    pub fn check_dispatch(&mut self, request: id::Request, is_open: bool) {
        assert!(is_open, "request {request} was dispatched to a leaving upstream");
        assert!(self.dispatched.insert(request), "request {request} was dispatched twice");
    }

    /// Takes note that an upstream refused the connection: not a dispatch.
    pub fn record_connection_refused(&mut self, request: id::Request) {
        self.dispatched.remove(&request);
    }

    /// Checks that a final answer is true, and forgets the request.
    ///
    /// # Panics
    ///
    /// Where a request that was dispatched is called "not run".
    pub fn check_answer(&mut self, request: id::Request, verdict: Verdict) {
        let was_dispatched = self.dispatched.remove(&request);
        let not_run = matches!(verdict, Verdict::Refuse(Outcome::NotRun, _));
        assert!(!(was_dispatched && not_run), "request {request} ran, but was called not run");
    }

    /// Checks that nothing of a lower tier could have made room.
    ///
    /// # Panics
    ///
    /// Where a lower tier still holds work that could make room.
    pub fn check_shed(&self, request: id::Request, rank: u8, lower_could_make_room: bool) {
        assert!(
            !lower_could_make_room,
            "request {request} of rank {rank} was shed before a lower tier"
        );
    }

    /// Checks that the configuration only moves up.
    ///
    /// # Panics
    ///
    /// Where it would move down.
    pub fn check_version(&mut self, version: Version) {
        assert!(
            version >= self.version,
            "configuration {} would revert to {version}",
            self.version
        );
        self.version = version;
    }
}
