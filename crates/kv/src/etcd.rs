//! Client of the key-value service through the JSON gateway of etcd v3.

use std::io::{BufRead, BufReader, Read};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::http::{self, Failure, HttpResponse, MAX_RESPONSE_BYTES};
use crate::kv::{
    Call, Commit, KeyValue, Kv, LeaseId, Refusal, Revision, Transaction, WatchEvent, Write,
};
use crate::wire::{self, Base64, Int64};

/// Client of the gateway at one or more endpoints, for example `http://10.0.0.5:2379`.
///
/// A call first goes to the endpoint that was used last. If no connection can be established, it tries the next
/// endpoint within the call's timeout. A call whose request may have been sent is never repeated.
#[derive(Debug)]
pub struct Etcd {
    agent: Agent,
    endpoints: Vec<String>,
    /// Index of the endpoint that was used last.
    preferred: AtomicUsize,
}

impl Etcd {
    /// Creates a client. It connects when the first call is made.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_kv::etcd::Etcd;
    /// use tanagerford_kv::kv::{Call, Kv, Refusal};
    ///
    /// // Nothing listens on port 1 of the loopback address.
    /// let etcd = Etcd::new(vec!["http://127.0.0.1:1".to_owned()]);
    /// let result = etcd.get("key", Duration::from_secs(1));
    /// assert_eq!(result, Call::Refused(Refusal::Unreachable));
    /// ```
    #[must_use]
    pub fn new(endpoints: Vec<String>) -> Self {
        let trimmed = endpoints
            .into_iter()
            .map(|url| url.trim_end_matches('/').to_owned());
        Self {
            agent: http::agent(),
            endpoints: trimmed.collect(),
            preferred: AtomicUsize::new(0),
        }
    }

    /// Tries the endpoints in turn until one of them may have received the request.
    fn try_endpoints<T>(
        &self,
        path: &str,
        timeout: Duration,
        send: impl Fn(&str, Duration) -> Result<T, Failure>,
    ) -> Result<T, Failure> {
        let started_at = Instant::now();
        let first = self.preferred.load(Ordering::Relaxed);
        for step in 0..self.endpoints.len() {
            let position = (first + step) % self.endpoints.len();
            let url = format!("{}{path}", self.endpoints[position]);
            let result = send(&url, http::remaining(started_at, timeout));
            if !matches!(result, Err(Failure::NotSent)) {
                self.preferred.store(position, Ordering::Relaxed);
                return result;
            }
        }
        Err(Failure::NotSent)
    }

    fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
        timeout: Duration,
    ) -> Call<T> {
        let Ok(body) = serde_json::to_vec(request) else {
            return Call::Refused(Refusal::Rejected("request cannot be encoded".into()));
        };
        let response = self.try_endpoints(path, timeout, |url, remaining| {
            http::post(&self.agent, url, &body, remaining)
        });
        match response {
            Err(Failure::NotSent) => Call::Refused(Refusal::Unreachable),
            Err(Failure::Lost) => Call::Unknown,
            Ok(response) if response.status == 200 => {
                serde_json::from_slice(&response.body).map_or(Call::Unknown, Call::Done)
            }
            Ok(response) => refusal(&response).map_or(Call::Unknown, Call::Refused),
        }
    }

    fn range(&self, request: &wire::RangeRequest, timeout: Duration) -> Call<Vec<KeyValue>> {
        let response = self.call("/v3/kv/range", request, timeout);
        and_then(response, |response: wire::RangeResponse| {
            let entries = response.kvs.into_iter().map(key_value);
            entries
                .collect::<Option<Vec<KeyValue>>>()
                .map_or(Call::Unknown, Call::Done)
        })
    }
}

impl Kv for Etcd {
    fn get(&self, key: &str, timeout: Duration) -> Call<Option<KeyValue>> {
        let request = wire::RangeRequest {
            key: key.into(),
            range_end: Base64::default(),
        };
        and_then(self.range(&request, timeout), |mut found| {
            Call::Done(found.pop())
        })
    }

    fn list(&self, prefix: &str, timeout: Duration) -> Call<Vec<KeyValue>> {
        let request = wire::RangeRequest {
            key: first_key(prefix),
            range_end: Base64(wire::prefix_end(prefix)),
        };
        self.range(&request, timeout)
    }

