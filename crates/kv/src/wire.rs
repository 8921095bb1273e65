//! Messages of the etcd v3 JSON gateway, as defined by its published protocol.
//!
//! Keys and values are base64 strings, 64-bit integers are decimal strings, and fields with their default value may be
//! omitted. Requests use the field names of the gateway's documentation; the camel-case and snake-case spellings of a
//! name are both accepted.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that are encoded as a base64 string.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Base64(pub Vec<u8>);

/// Integer that is encoded as a decimal string; a JSON number is accepted too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Int64(pub i64);

impl Int64 {
    /// Returns the value, or 0 if it is negative, which no valid revision or time to live is.
    ///
    /// ```
    /// use tanagerford_kv::wire::Int64;
    ///
    /// assert_eq!(serde_json::from_str::<Int64>("\"7\"").unwrap().unsigned(), 7);
    /// ```
    #[must_use]
    pub fn unsigned(self) -> u64 {
        u64::try_from(self.0).unwrap_or_default()
    }
}

impl From<u64> for Int64 {
    fn from(value: u64) -> Self {
        Self(i64::try_from(value).unwrap_or(i64::MAX))
    }
}

impl From<&str> for Base64 {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(Base64Visitor)
    }
}

struct Base64Visitor;

impl Visitor<'_> for Base64Visitor {
    type Value = Base64;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("base64 text")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Base64, E> {
        STANDARD.decode(text).map(Base64).map_err(E::custom)
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Int64Visitor)
    }
}

struct Int64Visitor;

impl Visitor<'_> for Int64Visitor {
    type Value = Int64;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a 64-bit integer as text")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Int64, E> {
        text.parse().map(Int64).map_err(E::custom)
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Int64, E> {
        Ok(Int64(value))
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Int64, E> {
        i64::try_from(value).map(Int64).map_err(E::custom)
    }
}

/// Header of each response.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store when the response was created.
    pub revision: Int64,
}

/// Key-value pair of a range response or an event.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Not necessarily UTF-8.
    pub key: Base64,
    /// Empty in a delete event.
    pub value: Base64,
    /// Revision of the last write to the key.
    #[serde(alias = "modRevision")]
    pub mod_revision: Int64,
}

/// Request to `/v3/kv/range`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key of the range.
    pub key: Base64,
    /// End of the range, exclusive; empty to read only `key`.
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
}

/// Response of `/v3/kv/range`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Contains the revision at which the range was read.
    pub header: Header,
    /// Pairs in key order.
    pub kvs: Vec<KeyValue>,
}

/// Request to `/v3/kv/txn`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// Writes that are applied if all conditions hold.
    pub success: Vec<RequestOp>,
}

/// Condition of a transaction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Key whose property is compared; it need not exist.
    pub key: Base64,
    /// Compared property; `MOD` is the revision of the last write.
    pub target: String,
    /// Relation that must hold, for example `EQUAL`.
    pub result: String,
    /// Expected revision of the last write; 0 if the key must not exist.
    #[serde(rename = "modRevision", alias = "mod_revision")]
    pub mod_revision: Int64,
}

/// Single write of a transaction; exactly one field is set.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Creates a key or replaces its value.
    #[serde(
        rename = "requestPut",
        alias = "request_put",
        skip_serializing_if = "Option::is_none"
    )]
    pub put: Option<PutRequest>,
    /// Deletes a key.
    #[serde(
        rename = "requestDeleteRange",
        alias = "request_delete_range",
        skip_serializing_if = "Option::is_none"
    )]
    pub delete: Option<DeleteRequest>,
}

/// Creation of a key or replacement of its value.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key to create or replace.
    pub key: Base64,
    /// At most 1 MB.
    pub value: Base64,
    /// Lease whose end deletes the key; 0 for none.
    pub lease: Int64,
}

/// Deletion of one key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// Key to delete; it need not exist.
    pub key: Base64,
}

/// Response of `/v3/kv/txn`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Contains the revision of the writes.
    pub header: Header,
    /// Whether all conditions held and the writes were applied.
    pub succeeded: bool,
}

/// Request and response of the lease calls.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// Identifier of the lease; 0 in a grant request lets the service choose one.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live, in seconds; 0 in a response means that the lease does not exist.
    #[serde(rename = "TTL")]
    pub ttl_s: Int64,
}

/// Message of the response stream of `/v3/lease/keepalive`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeepAliveMessage {
    /// Renewed lease with its remaining time to live.
    pub result: Lease,
}

/// Request to `/v3/watch`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Key range to watch.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// Key range and start of a watch.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key of the range.
    pub key: Base64,
    /// End of the range, exclusive; empty to watch only `key`.
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    /// First revision whose events are reported; 0 starts at the next write.
    #[serde(alias = "startRevision")]
    pub start_revision: Int64,
}

/// Message of the response stream of `/v3/watch`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchMessage {
    /// State of the watch, or events; the default if `error` is set.
    pub result: WatchResult,
    /// Set if the service ended the stream with an error.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<Failure>,
}

/// State of a watch, or events.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResult {
    /// Contains the store's revision.
    pub header: Header,
    /// Whether this message confirms that the watch is open.
    pub created: bool,
    /// Whether the service has ended the watch.
    pub canceled: bool,
    /// Oldest available revision if the watch ended because its start revision was compacted; 0 otherwise.
    #[serde(alias = "compactRevision")]
    pub compact_revision: Int64,
    /// Events in revision order; all events of one revision are in the same message.
    pub events: Vec<Event>,
}

/// Change of a key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// `PUT` or `DELETE`; empty means `PUT`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Changed key with its new value and the revision of the change.
    pub kv: KeyValue,
}

/// Body of a response with a status other than 200.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Failure {
    /// gRPC status code; 0 if the body is not from the gateway.
    #[serde(alias = "grpc_code")]
    pub code: u32,
    /// Description of the error.
    #[serde(alias = "error")]
    pub message: String,
}

/// gRPC status codes of the gateway's error responses.
pub mod code {
    /// The request is malformed.
    pub const INVALID_ARGUMENT: u32 = 3;
    /// The requested object, for example a lease, does not exist.
    pub const NOT_FOUND: u32 = 5;
    /// The client lacks the permission for this call.
    pub const PERMISSION_DENIED: u32 = 7;
    /// A rate limit or quota is exhausted.
    pub const RESOURCE_EXHAUSTED: u32 = 8;
    /// The state of the service does not allow this call.
    pub const FAILED_PRECONDITION: u32 = 9;
    /// The requested revision is compacted or in the future.
    pub const OUT_OF_RANGE: u32 = 11;
    /// The service does not support this call.
    pub const UNIMPLEMENTED: u32 = 12;
    /// The service is unavailable; it may have accepted the write before.
    pub const UNAVAILABLE: u32 = 14;
    /// The client is not authenticated.
    pub const UNAUTHENTICATED: u32 = 16;
}

/// Returns the exclusive end of the range of all keys that begin with `prefix`.
///
/// ```
/// use tanagerford_kv::wire::prefix_end;
///
/// assert_eq!(prefix_end("a/"), b"a0");
/// assert_eq!(prefix_end(""), b"\0");
/// ```
#[must_use]
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.last_mut() {
        if *last < u8::MAX {
            *last += 1;
            return end;
        }
        end.pop();
    }
    // The gateway interprets a zero byte as "all keys from the first key on".
    vec![0]
}
