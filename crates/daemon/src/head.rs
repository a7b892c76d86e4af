//! Reads request headers.

use hyper::{HeaderMap, header};

/// Returns a header's value where it is printable ASCII.
pub fn text(headers: &HeaderMap, name: impl header::AsHeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the credential of the `Authorization: Bearer` header.
///
/// ```
/// let mut headers = hyper::HeaderMap::new();
/// headers.insert("authorization", hyper::header::HeaderValue::from_static("Bearer a"));
/// assert_eq!(rosemarypond::head::credential(&headers), Some("a"));
/// ```
pub fn credential(headers: &HeaderMap) -> Option<&str> {
    Some(text(headers, header::AUTHORIZATION)?.strip_prefix("Bearer ")?.trim())
}
