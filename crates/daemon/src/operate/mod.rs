//! The operators' interface: queries that only ask, commands that change.

mod command;
mod query;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rosemarypond_core::id;
use rosemarypond_core::language::{Command, Query};
use serde_json::{Value, json};
use tiny_http::Request;

use crate::agent::agent;
use crate::gateway::{credential, reply};
use crate::metrics::{self, Snapshot};
use crate::peer::Traffic;
use crate::platform::{Client, Listed};
use crate::runtime::Handle;

/// How long another instance's answer is waited for.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest sentence that is read, in bytes.
pub const MAX_SENTENCE_BYTES: u64 = 64 * 1024;

/// Answers operators.
#[derive(Clone)]
pub struct Operate {
    /// Talks to the decisions.
    pub handle: Handle,
    /// The platform's table.
    pub platform: Client,
    /// The instance that answers.
    pub own: Listed,
    /// The instances that the platform listed last.
    pub listed: Arc<Mutex<Vec<Listed>>>,
    /// What went over the links to peers.
    pub traffic: Arc<Traffic>,
    agent: ureq::Agent,
}

/// An operator whose credential was accepted.
struct Operator {
    id: id::Operator,
    credential: String,
}

/// A JSON answer with its HTTP status.
struct Outcome {
    status: u16,
    body: Value,
}

impl Outcome {
    fn ok(body: Value) -> Self {
        Self { status: 200, body }
    }

    fn error(status: u16, message: impl ToString) -> Self {
        Self { status, body: json!({ "error": message.to_string() }) }
    }
}

impl Operate {
    /// Answers operators in the name of an instance.
    pub fn new(
        handle: Handle,
        platform: Client,
        own: Listed,
        listed: Arc<Mutex<Vec<Listed>>>,
        traffic: Arc<Traffic>,
    ) -> Self {
        Self { handle, platform, own, listed, traffic, agent: agent(PEER_TIMEOUT) }
    }

    /// The metrics as text.
    pub fn metrics(&self) -> String {
        let snapshot = self.handle.ask(|instance, _| Snapshot::of(instance));
        let text = snapshot.and_then(|s| metrics::encode(&s, &self.traffic).ok());
        text.unwrap_or_default()
    }

    /// Answers one sentence of an operator.
    pub fn serve(&self, mut request: Request) {
        let outcome = self.answer(&mut request);
        reply(request, outcome.status, "application/json", outcome.body.to_string());
    }

    fn answer(&self, request: &mut Request) -> Outcome {
        let Some(operator) = self.operator(request) else {
            return Outcome::error(401, "A known operator's credential is needed.");
        };
        let mut sentence = String::new();
        let read = std::io::Read::read_to_string(
            &mut std::io::Read::take(request.as_reader(), MAX_SENTENCE_BYTES),
            &mut sentence,
        );
        if let Err(e) = read {
            return Outcome::error(400, format!("The sentence cannot be read: {e}."));
        }
        if request.url().starts_with("/operator/command") {
            return match sentence.parse::<Command>() {
                Ok(command) => self.execute(&operator, &sentence, command),
                Err(e) => Outcome::error(400, e),
            };
        }
        let only_here = request.url().ends_with("?here");
        match sentence.parse::<Query>() {
            Ok(query) => self.query(&operator, &sentence, query, only_here),
            Err(e) => Outcome::error(400, e),
        }
    }

    fn operator(&self, request: &Request) -> Option<Operator> {
        let credential = credential(request)?;
        let presented = credential.clone();
        let known = self.handle.ask(move |instance, _| {
            let (_, document) = instance.config();
            document.operator(presented).map(|operator| operator.id.clone())
        });
        Some(Operator { id: known??, credential })
    }

    /// Sends a sentence to another instance in the operator's name.
    fn forward(
        &self,
        operator: &Operator,
        to: &Listed,
        path: &str,
        sentence: &str,
    ) -> Option<Outcome> {
        let url = format!("http://{}{path}", to.http);
        let request = self.agent.post(url);
        let request = request.header("Authorization", format!("Bearer {}", operator.credential));
        let mut response = request.send(sentence).ok()?;
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string().ok()?;
        Some(Outcome { status, body: serde_json::from_str(&text).ok()? })
    }

    fn others(&self) -> Vec<Listed> {
        let listed = self.listed.lock().expect("no holder panics");
        listed.iter().filter(|l| l.instance != self.own.instance).cloned().collect()
    }
}
