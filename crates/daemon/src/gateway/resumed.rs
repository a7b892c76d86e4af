//! Resumption of a stream that another instance began.

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
use rosemarypond_edge::connections::Activity;
use rosemarypond_edge::memory::Kind;
use rosemarypond_edge::reply::{Reply, Sender};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::held::{self, STREAM_IDLE_TIMEOUT};
use super::{Gateway, Permit, Problem, intake, refuse_unread};
use crate::head;
use crate::upstream::{DONE, Piece, Pieces};

/// How long a caller should wait before it resumes a broken stream again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answers with the rest of a stream.
pub async fn serve(
    gateway: &Rc<Gateway>,
    parts: &http::request::Parts,
    activity: &Activity,
    permit: Permit,
) -> Response<Reply> {
    let document = match held::document(gateway) {
        Ok(document) => document,
        Err(reason) => return refuse_unread(parts, reason).into(),
    };
    let (grant, from, address) = match authorize(parts, &document) {
        Ok(authorized) => authorized,
        Err(problem) => return problem.into(),
    };
    let timeout = document.tiers.iter().map(|t| t.deadline()).max().unwrap_or_default();
    let id = grant.request;
    let memory = activity.memory(Kind::Responses);
    let mut pieces = gateway.upstreams.resume(id, address, from, timeout, memory);
    let first = match next_piece(&mut pieces).await {
        Piece::Event(event) => event,
        Piece::End(Ended::Whole) => Bytes::from_static(DONE),
        Piece::End(_) | Piece::Whole(..) => return broken(id).into(),
    };
    let (sender, response) = held::stream(id, None);
    spawn_local(async move {
        forward(id, first, pieces, sender).await;
        drop(permit);
    });
    response
}

/// Checks a resume request and returns its grant, the number of events to
/// skip and the engine's address.
fn authorize(
    parts: &http::request::Parts,
    document: &Document,
) -> Result<(Grant, usize, SocketAddr), Problem> {
    let team = intake::team_of(&parts.headers, document)?;
    let token = head::text(&parts.headers, "Rosemarypond-Resume");
    let token = token
        .ok_or_else(|| Problem::bad_request(400, "The header Rosemarypond-Resume is missing."))?;
    let secret = document.resume_secret.as_deref();
    let secret =
        secret.ok_or_else(|| Problem::bad_request(404, "Streams cannot be resumed here."))?;
    let grant = resume::verify(token, secret, &team.id);
    let grant = grant.map_err(|e| Problem::bad_request(403, e.to_string()))?;
    let from = parts.uri.query().and_then(|query| query.split_once("from="));
    let from = from.map_or(Ok(0), |(_, from)| from.parse());
    let from = from.map_err(|_| Problem::bad_request(400, "'from' needs a number of events."))?;
    let upstream = document.upstreams.iter().find(|u| u.id == grant.upstream);
    let gone = || {
        Problem::bad_request(410, "The engine that held the stream is gone.")
            .with_outcome("ran-in-part")
    };
    let address = upstream.ok_or_else(gone)?.address;
    Ok((grant, from, address))
}

async fn next_piece(pieces: &mut Pieces) -> Piece {
    timeout(STREAM_IDLE_TIMEOUT, pieces.next()).await.unwrap_or(Piece::End(Ended::Broken))
}

async fn forward(id: id::Request, first: Bytes, mut pieces: Pieces, sender: Sender) {
    let mut event = first;
    loop {
        let is_last = event == DONE;
        if sender.send(Ok(event)).await.is_err() || is_last {
            return;
        }
        event = match next_piece(&mut pieces).await {
            Piece::Event(event) => event,
            Piece::End(Ended::Whole) => Bytes::from_static(DONE),
            Piece::End(_) | Piece::Whole(..) => break,
        };
    }
    // The caller may have left.
    let _ = sender.send(Ok(broken(id).to_event())).await;
}

fn broken(id: id::Request) -> Problem {
    Problem::refused(Some(id), Outcome::RanInPart, Reason::UpstreamFailed, RETRY_AFTER)
}
