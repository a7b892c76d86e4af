//! What instances tell each other of rollouts, on the wire.

use rosemarypond_core::entry::gossip::{Condemned, Trial};
use rosemarypond_core::entry::rollout::tally::{Counts, Histogram, Side, Tally};
use rosemarypond_core::id;
use rosemarypond_wire::gossip as wire;

/// The most counts of one rollout in a message, which has to fit into a datagram.
const MAX_COUNTS: usize = 64;
/// The last interval of a histogram that is accepted.
const MAX_INTERVAL: u32 = 64;
/// The largest count that is accepted; sums over thousands of instances do not overflow.
const MAX_COUNT: u64 = u32::MAX as u64;
/// The most requests that an instance or a zone may state as running.
const MAX_RUNNING: u32 = 1 << 20;

/// Encodes what is known of a rollout.
pub fn encode(trial: Trial) -> wire::Trial {
    let counts = trial.tally.counts.into_iter().take(MAX_COUNTS);
    wire::Trial {
        service: trial.service.into(),
        to: trial.to.into(),
        order: trial.order,
        step: trial.step,
        running: trial.running,
        old_running: trial.old_running,
        requests: trial.tally.requests,
        exposed: trial.tally.exposed,
        counts: counts.map(encode_counts).collect(),
    }
}

/// Decodes what is known of a rollout; none where it is not valid.
pub fn decode(trial: wire::Trial) -> Option<Trial> {
    let counts = trial.counts.into_iter().map(decode_counts).collect();
    let requests = trial.requests.min(MAX_COUNT);
    let tally = Tally { requests, exposed: trial.exposed.min(MAX_COUNT), counts };
    Some(Trial {
        service: trial.service.parse().ok()?,
        to: trial.to.parse().ok()?,
        order: trial.order,
        step: trial.step,
        running: trial.running.min(MAX_RUNNING),
        old_running: trial.old_running.min(MAX_RUNNING),
        tally,
    })
}

/// Encodes a version that proved to be bad.
pub fn encode_condemned(condemned: Condemned) -> wire::Condemned {
    let Condemned { service, to, order } = condemned;
    wire::Condemned { service: service.into(), to: to.into(), order }
}

/// Decodes a version that proved to be bad; none where it is not valid.
pub fn decode_condemned(condemned: wire::Condemned) -> Option<Condemned> {
    let wire::Condemned { service, to, order } = condemned;
    Some(Condemned { service: service.parse().ok()?, to: to.parse().ok()?, order })
}

fn encode_counts(((route, side), counts): ((id::Route, Side), Counts)) -> wire::Counts {
    wire::Counts {
        route: route.0,
        new_version: side == Side::New,
        answers: counts.answers,
        failures: counts.failures,
        first: encode_times(counts.first),
        pause: encode_times(counts.pause),
    }
}

fn decode_counts(counts: wire::Counts) -> ((id::Route, Side), Counts) {
    let side = if counts.new_version { Side::New } else { Side::Old };
    let decoded = Counts {
        answers: counts.answers.min(MAX_COUNT),
        failures: counts.failures.min(counts.answers).min(MAX_COUNT),
        first: decode_times(counts.first),
        pause: decode_times(counts.pause),
    };
    ((id::Route(counts.route), side), decoded)
}

fn encode_times(times: Histogram) -> Vec<wire::Times> {
    times.0.into_iter().map(|(interval, count)| wire::Times { interval, count }).collect()
}

/// Intervals beyond those of a histogram are dropped, and counts are bounded, so that sums
/// of what peers state cannot overflow.
fn decode_times(times: Vec<wire::Times>) -> Histogram {
    let times = times.into_iter().filter(|times| times.interval <= MAX_INTERVAL);
    Histogram(times.map(|times| (times.interval, times.count.min(MAX_COUNT))).collect())
}
