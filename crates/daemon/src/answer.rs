//! Whole answers, as sent to callers, stored under a key and received.

use bytes::Bytes;
use hyper::{Response, StatusCode, header, http};
use serde::{Deserialize, Serialize};

/// A whole answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Its HTTP status.
    pub status: u16,
    /// Its media type.
    pub content_type: String,
    /// Its body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Creates an answer.
    ///
    /// ```
    /// let answer = rosemarypond::answer::Answer::new(200, "text/plain", "alive\n");
    /// assert_eq!(answer.into_response().status(), 200);
    /// ```
    pub fn new(status: u16, content_type: impl Into<String>, body: impl Into<Vec<u8>>) -> Self {
        Self { status, content_type: content_type.into(), body: body.into() }
    }

    /// Creates an answer from a response's head and whole body.
    pub fn from_response(head: &http::response::Parts, body: Bytes) -> Self {
        let content_type = head.headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
        let content_type = content_type.unwrap_or("application/octet-stream");
        Self::new(head.status.as_u16(), content_type, body)
    }

    /// Returns the answer as an HTTP response.
    pub fn into_response(self) -> Response<Bytes> {
        let mut response = Response::new(self.body.into());
        // Statuses come from parsed responses or from constants, so this is valid.
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK);
        if let Ok(content_type) = self.content_type.parse() {
            response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        }
        response
    }
}
