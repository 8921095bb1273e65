//! Tests of the etcd client and the VM list client against stand-ins and documented responses of the gateway.

use std::io::{Read, Write as _};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tanagerford_kv::etcd::Etcd;
use tanagerford_kv::kv::{Call, Commit, Compare, KeyValue, Kv, Refusal, Transaction, Write};
use tanagerford_kv::memory::{Faults, Memory};
use tanagerford_kv::vm_list::{Vm, VmListClient, VmListError, VmState, decode};
use tanagerford_kv::weight_store::WeightStore;
use tanagerford_kv::wire;
use tanagerford_standin::kv::KvStandin;
use tanagerford_standin::vm_list::VmListStandin;

const TIMEOUT: Duration = Duration::from_secs(20);

fn put(key: &str, value: &[u8], expected: u64) -> Transaction {
    Transaction {
        compares: vec![Compare {
            key: key.into(),
            mod_revision: expected,
        }],
        writes: vec![Write::Put {
            key: key.into(),
            value: value.to_vec(),
            lease: None,
        }],
    }
}

fn start(memory: &Memory) -> (KvStandin, Etcd) {
    let standin = KvStandin::start(memory.clone()).expect("a port is free");
    let etcd = Etcd::new(vec![standin.url()]);
    (standin, etcd)
}

/// Starts a server that sends `response` on each connection and closes it; returns a client of this server.
fn client_with_response(response: String) -> Etcd {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the port is known");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            read_request(&mut stream);
            let _ = stream.write_all(response.as_bytes());
        }
    });
    Etcd::new(vec![format!("http://{address}")])
}

/// Reads one request. If it were left unread, closing the connection could reset it before the client has read the
/// response.
fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    while !request.ends_with(b"}") {
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => request.extend_from_slice(&buffer[..length]),
            _ => return,
        }
    }
}

