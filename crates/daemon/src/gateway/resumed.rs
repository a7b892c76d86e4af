//! The rest of a stream that another instance began.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, http};
use rosemarypond_core::claim::Ended;
use rosemarypond_core::config::Document;
use rosemarypond_core::id;
use rosemarypond_core::outcome::{Outcome, Reason};
use rosemarypond_core::resume::{self, Grant};
use rosemarypond_edge::reply::{Reply, Sender};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::held::{self, STREAM_SILENCE};
use super::{Gateway, Place, Problem, intake, refuse_unread};
use crate::head;
use crate::upstream::{Answering, DONE, Piece};

/// When a caller may ask for the rest again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Gives a caller the rest of a stream.
pub async fn serve(
    gateway: &Rc<Gateway>,
    parts: &http::request::Parts,
    place: Place,
) -> Response<Reply> {
    let document = match held::document(gateway) {
        Ok(document) => document,
        Err(reason) => return refuse_unread(parts, reason).into(),
    };
    let (grant, from, address) = match granted(parts, &document) {
        Ok(granted) => granted,
        Err(problem) => return problem.into(),
    };
    let limit = document.tiers.iter().map(|t| t.deadline()).max().unwrap_or_default();
    let id = grant.request;
    let mut answering = gateway.upstreams.resume(id, address, from, limit);
    let first = match next(&mut answering).await {
        Piece::Event(event) => event,
        Piece::End(Ended::Whole) => Bytes::from_static(DONE),
        Piece::End(_) | Piece::Whole(_) => return broken(id).into(),
    };
    let (sender, response) = held::stream(id, None);
    spawn_local(async move {
        pass_on(id, first, answering, sender).await;
        drop(place);
    });
    response
}

fn granted(
    parts: &http::request::Parts,
    document: &Document,
) -> Result<(Grant, usize, SocketAddr), Problem> {
    let team = intake::team_of(&parts.headers, document)?;
    let token = head::text(&parts.headers, "Rosemarypond-Resume");
    let token =
        token.ok_or_else(|| Problem::bad(400, "The header Rosemarypond-Resume is missing."))?;
    let secret = document.resume_secret.as_deref();
    let secret = secret.ok_or_else(|| Problem::bad(404, "Streams cannot be resumed here."))?;
    let grant = resume::open(token, secret, &team.id);
    let grant = grant.map_err(|e| Problem::bad(403, e.to_string()))?;
    let from = parts.uri.query().and_then(|query| query.split_once("from="));
    let from = from.map_or(Ok(0), |(_, from)| from.parse());
    let from = from.map_err(|_| Problem::bad(400, "'from' needs a number of events."))?;
    let upstream = document.upstreams.iter().find(|u| u.id == grant.upstream);
    let gone = || {
        Problem::bad(410, "The engine that held the stream is gone.").with_outcome("ran-in-part")
    };
    let address = upstream.ok_or_else(gone)?.address;
    Ok((grant, from, address))
}

async fn next(answering: &mut Answering) -> Piece {
    timeout(STREAM_SILENCE, answering.next()).await.unwrap_or(Piece::End(Ended::Broken))
}

async fn pass_on(id: id::Request, first: Bytes, mut answering: Answering, sender: Sender) {
    let mut event = first;
    loop {
        let is_last = event == DONE;
        if sender.send(Ok(event)).await.is_err() || is_last {
            return;
        }
        event = match next(&mut answering).await {
            Piece::Event(event) => event,
            Piece::End(Ended::Whole) => Bytes::from_static(DONE),
            Piece::End(_) | Piece::Whole(_) => break,
        };
    }
    // The caller may have left.
    let _ = sender.send(Ok(broken(id).event())).await;
}

fn broken(id: id::Request) -> Problem {
    Problem::refused(Some(id), Outcome::RanInPart, Reason::UpstreamFailed, RETRY_AFTER)
}
