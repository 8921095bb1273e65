//! Request and response headers of the caller-facing interface.

use http::HeaderMap;

/// Request header with the name of the request's class.
pub const CLASS: &str = "tanagerford-class";

/// Response header of a refusal that states whether the request ran.
pub const OUTCOME: &str = "tanagerford-outcome";

/// Header with the id that the log lines of a request carry. The entry generates one when the caller sends none.
pub const REQUEST_ID: &str = "x-request-id";

/// Request header that lets a caller safely resend a call that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum length of a header value that [`text`] accepts, in bytes.
const MAX_VALUE_BYTES: usize = 255;

/// Returns the trimmed value of a header, or `None` if it is missing, empty, longer than 255 bytes or not ASCII.
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
    (!value.is_empty() && value.len() <= MAX_VALUE_BYTES).then_some(value)
}

/// Returns the API key of an `Authorization: Bearer` header, or `None` for any other scheme. Case does not matter in the
/// name of the scheme.
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
