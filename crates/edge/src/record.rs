//! What is logged and counted of a request.

use std::io;
use std::time::{Duration, Instant};

use hyper::http;
use rosemarypond_core::entry::call::Ended;
use rosemarypond_core::entry::upstream::Registration;
use rosemarypond_core::id;
use slog::{info, warn};

use crate::clock;
use crate::exchange::Exchange;
use crate::runtime::Directives;
use crate::target::Target;

impl Exchange {
    /// Logs and counts the final answer.
    pub fn record_answer(&self, status: http::StatusCode, how: &'static str) {
        self.gateway.metrics.count_answer(how);
        info!(self.gateway.log, "answered"; "request" => &self.head.request, "how" => how,
            "status" => status.as_u16(), "ms" => self.elapsed_ms(), "route" => &self.route.name);
    }

    /// Logs that the request is sent.
    pub fn log_send(
        &self,
        upstream: &Registration,
        sent_before: u32,
        expected: Duration,
        running: u32,
    ) {
        info!(self.gateway.log, "sent"; "request" => &self.head.request,
            "upstream" => upstream.id.as_str(), "sent_before" => sent_before,
            "release" => upstream.release.as_ref().map(|release| release.as_str()),
            "begun_by" => self.head.resumes.as_deref(),
            "expected_ms" => expected.as_millis() as u64, "running" => running,
            "rank" => self.call.rank, "waited_ms" => self.elapsed_ms());
    }

    /// Logs and counts that the request is delegated to a peer.
    pub fn record_delegation(&self, peer: &id::Instance) {
        self.gateway.metrics.delegations.inc();
        info!(self.gateway.log, "delegated"; "request" => &self.head.request,
            "peer" => peer.as_str(), "waited_ms" => self.elapsed_ms());
    }

    /// Logs why no connection to an upstream or a peer could be opened.
    pub fn log_unreachable(&self, target: &Target, error: &io::Error) {
        info!(self.gateway.log, "connection failed"; "request" => &self.head.request,
            "to" => target.name(), "error" => error.kind().to_string());
    }

    /// Logs and counts a failed attempt.
    pub fn record_failed_attempt(&self, target: &Target, how: Ended) {
        self.gateway.metrics.count_failed_attempt(ended_name(how));
        info!(self.gateway.log, "attempt failed"; "request" => &self.head.request,
            "upstream" => target.upstream().map(|upstream| upstream.id.as_str()),
            "peer" => target.peer().map(|peer| peer.as_str()), "how" => ended_name(how),
            "ms" => self.elapsed_ms());
    }

    /// Logs, counts and reports an attempt whose connection ended before its answer
    /// was complete; the head of the answer was received at `answered_at`.
    ///
    /// The connection to a peer says nothing about the upstream.
    pub fn record_lost_connection(
        &self,
        target: &Target,
        answered_at: Option<Instant>,
        directives: &Directives,
    ) {
        let Some(upstream) = target.upstream() else { return };
        let answering = answered_at.map(|at| clock::now().saturating_duration_since(at));
        directives.report_connection_lost(answering);
        self.gateway.metrics.lost_connections.inc();
        let parts: Vec<_> = self.call.shared_parts.iter().map(|part| part.to_string()).collect();
        info!(self.gateway.log, "connection ended before the answer was complete";
            "request" => &self.head.request, "upstream" => upstream.id.as_str(),
            "answering_ms" => answering.map(|time| time.as_millis() as u64),
            "team" => self.team.as_ref().map(|t| t.id.as_str()),
            "fingerprint" => %self.call.fingerprint, "shared_parts" => parts.join(","));
    }

    /// Counts an answer that came before its request was written to its end; the
    /// connection is closed.
    pub fn record_early_answer(&self) {
        self.gateway.metrics.early_answers.inc();
    }

    /// Logs that a stream is given up, as nobody would know after a restart where it
    /// may be resumed.
    pub fn record_unrecorded(&self) {
        warn!(self.gateway.log, "stream could not be recorded in the store";
            "request" => &self.head.request, "ms" => self.elapsed_ms());
    }

    /// Logs and counts a request whose caller disconnected.
    pub fn record_caller_left(&self) {
        self.gateway.metrics.count_answer("caller-left");
        info!(self.gateway.log, "caller left"; "request" => &self.head.request,
            "ms" => self.elapsed_ms());
    }

    /// Milliseconds since the request arrived.
    pub fn elapsed_ms(&self) -> u64 {
        clock::now().saturating_duration_since(self.call.arrived).as_millis() as u64
    }
}

fn ended_name(how: Ended) -> &'static str {
    match how {
        Ended::Whole { .. } => "whole",
        Ended::NotSent => "not-sent",
        Ended::NotRun { misdirected: true } => "misdirected",
        Ended::NotRun { misdirected: false } => "not-run",
        Ended::Declined { .. } => "declined",
        Ended::Failed => "failed",
        Ended::Broken => "broken",
        Ended::Cut => "cut",
        Ended::TimedOut => "timed-out",
        Ended::Abandoned => "abandoned",
    }
}