fn http_response(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Guards against transactions and range reads that the client encodes or decodes wrongly.
#[test]
fn calls_reach_the_store() {
    let memory = Memory::new();
    let (_standin, etcd) = start(&memory);
    assert_eq!(
        etcd.commit(&put("a/1", b"\x00\xff", 0), TIMEOUT),
        Call::Done(Commit::Applied(1))
    );
    assert_eq!(
        etcd.commit(&put("a/1", b"2", 0), TIMEOUT),
        Call::Done(Commit::Conflict)
    );
    assert_eq!(
        etcd.commit(&put("b", b"", 0), TIMEOUT),
        Call::Done(Commit::Applied(2))
    );
    let first = KeyValue {
        key: "a/1".into(),
        value: b"\x00\xff".to_vec(),
        mod_revision: 1,
    };
    assert_eq!(etcd.get("a/1", TIMEOUT), Call::Done(Some(first.clone())));
    assert_eq!(etcd.list("a/", TIMEOUT), Call::Done(vec![first]));
    assert!(matches!(etcd.list("", TIMEOUT), Call::Done(all) if all.len() == 2));
    let delete = Transaction {
        compares: vec![],
        writes: vec![Write::Delete { key: "b".into() }],
    };
    assert_eq!(
        etcd.commit(&delete, TIMEOUT),
        Call::Done(Commit::Applied(3))
    );
    assert_eq!(memory.get("b", TIMEOUT), Call::Done(None));
}

/// Guards against leases that expire early because of rounding, and against an expired lease that looks renewed.
#[test]
fn leases_are_rounded_up_and_expire() {
    let memory = Memory::with_virtual_clock();
    let (_standin, etcd) = start(&memory);
    let Call::Done(lease) = etcd.grant_lease(Duration::from_millis(1_200), TIMEOUT) else {
        panic!("granted")
    };
    assert_eq!(
        etcd.renew_lease(lease, TIMEOUT),
        Call::Done(Duration::from_secs(2))
    );
    let mut write = put("k", b"v", 0);
    if let Write::Put { lease: of_key, .. } = &mut write.writes[0] {
        *of_key = Some(lease);
    }
    assert_eq!(etcd.commit(&write, TIMEOUT), Call::Done(Commit::Applied(1)));
    assert_eq!(etcd.revoke_lease(lease, TIMEOUT), Call::Done(()));
    assert_eq!(
        etcd.renew_lease(lease, TIMEOUT),
        Call::Refused(Refusal::LeaseExpired)
    );
    assert_eq!(
        etcd.revoke_lease(lease, TIMEOUT),
        Call::Refused(Refusal::LeaseExpired)
    );
    assert_eq!(
        etcd.commit(&write, TIMEOUT),
        Call::Refused(Refusal::LeaseExpired)
    );
    assert_eq!(memory.get("k", TIMEOUT), Call::Done(None));
}

/// Guards against a watch that misses writes before or after its start, or that does not report a compaction.
#[test]
fn watch_reports_earlier_and_later_writes() {
    let memory = Memory::new();
    let (_standin, etcd) = start(&memory);
    memory.commit(&put("a/1", b"1", 0), TIMEOUT);
    let seen = |call: Call<Vec<_>>| match call {
        Call::Done(events) => events.len(),
        other => panic!("expected events, found {other:?}"),
    };
    assert_eq!(seen(etcd.watch("a/", 1, TIMEOUT)), 1);
    let writer = memory.client();
    let late = thread::spawn(move || writer.commit(&put("a/2", b"2", 0), TIMEOUT));
    assert_eq!(seen(etcd.watch("a/", 2, TIMEOUT)), 1);
    late.join().expect("the writer does not panic");
    memory.compact();
    let compacted = Call::Refused(Refusal::Rejected("compacted".into()));
    assert_eq!(etcd.watch("a/", 1, TIMEOUT), compacted);
}

/// Guards against a watch without events that is reported as unknown when its timeout passes.
#[test]
fn idle_watch_returns_no_events() {
    let (_standin, etcd) = start(&Memory::new());
    assert_eq!(
        etcd.watch("a/", 1, Duration::from_secs(2)),
        Call::Done(Vec::new())
    );
}

/// Guards against a lost response that is reported as a refusal: a publisher would assume that its write was not
/// applied.
#[test]
fn lost_response_is_unknown_and_the_write_is_applied() {
    let memory = Memory::new();
    let (_standin, etcd) = start(&memory);
    memory.set_faults(Faults {
        responses_to_lose: 1,
        ..Faults::default()
    });
    assert_eq!(etcd.commit(&put("k", b"v", 0), TIMEOUT), Call::Unknown);
    assert!(matches!(etcd.get("k", TIMEOUT), Call::Done(Some(_))));
}

/// Guards against a call to a slow service that exceeds its timeout.
#[test]
fn slow_response_is_unknown() {
    let memory = Memory::new();
    let (_standin, etcd) = start(&memory);
    memory.set_faults(Faults {
        delay: Duration::from_secs(3),
        ..Faults::default()
    });
    assert_eq!(etcd.get("k", Duration::from_millis(50)), Call::Unknown);
}

/// Guards against a rate limit that is reported as an unknown result.
#[test]
fn rate_limit_is_a_refusal() {
    let memory = Memory::new();
    let (_standin, etcd) = start(&memory);
    memory.set_faults(Faults {
        calls_until_rate_limit: Some(0),
        ..Faults::default()
    });
    let refused = Call::Refused(Refusal::Rejected("rate limit".into()));
    assert_eq!(etcd.commit(&put("k", b"v", 0), TIMEOUT), refused);
}

/// Guards against a refused connection that is reported as unknown, and against calls that fail because one of several
/// endpoints is down.
#[test]
fn closed_endpoint_is_unreachable_and_another_one_is_used() {
    let memory = Memory::new();
    let (closed, etcd) = start(&memory);
    let closed_url = closed.url();
    assert_eq!(etcd.get("k", TIMEOUT), Call::Done(None));
    drop(closed);
    let open = KvStandin::start(memory).expect("a port is free");
    let one = Etcd::new(vec![closed_url.clone()]);
    assert_eq!(one.get("k", TIMEOUT), Call::Refused(Refusal::Unreachable));
    let two = Etcd::new(vec![closed_url, open.url()]);
    assert_eq!(two.get("k", TIMEOUT), Call::Done(None));
}

/// Guards against a client that decodes only the stand-in's responses and not those in the gateway's documentation.
#[test]
fn documented_responses_are_decoded() {
    let range = r#"{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255",
        "revision":"2","raft_term":"3"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2",
        "version":"1","value":"YmFy"}],"count":"1"}"#;
    let found = client_with_response(http_response("200 OK", range)).get("foo", TIMEOUT);
    assert!(matches!(found, Call::Done(Some(entry)) if entry.value == b"bar"));
    let txn = r#"{"header":{"revision":"3"},"succeeded":true,"responses":[{"response_put":{}}]}"#;
    let applied =
        client_with_response(http_response("200 OK", txn)).commit(&put("foo", b"", 2), TIMEOUT);
    assert_eq!(applied, Call::Done(Commit::Applied(3)));
    let conflict = client_with_response(http_response("200 OK", r#"{"header":{"revision":"3"}}"#));
    assert_eq!(
        conflict.commit(&put("foo", b"", 1), TIMEOUT),
        Call::Done(Commit::Conflict)
    );
    let watch = concat!(
        r#"{"result":{"header":{"revision":"1"},"created":true}}"#,
        "\n",
        r#"{"result":{"header":{"revision":"2"},"events":[{"kv":{"key":"Zm9v","mod_revision":"2",
            "value":"YmFy"}},{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"3"}}]}}"#,
    );
    let watch = watch.replace("\n            ", "");
    let Call::Done(events) =
        client_with_response(http_response("200 OK", &watch)).watch("foo", 2, TIMEOUT)
    else {
        panic!("events are reported")
    };
    assert_eq!(events[0].value.as_deref(), Some(b"bar".as_slice()));
    assert_eq!(
        (events[1].value.as_deref(), events[1].mod_revision),
        (None, 3)
    );
}

