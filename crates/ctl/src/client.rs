//! Talks to an instance and tells its refusals apart.

use std::net::ToSocketAddrs;
use std::time::Duration;

use hyper::{Method, header};
use rosemarypond::client;
use rosemarypond_edge::thread::LocalRuntime;
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(10);
/// The longest answer, in bytes: the rows of many instances.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The arguments or a file are wrong.
    #[error("{0}")]
    Usage(String),
    /// The instance or the platform cannot be reached.
    #[error("There was no answer: {0}.")]
    Connection(String),
    /// The sentence is not understood.
    #[error("{0}")]
    Sentence(String),
    /// The sentence is understood but refused.
    #[error("Refused with status {status}: {message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// Why.
        message: String,
    },
}

impl Error {
    /// The exit status of the process.
    pub fn exit_status(&self) -> u8 {
        match self {
            Error::Usage(_) => 2,
            Error::Connection(_) => 3,
            Error::Sentence(_) => 4,
            Error::Refused { .. } => 5,
        }
    }
}

/// Sends a sentence and gives the answer.
///
/// # Errors
///
/// Where there is no answer, or it is a refusal.
pub fn ask(to: &str, path: &str, credential: &str, sentence: &str) -> Result<Value, Error> {
    let lost = |e: &dyn std::fmt::Display| Error::Connection(e.to_string());
    let address = to.to_socket_addrs().map_err(|e| lost(&e))?.next();
    let address = address.ok_or_else(|| lost(&format!("'{to}' has no address")))?;
    let request = client::request(Method::POST, address, path, sentence.to_owned());
    let mut request = request.map_err(|e| lost(&e))?;
    let bearer = format!("Bearer {credential}").parse();
    let bearer = bearer.map_err(|_| Error::Usage("The credential is no header value.".into()))?;
    request.headers_mut().insert(header::AUTHORIZATION, bearer);
    let thread = LocalRuntime::new().map_err(|e| lost(&e))?;
    let client = client::Client::new(TIMEOUT, MAX_ANSWER_BYTES);
    let answer = thread.block_on(client.call(address, request)).map_err(|e| lost(&e))?;
    let body: Value = serde_json::from_slice(&answer.body)
        .map_err(|e| Error::Connection(format!("the answer is no JSON ({e})")))?;
    if answer.status == 200 {
        return Ok(body);
    }
    Err(refusal(answer.status, &body))
}

fn refusal(status: u16, body: &Value) -> Error {
    let mut message = body["error"].as_str().unwrap_or("no reason given").to_owned();
    for line in body["changed"].as_array().into_iter().flatten().filter_map(Value::as_str) {
        message.push_str("\n  ");
        message.push_str(line);
    }
    if status == 400 { Error::Sentence(message) } else { Error::Refused { status, message } }
}
