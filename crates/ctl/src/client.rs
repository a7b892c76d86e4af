//! Talks to an instance and tells its refusals apart.

use std::time::Duration;

use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(10);

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
    let agent = rosemarypond::agent::agent(TIMEOUT);
    let request = agent.post(format!("http://{to}{path}"));
    let request = request.header("Authorization", format!("Bearer {credential}"));
    let lost = |e: ureq::Error| Error::Connection(e.to_string());
    let mut response = request.send(sentence).map_err(lost)?;
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string().map_err(lost)?;
    let body: Value = serde_json::from_str(&text)
        .map_err(|e| Error::Connection(format!("the answer is no JSON ({e})")))?;
    if status == 200 {
        return Ok(body);
    }
    Err(refusal(status, &body))
}

fn refusal(status: u16, body: &Value) -> Error {
    let mut message = body["error"].as_str().unwrap_or("no reason given").to_owned();
    for line in body["changed"].as_array().into_iter().flatten().filter_map(Value::as_str) {
        message.push_str("\n  ");
        message.push_str(line);
    }
    if status == 400 { Error::Sentence(message) } else { Error::Refused { status, message } }
}
