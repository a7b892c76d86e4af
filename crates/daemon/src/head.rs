//! What the headers of a request say.

use hyper::{HeaderMap, header};

/// The value of a header, where it is text.
pub fn text(headers: &HeaderMap, name: impl header::AsHeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

/// The credential that a caller presents.
///
/// ```
/// let mut headers = hyper::HeaderMap::new();
/// headers.insert("authorization", hyper::header::HeaderValue::from_static("Bearer a"));
/// assert_eq!(rosemarypond::head::credential(&headers), Some("a"));
/// ```
pub fn credential(headers: &HeaderMap) -> Option<&str> {
    Some(text(headers, header::AUTHORIZATION)?.strip_prefix("Bearer ")?.trim())
}
