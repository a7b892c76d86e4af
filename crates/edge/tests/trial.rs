//! What instances tell each other of rollouts is read as it was written.

use std::time::Duration;

use rosemarypond_core::entry::gossip::{Condemned, Trial};
use rosemarypond_core::entry::rollout::tally::{Side, Tally};
use rosemarypond_core::id;
use rosemarypond_edge::trial;

fn whole() -> Trial {
    let mut tally = Tally { requests: 100, exposed: 6, ..Tally::default() };
    for side in [Side::Old, Side::New] {
        let counts = tally.counts_mut(id::Route(7), side);
        counts.answers = 5;
        counts.failures = 2;
        counts.first.record(Duration::from_millis(80));
        counts.pause.record(Duration::from_millis(3));
    }
    Trial {
        service: "app".parse().expect("the name is valid"),
        to: "v2".parse().expect("the name is valid"),
        order: 9,
        step: 2,
        running: 4,
        old_running: 3,
        tally,
    }
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    counts_are_read_as_written => assert_eq!(trial::decode(trial::encode(whole())), Some(whole()));
    condemned_version_is_read_as_written => {
        let Trial { service, to, order, .. } = whole();
        let condemned = Condemned { service, to, order };
        let decoded = trial::decode_condemned(trial::encode_condemned(condemned.clone()));
        assert_eq!(decoded, Some(condemned));
    };
    invalid_service_is_passed_over => {
        let mut encoded = trial::encode(whole());
        encoded.service = String::new();
        assert_eq!(trial::decode(encoded), None);
    };
}
