//! Counters and gauges in Prometheus' text format.

use std::cell::Cell;
use std::fmt;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use rosemarypond_core::instance::{Counters, Instance};
use rosemarypond_edge::connections::Connections;

use crate::peer::Traffic;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Tier {
    tier: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Refused {
    tier: String,
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Upstream {
    upstream: String,
}

/// The state of an instance at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    tiers: Vec<String>,
    counters: Counters,
    version: u64,
    waiting: usize,
    held: usize,
    peers: usize,
    running: Vec<(String, u32)>,
}

impl Snapshot {
    /// Copies the state that the metrics report.
    pub fn of(instance: &Instance) -> Self {
        let (version, document) = instance.config();
        let running = |e: &rosemarypond_core::engine::Engine| (e.entry.id.to_string(), e.running);
        Self {
            tiers: document.tiers.iter().map(|t| t.id.to_string()).collect(),
            counters: instance.counters().clone(),
            version: version.0,
            waiting: instance.waiting_count(),
            held: instance.held_count(),
            peers: instance.members().iter().count(),
            running: instance.engines().map(running).collect(),
        }
    }

    fn tier_name(&self, rank: u8) -> String {
        let name = self.tiers.get(usize::from(rank)).cloned();
        name.unwrap_or_else(|| format!("rank-{rank}"))
    }
}

/// Returns the metrics as text. `kept_answers` is the number of answers in memory
/// that are not yet written to the table.
///
/// # Errors
///
/// Where the text cannot be written.
pub fn encode(
    snapshot: &Snapshot,
    kept_answers: usize,
    traffic: &Traffic,
    connections: &Connections,
) -> Result<String, fmt::Error> {
    let mut registry = Registry::with_prefix("rosemarypond");
    add_tiers(&mut registry, snapshot);
    add_refusals(&mut registry, snapshot);
    add_state(&mut registry, snapshot);
    let help = "Answers kept until they are written to the table";
    gauge(&mut registry, "kept_answers", help, kept_answers);
    add_traffic(&mut registry, traffic);
    connections.register(&mut registry);
    let mut text = String::new();
    text::encode(&mut text, &registry)?;
    Ok(text)
}

fn counter(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter: Counter = Counter::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}

fn gauge(registry: &mut Registry, name: &str, help: &str, value: usize) {
    let gauge: Gauge = Gauge::default();
    gauge.set(value as i64);
    registry.register(name, help, gauge);
}

fn add_tiers(registry: &mut Registry, snapshot: &Snapshot) {
    let counters = &snapshot.counters;
    let families = [
        ("offered", "Requests that arrived", &counters.offered),
        ("good", "Requests that were answered whole in time", &counters.good),
        ("late", "Requests that were answered whole but late", &counters.late),
    ];
    for (name, help, counts) in families {
        let family = Family::<Tier, Counter>::default();
        for (rank, count) in counts {
            family.get_or_create(&Tier { tier: snapshot.tier_name(*rank) }).inc_by(*count);
        }
        registry.register(name, help, family);
    }
}

fn add_refusals(registry: &mut Registry, snapshot: &Snapshot) {
    let family = Family::<Refused, Counter>::default();
    for ((rank, outcome, reason), count) in &snapshot.counters.refused {
        let labels = Refused {
            tier: snapshot.tier_name(*rank),
            outcome: outcome.as_str(),
            reason: reason.as_str(),
        };
        family.get_or_create(&labels).inc_by(*count);
    }
    registry.register("refused", "Requests that were refused", family);
}

fn add_state(registry: &mut Registry, snapshot: &Snapshot) {
    let counters = &snapshot.counters;
    counter(registry, "prefill_tokens", "Prompt tokens to be processed", counters.prefill);
    let help = "Prompt tokens of requests without a whole answer";
    counter(registry, "wasted_prefill_tokens", help, counters.wasted_prefill);
    gauge(registry, "config_version", "Configuration in force", snapshot.version as usize);
    gauge(registry, "waiting", "Requests that wait", snapshot.waiting);
    gauge(registry, "held", "Requests that are held", snapshot.held);
    gauge(registry, "peers", "Peers that are heard", snapshot.peers);
    let family = Family::<Upstream, Gauge>::default();
    for (upstream, running) in &snapshot.running {
        let labels = Upstream { upstream: upstream.clone() };
        family.get_or_create(&labels).set(i64::from(*running));
    }
    registry.register("running", "Requests of this instance that run", family);
}

fn add_traffic(registry: &mut Registry, traffic: &Traffic) {
    let read = |count: &Cell<u64>| count.get();
    counter(registry, "peer_sent_frames", "Frames sent", read(&traffic.sent_frames));
    counter(registry, "peer_sent_bytes", "Bytes sent to peers", read(&traffic.sent_bytes));
    let help = "Frames received from peers";
    counter(registry, "peer_received_frames", help, read(&traffic.received_frames));
    let help = "Bytes received from peers";
    counter(registry, "peer_received_bytes", help, read(&traffic.received_bytes));
    let help = "Frames that a peer did not take";
    counter(registry, "peer_dropped_frames", help, read(&traffic.dropped_frames));
}