    fn commit(&self, transaction: &Transaction, timeout: Duration) -> Call<Commit> {
        let response = self.call("/v3/kv/txn", &txn_request(transaction), timeout);
        and_then(response, |response: wire::TxnResponse| {
            Call::Done(if response.succeeded {
                Commit::Applied(response.header.revision.unsigned())
            } else {
                Commit::Conflict
            })
        })
    }

    /// The gateway takes the time to live in whole seconds; it is rounded up so that a lease never expires early.
    fn grant_lease(&self, ttl: Duration, timeout: Duration) -> Call<LeaseId> {
        let ttl_s = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        let request = wire::Lease {
            id: Int64(0),
            ttl_s: ttl_s.max(1).into(),
        };
        let response = self.call("/v3/lease/grant", &request, timeout);
        and_then(response, |lease: wire::Lease| Call::Done(lease.id.0))
    }

    fn renew_lease(&self, lease: LeaseId, timeout: Duration) -> Call<Duration> {
        let response = self.call("/v3/lease/keepalive", &lease_request(lease), timeout);
        and_then(response, |message: wire::KeepAliveMessage| {
            match message.result.ttl_s.unsigned() {
                0 => Call::Refused(Refusal::LeaseExpired),
                ttl_s => Call::Done(Duration::from_secs(ttl_s)),
            }
        })
    }

    fn revoke_lease(&self, lease: LeaseId, timeout: Duration) -> Call<()> {
        let response = self.call("/v3/lease/revoke", &lease_request(lease), timeout);
        and_then(response, |_: serde::de::IgnoredAny| Call::Done(()))
    }

    /// Returns an empty list before `timeout` if the service closes the stream.
    fn watch(&self, prefix: &str, from: Revision, timeout: Duration) -> Call<Vec<WatchEvent>> {
        let request = wire::WatchRequest {
            create_request: wire::WatchCreate {
                key: first_key(prefix),
                range_end: Base64(wire::prefix_end(prefix)),
                start_revision: from.into(),
            },
        };
        let Ok(body) = serde_json::to_vec(&request) else {
            return Call::Refused(Refusal::Rejected("request cannot be encoded".into()));
        };
        let response = self.try_endpoints("/v3/watch", timeout, |url, remaining| {
            http::post_streaming(&self.agent, url, &body, remaining)
        });
        match response {
            Err(Failure::NotSent) => Call::Refused(Refusal::Unreachable),
            Err(Failure::Lost) => Call::Unknown,
            Ok(response) if response.status().as_u16() == 200 => {
                let body = response
                    .into_body()
                    .into_with_config()
                    .limit(MAX_RESPONSE_BYTES);
                read_events(body.reader())
            }
            Ok(response) => match http::read_body(response) {
                Ok(response) => refusal(&response).map_or(Call::Unknown, Call::Refused),
                Err(_) => Call::Unknown,
            },
        }
    }
}

/// Reads the messages of a watch up to the first message with events.
///
/// If the stream ends or times out after the watch was created, there were no events. If it does so before, the outcome
/// is unknown.
fn read_events(body: impl Read) -> Call<Vec<WatchEvent>> {
    let mut lines = BufReader::new(body);
    let mut is_created = false;
    loop {
        let mut line = Vec::new();
        let has_ended = match lines.read_until(b'\n', &mut line) {
            Ok(length) => length == 0,
            Err(error) => {
                let is_timeout = http::is_timeout(error);
                if !is_timeout {
                    return Call::Unknown;
                }
                true
            }
        };
        if has_ended {
            return if is_created {
                Call::Done(Vec::new())
            } else {
                Call::Unknown
            };
        }
        let Ok(message) = serde_json::from_slice::<wire::WatchMessage>(&line) else {
            return Call::Unknown;
        };
        if let Some(result) = watch_result(message, &mut is_created) {
            return result;
        }
    }
}

