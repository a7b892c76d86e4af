//! Messages are read alike by builds that run side by side: those of the build before
//! have the bytes that it wrote, and fields that a later one adds are passed over.

use std::fmt::Debug;

use prost::Message;
use rosemarypond_wire::delegation::{Order, Report, report};
use rosemarypond_wire::gossip::{
    Admitted, Answered, Answers, Begun, Crash, Digest, Gossip, Leaving, Limit, Load, Lost,
    Quarantined, Reach, answered,
};

/// A field with the number 1,000 and the content `later`.
const LATER_FIELD: &[u8] = b"\xc2\x3e\x05later";

/// A message with something in each field.
fn gossip() -> Gossip {
    let lost = Lost { parts: vec![7, 8], fingerprint: 9, ran_ms: 10 };
    let admitted = || vec![Admitted { team: "a".into(), total: 1_000 }];
    Gossip {
        from: "a1".into(),
        incarnation: u64::MAX,
        zone: "z1".into(),
        sequence: 2,
        leaving: true,
        loads: vec![Load {
            upstream: "e1".into(),
            running: 3,
            prefill: 4,
            prefill_us: 1.5,
            token_us: 2.5,
            call_ms: 3.5,
            seen: 5,
            rejection_limit: Some(6),
        }],
        admitted: admitted(),
        age_ms: 11,
        plan: 12,
        plan_at_ms: 13,
        directory: 14,
        directory_at_ms: 15,
        era: 16,
        leaving_upstreams: vec![Leaving { upstream: "e2".into(), incarnation: 17 }],
        digest: Some(Digest {
            instances: 18,
            silent: 19,
            admitted: admitted(),
            // That build does not know these.
            trials: vec![],
            needs: vec![],
            offers: vec![],
        }),
        crashes: vec![Crash {
            upstream: "e3".into(),
            incarnation: 20,
            service: "s".into(),
            age_ms: 21,
            requests: vec![lost],
            refuted: true,
        }],
        answered: vec![
            Answered { suspect: Some(answered::Suspect::Part(22)), age_ms: 23 },
            Answered { suspect: Some(answered::Suspect::Fingerprint(24)), age_ms: 25 },
        ],
        quarantined: vec![Quarantined {
            parts: vec![26],
            fingerprint: Some(27),
            age_ms: 28,
            lifted_age_ms: Some(29),
        }],
        answers: vec![Answers { service: "s".into(), total: 30 }],
        limits: vec![Limit {
            upstream: "e4".into(),
            incarnation: 31,
            rate: Some(32.5),
            age_ms: 33,
            sent: 34,
        }],
        begun: vec![Begun { release: "v1".into(), streams: vec![35, 36] }],
        asked: vec![37],
        reaches: vec![Reach { service: "s".into(), slots: 38 }],
        // That build does not know them.
        trials: vec![],
        condemned: vec![],
        needs: vec![],
    }
}

fn order() -> Order {
    Order {
        age_us: 1,
        release: Some("v1".into()),
        stream: Some(2),
        excluded: vec!["e1".into(), "e2".into()],
        // That build does not know it.
        plan: 0,
    }
}

fn report() -> Report {
    Report {
        outcome: report::Outcome::Lost.into(),
        upstream: Some("e1".into()),
        release: Some("v1".into()),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<_> = text.chars().filter(char::is_ascii_hexdigit).collect();
    let byte = |pair: &[char]| u8::from_str_radix(&pair.iter().collect::<String>(), 16);
    digits.chunks(2).map(|pair| byte(pair).expect("it is hexadecimal")).collect()
}

/// A message is written and read as by the build that wrote `before`, in hexadecimal.
fn same_bytes<M: Debug + Default + Message + PartialEq>(message: M, before: &str) {
    let before = unhex(before);
    assert_eq!(hex(&message.encode_to_vec()), hex(&before));
    assert_eq!(M::decode(before.as_slice()).as_ref(), Ok(&message));
    let later = [before.as_slice(), LATER_FIELD].concat();
    assert_eq!(M::decode(later.as_slice()).as_ref(), Ok(&message));
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    gossip_is_as_at_07c152a =>
        same_bytes(gossip(), include_str!("builds/gossip-07c152a.hex"));
    orders_are_as_at_07c152a => same_bytes(order(), include_str!("builds/order-07c152a.hex"));
    reports_are_as_at_07c152a => same_bytes(report(), include_str!("builds/report-07c152a.hex"));
}
