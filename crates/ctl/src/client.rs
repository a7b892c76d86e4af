//! Sends queries and commands to an instance and maps its responses to errors.

use std::net::ToSocketAddrs;
use std::time::Duration;

use hyper::{Method, header};
use rosemarypond::client;
use rosemarypond_edge::thread::Runtime;
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(10);
/// The longest accepted answer, in bytes; it can hold the rows of many instances.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Why an action failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An argument, the credential or a file is invalid.
    #[error("{0}")]
    Usage(String),
    /// The instance or the platform gave no usable answer.
    #[error("There was no answer: {0}.")]
    Connection(String),
    /// The query or command is malformed.
    #[error("{0}")]
    Sentence(String),
    /// The instance or the platform refused the action.
    #[error("Refused with status {status}: {message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The reason.
        message: String,
    },
}

impl Error {
    /// Returns the exit status of the process.
    pub fn exit_status(&self) -> u8 {
        match self {
            Error::Usage(_) => 2,
            Error::Connection(_) => 3,
            Error::Sentence(_) => 4,
            Error::Refused { .. } => 5,
        }
    }
}

/// Sends a query or command and returns the answer.
///
/// # Errors
///
/// Where no usable answer came, or it is a refusal.
pub fn send(to: &str, path: &str, credential: &str, sentence: &str) -> Result<Value, Error> {
    let connection_error = |e: &dyn std::fmt::Display| Error::Connection(e.to_string());
    let address = to.to_socket_addrs().map_err(|e| connection_error(&e))?.next();
    let address = address.ok_or_else(|| connection_error(&format!("'{to}' has no address")))?;
    let request = client::request(Method::POST, address, path, sentence.to_owned());
    let mut request = request.map_err(|e| connection_error(&e))?;
    let bearer = format!("Bearer {credential}").parse();
    let bearer =
        bearer.map_err(|_| Error::Usage("The credential is not a valid header value.".into()))?;
    request.headers_mut().insert(header::AUTHORIZATION, bearer);
    let runtime = Runtime::new().map_err(|e| connection_error(&e))?;
    let client = client::Client::new(TIMEOUT, MAX_ANSWER_BYTES);
    let answer =
        runtime.block_on(client.call(address, request)).map_err(|e| connection_error(&e))?;
    let body: Value = serde_json::from_slice(&answer.body)
        .map_err(|e| Error::Connection(format!("the answer is not valid JSON ({e})")))?;
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
