//! Stand-in for the JSON gateway of the key-value service, over an in-memory store.

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

use self::listener::{Exchange, Listener, Reply, Stream};

/// Longest time of one call in the store, which delays of the store's faults can reach.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which a watch without events is ended.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Gateway on a loopback port picked by the system; it ends when it is dropped.
///
/// The faults of its store's client become faults of the gateway: a refused call answers with an error, and a call
/// that is down or loses its answer ends the connection without one.
#[derive(Debug)]
pub struct KvStandin {
    listener: Listener,
}

impl KvStandin {
    /// Starts a gateway over `memory`.
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
        let listener = Listener::start(move |exchange| answer(&memory, exchange))?;
        Ok(Self { listener })
    }

    /// Returns the base address of the gateway.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.listener.address())
    }
}

fn answer(memory: &Memory, exchange: &Exchange) -> Reply {
    if exchange.method != http::Method::POST {
        return Reply::error(
            StatusCode::METHOD_NOT_ALLOWED,
            code::UNIMPLEMENTED,
            "use POST",
        );
    }
    match exchange.path.as_str() {
        "/v3/kv/range" => with(exchange, |request| range(memory, &request)),
        "/v3/kv/txn" => with(exchange, |request| txn(memory, request)),
        "/v3/lease/grant" => with(exchange, |request| grant(memory, &request)),
        "/v3/lease/keepalive" => with(exchange, |request| keep_alive(memory, &request)),
        "/v3/lease/revoke" => with(exchange, |request| revoke(memory, &request)),
        "/v3/watch" => with(exchange, |request| watch(memory, &request)),
        _ => Reply::error(StatusCode::NOT_FOUND, code::UNIMPLEMENTED, "no such call"),
    }
}

fn with<T: DeserializeOwned>(exchange: &Exchange, run: impl FnOnce(T) -> Reply) -> Reply {
    match serde_json::from_slice(&exchange.body) {
        Ok(request) => run(request),
        Err(error) => invalid(&error.to_string()),
    }
}

fn invalid(message: &str) -> Reply {
    Reply::error(StatusCode::BAD_REQUEST, code::INVALID_ARGUMENT, message)
}

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

/// Returns the text of a key, or `None` for a key that is not UTF-8, which the store cannot hold.
fn text(key: &Base64) -> Option<String> {
    String::from_utf8(key.0.clone()).ok()
}

/// Returns the prefix that a range stands for; other ranges are not offered.
fn prefix(key: &Base64, range_end: &Base64) -> Option<String> {
    if key.0 == [0] && range_end.0 == [0] {
        return Some(String::new());
    }
    let prefix = text(key)?;
    (wire::prefix_end(&prefix) == range_end.0).then_some(prefix)
}

fn range(memory: &Memory, request: &wire::RangeRequest) -> Reply {
    let answer = |kvs: Vec<KeyValue>| wire::RangeResponse {
        header: header(memory),
        kvs: kvs.into_iter().map(wire_entry).collect(),
    };
    if request.range_end.0.is_empty() {
        let Some(key) = text(&request.key) else {
            return invalid("key is not UTF-8");
        };
        let found = memory.get(&key, CALL_TIMEOUT);
        return reply(found, |found| answer(found.into_iter().collect()));
    }
    match prefix(&request.key, &request.range_end) {
        Some(prefix) => reply(memory.list(&prefix, CALL_TIMEOUT), answer),
        None => invalid("only ranges of one prefix are offered"),
    }
}

fn header(memory: &Memory) -> wire::Header {
    wire::Header {
        revision: memory.revision().into(),
    }
}

fn wire_entry(entry: KeyValue) -> wire::KeyValue {
    wire::KeyValue {
        key: Base64(entry.key.into_bytes()),
        value: Base64(entry.value),
        mod_revision: entry.mod_revision.into(),
    }
}

fn txn(memory: &Memory, request: wire::TxnRequest) -> Reply {
    let Some(transaction) = transaction(request) else {
        return invalid("only comparisons of MOD by EQUAL, puts and deletes are offered");
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

fn transaction(request: wire::TxnRequest) -> Option<Transaction> {
    let compares = request.compare.iter().map(compare);
    let writes = request.success.into_iter().map(write);
    Some(Transaction {
        compares: compares.collect::<Option<_>>()?,
        writes: writes.collect::<Option<_>>()?,
    })
}

fn compare(compare: &wire::Compare) -> Option<Compare> {
    let is_offered = compare.target == "MOD" && compare.result == "EQUAL";
    is_offered.then_some(())?;
    Some(Compare {
        key: text(&compare.key)?,
        mod_revision: compare.mod_revision.unsigned(),
    })
}

fn write(operation: wire::RequestOp) -> Option<Write> {
    match (operation.put, operation.delete) {
        (Some(put), None) => Some(Write::Put {
            key: text(&put.key)?,
            value: put.value.0,
            lease: Some(put.lease.0).filter(|lease: &LeaseId| *lease != 0),
        }),
        (None, Some(delete)) => Some(Write::Delete {
            key: text(&delete.key)?,
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

/// A lease that does not exist is answered with no time left, as the gateway does.
fn keep_alive(memory: &Memory, request: &wire::Lease) -> Reply {
    let renewed = match memory.renew_lease(request.id.0, CALL_TIMEOUT) {
        Call::Refused(Refusal::LeaseExpired) => Call::Done(Duration::ZERO),
        other => other,
    };
    reply(renewed, |left| wire::KeepAliveMessage {
        result: wire::Lease {
            id: request.id,
            ttl_s: left.as_secs().into(),
        },
    })
}

fn revoke(memory: &Memory, request: &wire::Lease) -> Reply {
    reply(memory.revoke_lease(request.id.0, CALL_TIMEOUT), |()| {
        header(memory)
    })
}

/// Answers that the watch is open, then with its first events, and ends.
fn watch(memory: &Memory, request: &wire::WatchRequest) -> Reply {
    let create = &request.create_request;
    let Some(prefix) = prefix(&create.key, &create.range_end) else {
        return invalid("only ranges of one prefix are offered");
    };
    // The start is fixed before the answer begins, so that a write after the answer's beginning is an event.
    let from = match create.start_revision.unsigned() {
        0 => memory.revision() + 1,
        from => from,
    };
    let created = wire::WatchResult {
        header: header(memory),
        created: true,
        ..wire::WatchResult::default()
    };
    let memory = memory.clone();
    Reply::Stream(Stream {
        first: line(created),
        rest: Box::new(move || events(&memory, &prefix, from)),
    })
}

/// Returns the last message of a watch; `None` ends the connection without one.
fn events(memory: &Memory, prefix: &str, from: u64) -> Option<Vec<u8>> {
    let result = match memory.watch(prefix, from, WATCH_TIMEOUT) {
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
    Some(line(result))
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

fn line(result: wire::WatchResult) -> Vec<u8> {
    let message = wire::WatchMessage {
        result,
        error: None,
    };
    let mut line = serde_json::to_vec(&message).unwrap_or_default();
    line.push(b'\n');
    line
}
