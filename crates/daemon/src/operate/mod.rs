//! The operators' interface: queries, which only read, and commands.

mod command;
mod query;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri, header};
use rosemarypond_core::id;
use rosemarypond_core::language::{Command, Query};
use rosemarypond_edge::connections::Connections;
use serde_json::{Value, json};

use crate::answer::Answer;
use crate::client;
use crate::head::credential;
use crate::metrics::{self, Snapshot};
use crate::peer::Traffic;
use crate::platform::{Client, Listed};
use crate::runtime::Handle;

/// The path of queries.
pub const QUERY_PATH: &str = "/operator/query";
/// The path of commands.
pub const COMMAND_PATH: &str = "/operator/command";
/// The URL's query part that limits a query to the instance that receives it.
const ONLY_HERE: &str = "here";
/// How long another instance's answer may take.
pub const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest accepted query or command, in bytes.
pub const MAX_SENTENCE_BYTES: usize = 64 * 1024;

/// The longest accepted answer of another instance, in bytes.
const MAX_ANSWER_BYTES: usize = 10 * 1024 * 1024;

/// Answers operators.
#[derive(Clone)]
pub struct Api {
    /// Access to the scheduler.
    pub handle: Handle,
    /// The client of the platform.
    pub platform: Client,
    /// This instance.
    pub own: Listed,
    /// The instances in the platform's list when it was last read.
    pub listed: Rc<RefCell<Vec<Listed>>>,
    /// The traffic with the peers.
    pub traffic: Rc<Traffic>,
    /// The open connections of callers.
    pub connections: Connections,
    peers: Rc<client::Client>,
}

/// An operator whose credential was accepted.
struct Operator {
    id: id::Operator,
    credential: String,
}

/// A JSON response.
struct Response {
    status: u16,
    body: Value,
}

impl Response {
    fn ok(body: Value) -> Self {
        Self { status: 200, body }
    }

    fn error(status: u16, message: impl ToString) -> Self {
        Self { status, body: json!({ "error": message.to_string() }) }
    }
}

impl Api {
    /// Creates the operators' interface of an instance.
    pub fn new(
        handle: Handle,
        platform: Client,
        own: Listed,
        listed: Rc<RefCell<Vec<Listed>>>,
        traffic: Rc<Traffic>,
        connections: Connections,
    ) -> Self {
        let peers = Rc::new(client::Client::new(FORWARD_TIMEOUT, MAX_ANSWER_BYTES));
        Self { handle, platform, own, listed, traffic, connections, peers }
    }

    /// Returns the metrics as text, empty where the instance has stopped.
    pub fn metrics(&self) -> String {
        let snapshot = self.handle.ask(|instance, _| Snapshot::of(instance));
        let kept = self.handle.kept_answer_count();
        let text = snapshot.and_then(|s| self.encode(&s, kept));
        text.unwrap_or_default()
    }

    fn encode(&self, snapshot: &Snapshot, kept: usize) -> Option<String> {
        metrics::encode(snapshot, kept, &self.traffic, &self.connections).ok()
    }

    /// Answers one query or command.
    pub async fn serve(&self, uri: &Uri, headers: &HeaderMap, sentence: &[u8]) -> Answer {
        let response = self.answer(uri, headers, sentence).await;
        Answer::new(response.status, "application/json", response.body.to_string())
    }

    async fn answer(&self, uri: &Uri, headers: &HeaderMap, sentence: &[u8]) -> Response {
        let Some(operator) = self.authenticate(headers) else {
            return Response::error(401, "A known operator's credential is needed.");
        };
        let sentence = match std::str::from_utf8(sentence) {
            Ok(sentence) => sentence,
            Err(e) => return Response::error(400, format!("The sentence cannot be read: {e}.")),
        };
        if uri.path() == COMMAND_PATH {
            return match sentence.parse::<Command>() {
                Ok(command) => self.execute(&operator, sentence, command).await,
                Err(e) => Response::error(400, e),
            };
        }
        let only_here = uri.query() == Some(ONLY_HERE);
        match sentence.parse::<Query>() {
            Ok(query) => self.query(&operator, sentence, query, only_here).await,
            Err(e) => Response::error(400, e),
        }
    }

    /// Returns the operator whose credential the request presents.
    fn authenticate(&self, headers: &HeaderMap) -> Option<Operator> {
        let credential = credential(headers)?;
        let id = self.handle.ask(|instance, _| {
            let (_, document) = instance.config();
            document.operator(credential).map(|operator| operator.id.clone())
        });
        Some(Operator { id: id??, credential: credential.to_owned() })
    }

    /// Forwards a sentence to another instance with the operator's credential.
    async fn forward(
        &self,
        operator: &Operator,
        to: &Listed,
        path: &str,
        sentence: &str,
    ) -> Option<Response> {
        let body = Bytes::copy_from_slice(sentence.as_bytes());
        let mut request = client::request(Method::POST, to.http, path, body).ok()?;
        let bearer = format!("Bearer {}", operator.credential).parse().ok()?;
        request.headers_mut().insert(header::AUTHORIZATION, bearer);
        let answer = self.peers.call(to.http, request).await.ok()?;
        Some(Response { status: answer.status, body: serde_json::from_slice(&answer.body).ok()? })
    }

    /// Returns the other instances in the platform's list.
    fn others(&self) -> Vec<Listed> {
        let listed = self.listed.borrow();
        listed.iter().filter(|l| l.instance != self.own.instance).cloned().collect()
    }
}
