//! How a request ended that one instance carried out for another: told by the former,
//! read by the latter.

use hyper::body::Incoming;
use hyper::http;
use rosemarypond_core::entry::call::Ended;

use crate::delegation::{Outcome as Reported, Report};
use crate::exchange::{Exchange, Outcome};
use crate::pool::Connection;
use crate::runtime::Directives;

impl Exchange {
    /// Adds how the request ended to the headers of its answer, for the peer that
    /// delegated it.
    pub fn report(&self, headers: &mut http::HeaderMap, outcome: Reported) {
        if self.call.is_delegated() {
            Report::new(outcome, self.sent_to.borrow().as_ref()).write(headers);
        }
    }

    /// The outcome of a delegated attempt without an answer of an upstream.
    pub async fn end_unanswered(
        &self,
        unanswered: Unanswered,
        connection: Connection,
        parts: &http::response::Parts,
        body: Incoming,
    ) -> Outcome {
        // A peer answers each request once, and its own answers name none.
        if self.skip_body(body).await {
            self.gateway.pool.keep(connection, parts);
        }
        match unanswered {
            Unanswered::Ended(Ended::Broken) => self.broken(),
            Unanswered::Ended(how) => Outcome::Failed(how, None),
            Unanswered::TimedOut => Outcome::TimedOut { is_hanging: false },
        }
    }
}

/// How a delegated attempt ended that no upstream answered.
pub enum Unanswered {
    /// Another one may follow.
    Ended(Ended),
    /// The deadline passed.
    TimedOut,
}

/// Reads what a peer reports of a delegated request, and tells the scheduler which
/// upstream it was sent to.
///
/// # Errors
///
/// How the attempt ended, where no upstream answered.
pub fn read_report(
    parts: &mut http::response::Parts,
    directives: &Directives,
) -> Result<(), Unanswered> {
    let report = Report::take(&mut parts.headers).ok_or(Unanswered::Ended(Ended::Broken))?;
    let was_sent = report.upstream.is_some();
    if let Some((upstream, release)) = report.upstream {
        directives.report_delegated_send(upstream, release);
    }
    match report.outcome {
        Reported::Answered => Ok(()),
        Reported::NotRun if was_sent => {
            Err(Unanswered::Ended(Ended::NotRun { misdirected: false }))
        }
        Reported::NotRun => Err(Unanswered::Ended(Ended::Declined { is_unreached: false })),
        Reported::Lost => Err(Unanswered::Ended(Ended::Broken)),
        Reported::TimedOut => Err(Unanswered::TimedOut),
    }
}
