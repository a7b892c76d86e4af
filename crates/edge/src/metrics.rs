//! Counters and latency histograms of an entry instance.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::connections::Connections;

/// Counters with the label `how`: how a request or an attempt ended.
type ByHow = Family<[(&'static str, &'static str); 1], Counter>;

/// The metrics of an entry instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that arrived.
    pub requests: Counter,
    /// Final answers, by how the request ended.
    pub answers: ByHow,
    /// Requests sent to upstreams.
    pub sends: Counter,
    /// Attempts that ended without a whole answer, by how they ended.
    pub failed_attempts: ByHow,
    /// Requests that were delegated to peers.
    pub delegations: Counter,
    /// Requests that peers delegated to this instance.
    pub delegated_requests: Counter,
    /// Connections to upstreams that ended before the answer was complete.
    pub lost_connections: Counter,
    /// Answers that came before their requests were written to their end.
    pub early_answers: Counter,
    /// Seconds until the first byte or event of an answer.
    pub first_seconds: Histogram,
    /// Open connections from callers.
    pub connections: Gauge,
    /// Requests sent to engines that other zones offered, since the start.
    pub spilled_requests: Gauge,
    /// Configurations that were not valid.
    pub invalid_configurations: Counter,
    /// Steps that rollouts have reached, by step.
    pub rollout_steps: ByHow,
    /// Versions that proved to be bad.
    pub condemned_versions: Counter,
    /// Orders of rollouts that were not valid.
    pub invalid_orders: Counter,
}

impl Metrics {
    /// Metrics that include those of the connections and their memory.
    pub fn new(connections: &Connections) -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("rosemarypond"),
            requests: Counter::default(),
            answers: ByHow::default(),
            sends: Counter::default(),
            failed_attempts: ByHow::default(),
            delegations: Counter::default(),
            delegated_requests: Counter::default(),
            lost_connections: Counter::default(),
            early_answers: Counter::default(),
            first_seconds: Histogram::new(exponential_buckets(0.01, 2.0, 11)),
            connections: Gauge::default(),
            spilled_requests: Gauge::default(),
            invalid_configurations: Counter::default(),
            rollout_steps: ByHow::default(),
            condemned_versions: Counter::default(),
            invalid_orders: Counter::default(),
        };
        let registry = &mut metrics.registry;
        connections.register(registry);
        registry.register("requests", "Requests that arrived", metrics.requests.clone());
        registry.register("answers", "Final answers", metrics.answers.clone());
        registry.register("sends", "Requests sent to upstreams", metrics.sends.clone());
        registry.register("failed_tries", "Tries that failed", metrics.failed_attempts.clone());
        registry.register(
            "delegations",
            "Requests that were delegated to peers",
            metrics.delegations.clone(),
        );
        registry.register(
            "delegated_requests",
            "Requests that peers delegated to this instance",
            metrics.delegated_requests.clone(),
        );
        registry.register(
            "lost_connections",
            "Connections to upstreams that ended before the answer was complete",
            metrics.lost_connections.clone(),
        );
        registry.register(
            "early_answers",
            "Answers that came before their requests were written to their end",
            metrics.early_answers.clone(),
        );
        registry.register("first_seconds", "First byte or event", metrics.first_seconds.clone());
        registry.register("connections", "Open connections", metrics.connections.clone());
        registry.register(
            "spilled_requests",
            "Requests sent to engines that other zones offered, since the start",
            metrics.spilled_requests.clone(),
        );
        registry.register(
            "invalid_configurations",
            "Configurations that were not valid",
            metrics.invalid_configurations.clone(),
        );
        registry.register(
            "rollout_steps",
            "Steps that rollouts have reached",
            metrics.rollout_steps.clone(),
        );
        registry.register(
            "condemned_versions",
            "Versions that proved to be bad",
            metrics.condemned_versions.clone(),
        );
        registry.register(
            "invalid_orders",
            "Orders of rollouts that were not valid",
            metrics.invalid_orders.clone(),
        );
        metrics
    }

    /// Counts a final answer.
    pub fn count_answer(&self, how: &'static str) {
        self.answers.get_or_create(&[("how", how)]).inc();
    }

    /// Counts a failed attempt.
    pub fn count_failed_attempt(&self, how: &'static str) {
        self.failed_attempts.get_or_create(&[("how", how)]).inc();
    }

    /// Counts that a rollout has reached a step.
    pub fn count_rollout_step(&self, step: &'static str) {
        self.rollout_steps.get_or_create(&[("how", step)]).inc();
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
