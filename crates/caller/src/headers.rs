//! Request and response headers of the callers' interface.

use http::HeaderMap;

/// Names the class of a request.
pub const CLASS: &str = "tanagerford-class";

/// Tells whether a refused request ran.
pub const OUTCOME: &str = "tanagerford-outcome";

/// Correlates the log lines of a request.
pub const REQUEST_ID: &str = "x-request-id";

/// Makes a call that must not be repeated safe to send again.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Longest value of a header that names something.
const MAX_NAME_BYTES: usize = 255;

/// Returns the value of a header as text, if it is not empty and not too long.
///
/// # Examples
///
/// ```
/// let mut headers = http::HeaderMap::new();
/// headers.insert("tanagerford-class", "chat".parse().unwrap());
/// assert_eq!(tanagerford_caller::headers::text(&headers, "tanagerford-class"), Some("chat"));
/// ```
#[must_use]
pub fn text<'headers>(headers: &'headers HeaderMap, name: &str) -> Option<&'headers str> {
    let value = headers.get(name)?.to_str().ok()?.trim();
    (!value.is_empty() && value.len() <= MAX_NAME_BYTES).then_some(value)
}

/// Returns the API key of an `Authorization: Bearer` header.
///
/// # Examples
///
/// ```
/// let mut headers = http::HeaderMap::new();
/// headers.insert("authorization", "Bearer secret".parse().unwrap());
/// assert_eq!(tanagerford_caller::headers::api_key(&headers), Some("secret"));
/// ```
#[must_use]
pub fn api_key(headers: &HeaderMap) -> Option<&str> {
    let value = text(headers, "authorization")?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}