/// Returns the result of the watch if `message` decides it, and sets `is_created` when the watch is open.
fn watch_result(
    message: wire::WatchMessage,
    is_created: &mut bool,
) -> Option<Call<Vec<WatchEvent>>> {
    if let Some(failure) = message.error {
        return Some(Call::Refused(Refusal::Rejected(failure.message)));
    }
    let result = message.result;
    *is_created |= result.created;
    if result.compact_revision.0 > 0 {
        return Some(Call::Refused(Refusal::Rejected("compacted".into())));
    }
    if result.canceled {
        return Some(Call::Refused(Refusal::Rejected("watch canceled".into())));
    }
    if result.events.is_empty() {
        return None;
    }
    let events = result.events.into_iter().map(watch_event);
    Some(
        events
            .collect::<Option<Vec<WatchEvent>>>()
            .map_or(Call::Unknown, Call::Done),
    )
}

fn watch_event(event: wire::Event) -> Option<WatchEvent> {
    let is_delete = event.kind == "DELETE";
    let entry = key_value(event.kv)?;
    Some(WatchEvent {
        key: entry.key,
        value: Some(entry.value).filter(|_| !is_delete),
        mod_revision: entry.mod_revision,
    })
}

fn key_value(entry: wire::KeyValue) -> Option<KeyValue> {
    Some(KeyValue {
        key: String::from_utf8(entry.key.0).ok()?,
        value: entry.value.0,
        mod_revision: entry.mod_revision.unsigned(),
    })
}

/// Returns the first key of a range. The gateway rejects an empty key, so a zero byte marks the start of all keys.
fn first_key(prefix: &str) -> Base64 {
    if prefix.is_empty() {
        Base64(vec![0])
    } else {
        prefix.into()
    }
}

fn lease_request(lease: LeaseId) -> wire::Lease {
    wire::Lease {
        id: Int64(lease),
        ttl_s: Int64(0),
    }
}

fn txn_request(transaction: &Transaction) -> wire::TxnRequest {
    let compares = transaction.compares.iter().map(|compare| wire::Compare {
        key: compare.key.as_str().into(),
        target: "MOD".to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision: compare.mod_revision.into(),
    });
    wire::TxnRequest {
        compare: compares.collect(),
        success: transaction.writes.iter().map(request_op).collect(),
    }
}

fn request_op(write: &Write) -> wire::RequestOp {
    match write {
        Write::Delete { key } => wire::RequestOp {
            put: None,
            delete: Some(wire::DeleteRequest {
                key: key.as_str().into(),
            }),
        },
        Write::Put { key, value, lease } => wire::RequestOp {
            put: Some(wire::PutRequest {
                key: key.as_str().into(),
                value: Base64(value.clone()),
                lease: Int64(lease.unwrap_or_default()),
            }),
            delete: None,
        },
    }
}

/// Returns the refusal that a response with a status other than 200 proves, or `None` if the call may have taken
/// effect.
///
/// The service also returns "unavailable", "deadline exceeded" and internal errors for writes that it has already
/// proposed to its replicas, and a load balancer responds in place of a server whose connection it lost.
fn refusal(response: &HttpResponse) -> Option<Refusal> {
    let failure: wire::Failure = serde_json::from_slice(&response.body).unwrap_or_default();
    match failure.code {
        wire::code::NOT_FOUND if failure.message.contains("lease") => Some(Refusal::LeaseExpired),
        wire::code::INVALID_ARGUMENT
        | wire::code::NOT_FOUND
        | wire::code::PERMISSION_DENIED
        | wire::code::RESOURCE_EXHAUSTED
        | wire::code::FAILED_PRECONDITION
        | wire::code::OUT_OF_RANGE
        | wire::code::UNIMPLEMENTED
        | wire::code::UNAUTHENTICATED => Some(Refusal::Rejected(failure.message)),
        0 if matches!(response.status, 400..=407 | 409..=429) => {
            Some(Refusal::Rejected(format!("status {}", response.status)))
        }
        _ => None,
    }
}

/// Converts the value of a completed call.
fn and_then<T, U>(call: Call<T>, convert: impl FnOnce(T) -> Call<U>) -> Call<U> {
    match call {
        Call::Done(value) => convert(value),
        Call::Refused(refusal) => Call::Refused(refusal),
        Call::Unknown => Call::Unknown,
    }
}
