//! What the store's answers prove of the configuration, from an instance's start on.

use std::time::Duration;

use rosemarypond_core::config::Version;
use rosemarypond_core::entry::proof::{REWRITE_TIME, Stored, Uptime};
use rosemarypond_core::entry::watermark::Era;

use crate::site::{Site, cases};

const START: Uptime = Uptime(Duration::from_secs(100));
const OLD: Version = Version(7);
const NEW: Version = Version(9);

fn after(time: Duration) -> Uptime {
    Uptime(START.0 + time)
}

/// An instance that has read a version in an era, at its start.
fn started(is_first_start: bool, era: Era, version: Version) -> Stored {
    let mut stored = Stored::new(is_first_start);
    stored.record_era(era, START);
    stored.record_version(Some(version));
    stored
}

/// The store may have come back just before the start.
fn later_start(_: Site) {
    let mut stored = started(false, Era(2), OLD);
    let left = Duration::from_millis(1);
    assert!(!stored.proves(Some(OLD), Version(0), START));
    assert!(!stored.proves(Some(OLD), Version(0), after(REWRITE_TIME - left)));
    assert_eq!(stored.time_to_settle(after(REWRITE_TIME - left)), left);
    assert!(!stored.is_settled(Era(2), after(REWRITE_TIME - left)));
    assert!(!stored.is_known_settled(Era(2)));
    // The operator has written again what was lost.
    stored.record_version(Some(NEW));
    assert!(!stored.proves(Some(OLD), Version(0), after(REWRITE_TIME)));
    assert!(stored.proves(Some(NEW), Version(0), after(REWRITE_TIME)));
    assert!(stored.record_proof() && !stored.record_proof());
    assert!(stored.is_known_settled(Era(2)) && !stored.is_known_settled(Era(1)));
}

/// Nothing can have been lost before the first start, but for a return since.
fn first_start(_: Site) {
    let mut stored = started(true, Era(2), OLD);
    assert!(stored.proves(Some(OLD), Version(0), START));
    stored.record_era(Era(3), after(Duration::from_secs(9)));
    stored.record_version(Some(OLD));
    assert!(!stored.proves(Some(OLD), Version(0), after(Duration::from_secs(10))));
    assert!(stored.proves(Some(OLD), Version(0), after(Duration::from_secs(11))));
}

fn record(_: Site) {
    let mut stored = started(false, Era(2), OLD);
    // Of the era before the return.
    stored.record_settled(Era(1));
    assert!(!stored.proves(Some(OLD), Version(0), START));
    stored.record_settled(Era(2));
    assert!(stored.is_settled(Era(2), START) && !stored.is_settled(Era(1), START));
    // A newer version is known all the same.
    assert!(!stored.proves(Some(OLD), NEW, START));
    assert!(stored.proves(Some(OLD), OLD, START));
    stored.record_era(Era(3), START);
    stored.record_version(Some(OLD));
    assert!(!stored.proves(Some(OLD), OLD, START));
}

/// The record may be read before the configuration.
fn early_record(_: Site) {
    let mut stored = Stored::new(false);
    stored.record_settled(Era(2));
    assert!(!stored.is_settled(Era(2), START) && !stored.proves(None, Version(0), START));
    stored.record_era(Era(2), START);
    assert!(!stored.proves(None, Version(0), START));
    stored.record_version(Some(OLD));
    assert!(stored.proves(Some(OLD), Version(0), START));
}

cases! {
    /// Guards against a revoked credential that is served after a restart.
    first_answer_after_a_restart_proves_nothing => later_start;
    first_answer_at_the_first_start_proves_the_configuration => first_start;
    record_of_the_same_era_ends_the_wait => record;
    record_that_is_read_first_ends_the_wait => early_record;
}
