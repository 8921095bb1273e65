//! Messages of the etcd v3 JSON gateway, as its published protocol defines them.
//!
//! Keys and values are base64 text, 64-bit integers are decimal text, and fields with their default value may be left
//! out. Requests use the names that the gateway's documentation uses; both spellings of a name are accepted.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes as base64 text.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Base64(pub Vec<u8>);

/// Integer as decimal text; a plain JSON number is accepted too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Int64(pub i64);

impl Int64 {
    /// Returns the value, or 0 for a negative one, which no revision has.
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

/// Header of each answer.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store.
    pub revision: Int64,
}

/// Key with its value.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Key.
    pub key: Base64,
    /// Value.
    pub value: Base64,
    /// Revision of the last write to the key.
    #[serde(alias = "modRevision")]
    pub mod_revision: Int64,
}

/// Request to `/v3/kv/range`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Base64,
    /// End of the keys, exclusive; empty for one key.
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
}

/// Answer of `/v3/kv/range`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header.
    pub header: Header,
    /// Keys in their order.
    pub kvs: Vec<KeyValue>,
}

/// Request to `/v3/kv/txn`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Writes if all conditions hold.
    pub success: Vec<RequestOp>,
}

/// Condition of a transaction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Key.
    pub key: Base64,
    /// Compared property; `MOD` is the revision of the last write.
    pub target: String,
    /// Relation that must hold.
    pub result: String,
    /// Expected revision of the last write; 0 for a key that does not exist.
    #[serde(rename = "modRevision", alias = "mod_revision")]
    pub mod_revision: Int64,
}

/// Write of a transaction; exactly one field is set.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Sets a key.
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

/// Sets a key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key.
    pub key: Base64,
    /// Value.
    pub value: Base64,
    /// Lease that deletes the key when it ends; 0 for none.
    pub lease: Int64,
}

/// Deletes a key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// Key.
    pub key: Base64,
}

/// Answer of `/v3/kv/txn`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
}

/// Request and answer of the lease calls.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// Number of the lease; 0 lets the service choose.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live, in seconds; 0 in an answer means that the lease does not exist.
    #[serde(rename = "TTL")]
    pub ttl_s: Int64,
}

/// Message of the answer stream of `/v3/lease/keepalive`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeepAliveMessage {
    /// Lease with the time that it has left.
    pub result: Lease,
}

/// Request to `/v3/watch`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// Watched keys.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Base64,
    /// End of the keys, exclusive.
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    /// First revision of interest; 0 for the next one.
    #[serde(alias = "startRevision")]
    pub start_revision: Int64,
}

/// Message of the answer stream of `/v3/watch`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchMessage {
    /// State of the watch or events.
    pub result: WatchResult,
    /// Failure of the stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<Failure>,
}

/// State of a watch or events.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResult {
    /// Header.
    pub header: Header,
    /// The watch is open.
    pub created: bool,
    /// The watch has ended.
    pub canceled: bool,
    /// First revision that is still known, if the watch ended because its start was compacted.
    #[serde(alias = "compactRevision")]
    pub compact_revision: Int64,
    /// Events, complete revisions in their order.
    pub events: Vec<Event>,
}

/// Change of a key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// `PUT`, `DELETE`, or empty for `PUT`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Key with its value and revision.
    pub kv: KeyValue,
}

/// Body of an answer with a status other than 200.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Failure {
    /// gRPC status code.
    #[serde(alias = "grpc_code")]
    pub code: u32,
    /// What went wrong.
    #[serde(alias = "error")]
    pub message: String,
}

/// gRPC status codes that the gateway answers with.
pub mod code {
    /// A malformed request.
    pub const INVALID_ARGUMENT: u32 = 3;
    /// The lease does not exist.
    pub const NOT_FOUND: u32 = 5;
    /// The client may not make this call.
    pub const PERMISSION_DENIED: u32 = 7;
    /// A rate limit or quota is used up.
    pub const RESOURCE_EXHAUSTED: u32 = 8;
    /// The service is not in a state for this call.
    pub const FAILED_PRECONDITION: u32 = 9;
    /// A revision that is compacted or in the future.
    pub const OUT_OF_RANGE: u32 = 11;
    /// The service does not know this call.
    pub const UNIMPLEMENTED: u32 = 12;
    /// The service is not available; a write may have been accepted before.
    pub const UNAVAILABLE: u32 = 14;
    /// The client did not prove who it is.
    pub const UNAUTHENTICATED: u32 = 16;
}

/// Returns the end of the range of all keys that begin with `prefix`.
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
    // The gateway's mark for "all keys from the first one on".
    vec![0]
}
