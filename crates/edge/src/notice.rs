//! What the responses of upstreams say about the upstreams themselves.

use std::time::Instant;

use hyper::http;
use rosemarypond_core::entry::upstream::Registration;
use slog::warn;

use crate::dialect::{Limit, Pause, RejectionLimit};
use crate::exchange::Exchange;

impl Exchange {
    /// Passes on to the scheduler what a response says about its upstream.
    pub fn heed_notice(
        &self,
        upstream: &Registration,
        parts: &http::response::Parts,
        sent: Instant,
    ) {
        let notice = (self.gateway.dialect.read_notice)(parts);
        if notice.is_leaving {
            self.gateway.record_leaving(upstream);
        }
        match notice.limit {
            Some(Limit::PerSecond(rate)) => self.gateway.record_limit(upstream, Some(rate), sent),
            None => self.gateway.record_limit(upstream, None, sent),
            Some(Limit::Invalid) => {
                warn!(self.gateway.log, "upstream names a limit that is not valid; ignored";
                    "request" => &self.head.request, "upstream" => upstream.id.as_str());
            }
        }
        match notice.rejection_limit {
            Some(RejectionLimit::PerSecond(n)) => {
                self.gateway.record_rejection_limit(upstream, Some(n));
            }
            None => self.gateway.record_rejection_limit(upstream, None),
            Some(RejectionLimit::Invalid) => {
                warn!(self.gateway.log, "upstream names rejections that are not valid; ignored";
                    "request" => &self.head.request, "upstream" => upstream.id.as_str());
            }
        }
        match notice.pause {
            Some(Pause::For(time)) => self.gateway.record_pause(upstream, time),
            Some(Pause::Invalid) => {
                warn!(self.gateway.log, "upstream asks for a pause that is not valid; ignored";
                    "request" => &self.head.request, "upstream" => upstream.id.as_str());
            }
            None => {}
        }
    }
}
