//! What a stopping instance still sends: requests that come, or leave the queue, late in
//! the grace time.

use std::time::Duration;

use rosemarypond_core::entry::call::Reason;
use rosemarypond_core::entry::scheduler::{Action, Event};
use rosemarypond_core::unit::Tokens;

use crate::site::{Site, WHOLE, cases, ms};

const GRACE: Duration = Duration::from_millis(7_600);

/// An instance that was told to stop, with one upstream.
fn stopping(mut site: Site, slots: u32) -> Site {
    site.register("e1", slots);
    site.handle(Event::Stop(site.now + GRACE));
    site
}

fn is_sent(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Send { .. }))
}

/// Whether the actions refuse a request, and say that the instance stops.
fn is_refused(actions: &[Action], id: u64) -> bool {
    let refuses = |action: &Action| {
        matches!(action, Action::Refuse { request, reason: Reason::Stopping, .. }
            if request.0 == id)
    };
    actions.iter().any(refuses)
}

fn late_arrivals(site: Site) {
    let mut site = stopping(site, 9);
    let call = site.call(1);
    assert!(is_sent(&site.arrive(call)));
    site.now += GRACE - ms(700);
    // Some 400 ms on an idle upstream: it would likely be cut off.
    let call = site.call(2);
    let actions = site.arrive(call);
    assert!(is_refused(&actions, 2) && !is_sent(&actions), "{actions:?}");
    // One without tokens takes 50 ms.
    let mut call = site.call(3);
    (call.prompt, call.answer) = (Tokens(0), Tokens(0));
    assert!(is_sent(&site.arrive(call)));
    site.now += ms(60);
    let mut call = site.call(4);
    (call.prompt, call.answer) = (Tokens(0), Tokens(0));
    assert!(is_refused(&site.arrive(call), 4));
}

fn late_in_the_queue(site: Site) {
    let mut site = stopping(site, 1);
    let mut calls: Vec<_> = (1..=12).map(|id| site.call(id)).collect();
    calls.iter_mut().for_each(|call| {
        (call.first_byte_deadline, call.deadline) = (site.now + ms(20_000), site.now + ms(20_000));
    });
    let mut sent = 0;
    for call in calls {
        sent += u64::from(is_sent(&site.arrive(call)));
    }
    assert!((1..12).contains(&sent), "{sent} were sent, none waits");
    site.now += GRACE - ms(900);
    // Room is found too late.
    let actions = site.handle(Event::Ended(rosemarypond_core::id::Request(1), WHOLE));
    assert!(!is_sent(&actions), "{actions:?}");
    assert!((sent + 1..=12).all(|id| is_refused(&actions, id)), "{actions:?}");
}

cases! {
    /// Guards against requests that are cut off at the end of the grace time.
    request_that_arrives_too_late_to_be_answered_is_refused => late_arrivals;
    request_that_leaves_the_queue_too_late_is_refused => late_in_the_queue;
}
