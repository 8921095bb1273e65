//! Stand-in for the JSON gateway of the key-value service, backed by the in-memory implementation.

pub(crate) mod listener;

use std::io;
use std::time::Duration;

use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tanagerford_kv::kv::{
    Call, Commit, Compare, KeyValue, Kv, LeaseId, Refusal, Transaction, WatchEvent, Write,
};
use tanagerford_kv::memory::Memory;
use tanagerford_kv::wire::{self, Base64, Int64, code};

use self::listener::{Listener, Reply, Request, TwoPartBody};

/// Timeout of a call to the in-memory key-value service. A call whose injected delay is longer loses its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which a watch without events ends.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Error message for a range that does not cover all keys with a prefix.
const UNSUPPORTED_RANGE: &str = "only ranges that cover a prefix are supported";

/// Gateway on a loopback port picked by the operating system. Dropping it closes the port and all connections.
///
/// Faults injected into the in-memory key-value service show at the gateway: a rejected call gets an error response, and
/// a call that finds the service unreachable or loses its response closes the connection without a response.
#[derive(Debug)]
pub struct KvStandin {
    listener: Listener,
}

impl KvStandin {
    /// Starts a gateway that serves the data of `memory`.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be opened.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_kv::etcd::Etcd;
    /// use tanagerford_kv::kv::{Call, Kv};
    /// use tanagerford_kv::memory::Memory;
    /// use tanagerford_standin::kv::KvStandin;
    ///
    /// let standin = KvStandin::start(Memory::new()).unwrap();
    /// let etcd = Etcd::new(vec![standin.url()]);
    /// assert_eq!(etcd.get("key", Duration::from_secs(10)), Call::Done(None));
    /// ```
    pub fn start(memory: Memory) -> io::Result<Self> {
        let listener = Listener::start(move |request| handle(&memory, request))?;
        Ok(Self { listener })
    }

    /// Returns the base URL, an endpoint for an `Etcd` client.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.listener.address())
    }
}

fn handle(memory: &Memory, request: &Request) -> Reply {
    if request.method != http::Method::POST {
        return Reply::error(
            StatusCode::METHOD_NOT_ALLOWED,
            code::UNIMPLEMENTED,
            "use POST",
        );
    }
    match request.path.as_str() {
        "/v3/kv/range" => with_body(request, |body| range(memory, &body)),
        "/v3/kv/txn" => with_body(request, |body| txn(memory, body)),
        "/v3/lease/grant" => with_body(request, |body| grant(memory, &body)),
        "/v3/lease/keepalive" => with_body(request, |body| keep_alive(memory, &body)),
        "/v3/lease/revoke" => with_body(request, |body| revoke(memory, &body)),
        "/v3/watch" => with_body(request, |body| watch(memory, &body)),
        _ => Reply::error(StatusCode::NOT_FOUND, code::UNIMPLEMENTED, "no such call"),
    }
}

/// Parses the body of a request and passes it to `handler`; a malformed body gets an error response.
fn with_body<T: DeserializeOwned>(request: &Request, handler: impl FnOnce(T) -> Reply) -> Reply {
    match serde_json::from_slice(&request.body) {
        Ok(body) => handler(body),
        Err(error) => invalid_argument(&error.to_string()),
    }
}

fn invalid_argument(message: &str) -> Reply {
    Reply::error(StatusCode::BAD_REQUEST, code::INVALID_ARGUMENT, message)
}

/// Converts the result of a call to the in-memory key-value service to a response.
fn reply<T, U: Serialize>(call: Call<T>, convert: impl FnOnce(T) -> U) -> Reply {
    match call {
        Call::Done(value) => Reply::json(StatusCode::OK, &convert(value)),
        Call::Refused(Refusal::Unreachable) | Call::Unknown => Reply::Disconnect,
        Call::Refused(Refusal::LeaseExpired) => {
            let message = "etcdserver: requested lease not found";
            Reply::error(StatusCode::NOT_FOUND, code::NOT_FOUND, message)
        }
        Call::Refused(Refusal::Rejected(message)) => Reply::error(
            StatusCode::TOO_MANY_REQUESTS,
            code::RESOURCE_EXHAUSTED,
            &message,
        ),
    }
}

/// Decodes a key; `None` if it is not UTF-8, which the in-memory key-value service does not support.
fn key_text(key: &Base64) -> Option<String> {
    String::from_utf8(key.0.clone()).ok()
}

/// Returns the prefix whose keys a range covers, or `None` for any other range. The range from "\0" to "\0" covers all
/// keys.
fn prefix_of_range(key: &Base64, range_end: &Base64) -> Option<String> {
    if key.0 == [0] && range_end.0 == [0] {
        return Some(String::new());
    }
    let prefix = key_text(key)?;
    (wire::prefix_end(&prefix) == range_end.0).then_some(prefix)
}

fn range(memory: &Memory, request: &wire::RangeRequest) -> Reply {
    let response = |kvs: Vec<KeyValue>| wire::RangeResponse {
        header: header(memory),
        kvs: kvs.into_iter().map(wire_key_value).collect(),
    };
    if request.range_end.0.is_empty() {
        let Some(key) = key_text(&request.key) else {
            return invalid_argument("key is not UTF-8");
        };
        let call = memory.get(&key, CALL_TIMEOUT);
        return reply(call, |entry| response(entry.into_iter().collect()));
    }
    match prefix_of_range(&request.key, &request.range_end) {
        Some(prefix) => reply(memory.list(&prefix, CALL_TIMEOUT), response),
        None => invalid_argument(UNSUPPORTED_RANGE),
    }
}

fn header(memory: &Memory) -> wire::Header {
    wire::Header {
        revision: memory.revision().into(),
    }
}