/// Guards against errors that are reported as refusals although the service may have accepted the write.
#[test]
fn only_errors_without_effect_are_refusals() {
    let call = |status, body: &str| {
        client_with_response(http_response(status, body)).commit(&put("foo", b"", 2), TIMEOUT)
    };
    let unavailable = r#"{"error":"etcdserver: request timed out","code":14}"#;
    assert_eq!(call("503 Service Unavailable", unavailable), Call::Unknown);
    assert_eq!(call("502 Bad Gateway", "<html>"), Call::Unknown);
    assert_eq!(call("408 Request Timeout", ""), Call::Unknown);
    assert_eq!(call("200 OK", "<html>"), Call::Unknown);
    let limited = r#"{"error":"etcdserver: too many requests","code":8,"message":"etcdserver: too many requests"}"#;
    assert!(matches!(
        call("429 Too Many Requests", limited),
        Call::Refused(Refusal::Rejected(_))
    ));
    assert!(matches!(
        call("429 Too Many Requests", ""),
        Call::Refused(Refusal::Rejected(_))
    ));
}

/// Guards against a response that is truncated by a broken connection and reported as complete.
#[test]
fn truncated_response_is_unknown() {
    let truncated = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"succeeded\":true}";
    assert_eq!(
        client_with_response(truncated.into()).commit(&put("foo", b"", 2), TIMEOUT),
        Call::Unknown
    );
    assert_eq!(
        client_with_response(String::new()).watch("foo", 2, TIMEOUT),
        Call::Unknown
    );
}

fn vm(address: &str, state: VmState) -> Vm {
    Vm {
        address: address.parse().expect("an address"),
        availability_zone: "west-1".into(),
        state,
    }
}

/// Guards against a stand-in without the lag that processes have to tolerate, and against a malformed list that is
/// accepted.
#[test]
fn vm_list_lags_behind() {
    let lag = Duration::from_secs(30);
    let before = vec![vm("10.0.0.1", VmState::Live)];
    let after = vec![vm("10.0.0.1", VmState::Leaving)];
    let standin = VmListStandin::start(before.clone(), lag).expect("a port is free");
    let client = VmListClient::new(&standin.url());
    standin.set_vms(after.clone());
    assert_eq!(client.list(TIMEOUT).expect("answers"), before);
    standin.set_lag(Duration::ZERO);
    assert_eq!(client.list(TIMEOUT).expect("answers"), after);
    let malformed = decode(br#"{"vms": [{"address": "not an address"}]}"#);
    let error = malformed.expect_err("the list is malformed");
    assert_eq!(*error.current_context(), VmListError::Malformed);
}

/// Guards against members that together exceed the weight store's rate limit.
#[test]
fn members_share_the_rate_limit_of_the_weight_store() {
    let store = WeightStore::new(60);
    let minute = Duration::from_mins(1);
    assert!(store.may_load(None, minute, 10));
    assert!(!store.may_load(Some(minute), 10 * minute, 10));
    assert!(store.may_load(Some(minute), 11 * minute, 10));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against decoders of gateway messages and VM lists that panic on malformed input.
    #[test]
    fn decoders_never_panic(text in proptest::collection::vec(any::<u8>(), 0..256)) {
        let _ = serde_json::from_slice::<wire::WatchMessage>(&text);
        let _ = serde_json::from_slice::<wire::RangeResponse>(&text);
        let _ = decode(&text);
    }

    /// Guards against decoders that panic on malformed keys or revisions in a well-formed message.
    #[test]
    fn arbitrary_fields_never_panic(number in ".{0,24}", value in ".{0,24}") {
        let number = serde_json::to_string(&number).expect("text");
        let value = serde_json::to_string(&value).expect("text");
        let entry = format!(r#"{{"kvs": [{{"mod_revision": {number}, "key": {value}}}]}}"#);
        let _ = serde_json::from_str::<wire::RangeResponse>(&entry);
    }

    /// Guards against a prefix range that misses keys with the prefix or includes other keys.
    #[test]
    fn prefix_range_contains_exactly_the_keys_with_the_prefix(prefix in "[a-z/\u{10ffff}]{1,4}", key in "[a-z/\u{10ffff}]{0,6}") {
        let end = wire::prefix_end(&prefix);
        let is_inside = key.as_bytes() >= prefix.as_bytes() && key.as_bytes() < end.as_slice();
        prop_assert_eq!(is_inside, key.starts_with(&prefix));
    }
}