fn wire_key_value(entry: KeyValue) -> wire::KeyValue {
    wire::KeyValue {
        key: Base64(entry.key.into_bytes()),
        value: Base64(entry.value),
        mod_revision: entry.mod_revision.into(),
    }
}

fn txn(memory: &Memory, request: wire::TxnRequest) -> Reply {
    let Some(transaction) = transaction(request) else {
        return invalid_argument(
            "only comparisons of MOD by EQUAL, puts and deletes of single keys are supported",
        );
    };
    reply(
        memory.commit(&transaction, CALL_TIMEOUT),
        |commit| match commit {
            Commit::Conflict => wire::TxnResponse {
                header: header(memory),
                succeeded: false,
            },
            Commit::Applied(revision) => wire::TxnResponse {
                header: wire::Header {
                    revision: revision.into(),
                },
                succeeded: true,
            },
        },
    )
}

/// Returns `None` if the transaction uses operations that the stand-in does not support.
fn transaction(request: wire::TxnRequest) -> Option<Transaction> {
    let compares = request.compare.iter().map(compare);
    let writes = request.success.into_iter().map(write);
    Some(Transaction {
        compares: compares.collect::<Option<_>>()?,
        writes: writes.collect::<Option<_>>()?,
    })
}

fn compare(compare: &wire::Compare) -> Option<Compare> {
    let is_supported = compare.target == "MOD" && compare.result == "EQUAL";
    is_supported.then_some(())?;
    Some(Compare {
        key: key_text(&compare.key)?,
        mod_revision: compare.mod_revision.unsigned(),
    })
}

fn write(operation: wire::RequestOp) -> Option<Write> {
    match (operation.put, operation.delete) {
        (Some(put), None) => Some(Write::Put {
            key: key_text(&put.key)?,
            value: put.value.0,
            lease: Some(put.lease.0).filter(|lease: &LeaseId| *lease != 0),
        }),
        (None, Some(delete)) => Some(Write::Delete {
            key: key_text(&delete.key)?,
        }),
        _ => None,
    }
}

fn grant(memory: &Memory, request: &wire::Lease) -> Reply {
    let ttl = Duration::from_secs(request.ttl_s.unsigned());
    reply(memory.grant_lease(ttl, CALL_TIMEOUT), |lease| wire::Lease {
        id: Int64(lease),
        ttl_s: request.ttl_s,
    })
}

/// Renews a lease. A lease that does not exist gets a TTL of zero instead of an error, as from the real gateway.
fn keep_alive(memory: &Memory, request: &wire::Lease) -> Reply {
    let call = match memory.renew_lease(request.id.0, CALL_TIMEOUT) {
        Call::Refused(Refusal::LeaseExpired) => Call::Done(Duration::ZERO),
        other => other,
    };
    reply(call, |ttl| wire::KeepAliveMessage {
        result: wire::Lease {
            id: request.id,
            ttl_s: ttl.as_secs().into(),
        },
    })
}

fn revoke(memory: &Memory, request: &wire::Lease) -> Reply {
    reply(memory.revoke_lease(request.id.0, CALL_TIMEOUT), |()| {
        header(memory)
    })
}

/// Opens a watch: confirms it at once, sends the first batch of events and ends the response.
fn watch(memory: &Memory, request: &wire::WatchRequest) -> Reply {
    let create = &request.create_request;
    let Some(prefix) = prefix_of_range(&create.key, &create.range_end) else {
        return invalid_argument(UNSUPPORTED_RANGE);
    };
    // The start revision is determined before the response begins, so that the watch includes every later write.
    let start_revision = match create.start_revision.unsigned() {
        0 => memory.revision() + 1,
        revision => revision,
    };
    let created = wire::WatchResult {
        header: header(memory),
        created: true,
        ..wire::WatchResult::default()
    };
    let memory = memory.clone();
    Reply::TwoPart(TwoPartBody {
        first: json_line(created),
        wait_for_second: Box::new(move || watch_events(&memory, &prefix, start_revision)),
    })
}

/// Waits for events and returns the last message of a watch, empty on timeout. `None` closes the connection.
fn watch_events(memory: &Memory, prefix: &str, start_revision: u64) -> Option<Vec<u8>> {
    let result = match memory.watch(prefix, start_revision, WATCH_TIMEOUT) {
        Call::Done(events) if events.is_empty() => return Some(Vec::new()),
        Call::Done(events) => wire::WatchResult {
            header: header(memory),
            events: events.into_iter().map(wire_event).collect(),
            ..wire::WatchResult::default()
        },
        Call::Refused(Refusal::Rejected(message)) if message == "compacted" => wire::WatchResult {
            canceled: true,
            compact_revision: (memory.revision() + 1).into(),
            ..wire::WatchResult::default()
        },
        Call::Refused(Refusal::Rejected(_)) => wire::WatchResult {
            canceled: true,
            ..wire::WatchResult::default()
        },
        Call::Refused(_) | Call::Unknown => return None,
    };
    Some(json_line(result))
}

fn wire_event(event: WatchEvent) -> wire::Event {
    let kind = if event.value.is_some() {
        "PUT"
    } else {
        "DELETE"
    };
    wire::Event {
        kind: kind.to_owned(),
        kv: wire::KeyValue {
            key: Base64(event.key.into_bytes()),
            value: Base64(event.value.unwrap_or_default()),
            mod_revision: event.mod_revision.into(),
        },
    }
}

fn json_line(result: wire::WatchResult) -> Vec<u8> {
    let message = wire::WatchMessage {
        result,
        error: None,
    };
    let mut line = serde_json::to_vec(&message).unwrap_or_default();
    line.push(b'\n');
    line
}
