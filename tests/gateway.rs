//! Tests of the command `gateway` as a process, with stand-ins of the key-value service and of backend servers.

#[path = "../platform/tests/support/mod.rs"]
mod support;
mod workdir;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use support::store::StoreStandin;
use support::{Action, CONFIGURATION, Worker, answer, chunk, read_message, request};
use workdir::process::{Process, wait_until};
use workdir::{Workdir, platform_settings};

const STARTED: &str = "entry has started";
/// Time in which a process has read the part of a request that was sent.
const PARTIAL_REQUEST_TIME: Duration = Duration::from_millis(200);

fn registration(pool: &str, worker: &Worker) -> String {
    let address = worker.address;
    format!(
        r#"{{"service":"{pool}","address":"{address}","zone":"zone-a","version":"v1","slots":4,"state":"ready",
            "coldRemainingMs":0,"sequence":1}}"#
    )
}

fn status(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: ready\r\n\r\n").ok()?;
    let message = read_message(&mut BufReader::new(stream))?;
    message.line.split(' ').nth(1).map(str::to_owned)
}

fn call(address: SocketAddr, text: &str) -> Option<support::Received> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Starts a process that follows a store; returns it with the addresses for callers and for readiness.
fn start_entry(workdir: &Workdir, store: &StoreStandin) -> (Process, SocketAddr, SocketAddr) {
    workdir.write(
        "settings.toml",
        platform_settings("front-1", "zone-a", store.address, 100),
    );
    let arguments = ["gateway", "--settings", "settings.toml"];
    let process = Process::start(workdir, &arguments, STARTED);
    let callers = process.address(STARTED, "callers");
    let readiness = process.address(STARTED, "readiness");
    (process, callers, readiness)
}

/// Guards against a process that is ready before it has a configuration and servers, that SIGHUP ends, or that cuts a
/// stream after SIGTERM.
#[test]
fn process_serves_until_its_last_stream_has_ended() {
    let store = StoreStandin::start();
    let events = format!(
        "{}{}0\r\n\r\n",
        support::STREAM_HEAD,
        chunk("id: 1\ndata: a\n\n")
    );
    let (engine, plain) = (
        Worker::start([Action::Write(events)]),
        Worker::start([answer("done")]),
    );
    let workdir = Workdir::new("gateway_serves");
    let (mut process, callers, readiness) = start_entry(&workdir, &store);
    assert_eq!(
        status(readiness, "/tanagerford/ready").as_deref(),
        Some("503")
    );
    store.put("op/config", CONFIGURATION);
    store.put("servers/e-1", &registration("engines", &engine));
    store.put("servers/p-1", &registration("plain", &plain));
    wait_until(|| status(readiness, "/tanagerford/ready").as_deref() == Some("200"));
    assert_eq!(status(readiness, "/metrics").as_deref(), Some("200"));
    wait_until(|| {
        let got = call(
            callers,
            &request("POST /orders/1", "id-1", "Content-Length: 0\r\n"),
        );
        got.is_some_and(|got| got.body == b"done")
    });
    process.send_sighup();
    wait_until(|| process.find_line("settings reloaded; no changes").is_some());
    process.terminate();
    wait_until(|| status(readiness, "/tanagerford/ready").as_deref() != Some("200"));
    let got = call(
        callers,
        &request("POST /drafts/1", "id-2", "Content-Length: 0\r\n"),
    )
    .unwrap();
    assert_eq!(got.body, b"id: 1\ndata: a\n\n");
    assert_eq!(got.header("connection"), Some("close"));
    assert!(process.wait().success());
    assert!(process.find_line("entry has stopped").is_some());
}

/// Guards against a call that ends without an answer when the time for a stop is over, and against streams that are cut then
/// and are in no log line.
#[test]
fn a_stopping_process_refuses_unanswered_calls_and_counts_cut_streams() {
    let store = StoreStandin::start();
    let begun = support::STREAM_HEAD.to_owned() + &chunk("id: 1\ndata: a\n\n");
    let engine = Worker::start([Action::WriteAndHang(begun)]);
    let plain = Worker::start([Action::Hang]);
    let workdir = Workdir::new("gateway_in_flight");
    let (mut process, callers, readiness) = start_entry(&workdir, &store);
    // Longer than the time for a stop.
    let configuration = CONFIGURATION.replace("\"timeoutMs\": 5000", "\"timeoutMs\": 60000");
    store.put("op/config", &configuration);
    store.put("servers/e-1", &registration("engines", &engine));
    store.put("servers/p-1", &registration("plain", &plain));
    wait_until(|| status(readiness, "/tanagerford/ready").as_deref() == Some("200"));
    let send = |line: &str, id: &str| {
        let text = request(line, id, "Content-Length: 0\r\n");
        let text = text.replace("Remaining: 8000", "Remaining: 60000");
        thread::spawn(move || call(callers, &text))
    };
    let order = send("POST /orders/1", "id-1");
    let stream = send("POST /drafts/1", "id-2");
    wait_until(|| !plain.received().is_empty() && !engine.received().is_empty());
    process.terminate();
    assert!(process.wait().success());
    let got = order.join().expect("caller").expect("an answer");
    assert_eq!(got.line, "HTTP/1.1 502 Bad Gateway");
    assert_eq!(got.body, br#"{"error":"stopping"}"#);
    let got = stream.join().expect("caller");
    assert!(got.is_none(), "{got:?}");
    let line = process.find_line("entry has stopped").expect("last line");
    assert_eq!(line["requests_in_flight"], 1, "{line}");
}

/// Guards against an order that is read late in a stop, passed on, and cut at its end.
#[test]
fn a_request_that_cannot_end_before_the_stop_is_refused_as_not_run() {
    let store = StoreStandin::start();
    let engine = Worker::start([Action::Hang]);
    let plain = Worker::start([answer("done")]);
    let workdir = Workdir::new("gateway_late_in_stop");
    let (mut process, callers, readiness) = start_entry(&workdir, &store);
    let configuration = CONFIGURATION.replace("\"timeoutMs\": 5000", "\"timeoutMs\": 60000");
    store.put("op/config", &configuration);
    store.put("servers/e-1", &registration("engines", &engine));
    store.put("servers/p-1", &registration("plain", &plain));
    wait_until(|| status(readiness, "/tanagerford/ready").as_deref() == Some("200"));
    let begin = |id: &str, remaining_ms: &str| {
        let text = request("POST /orders/1", id, "Content-Length: 4\r\n");
        let text = text.replace("Remaining: 8000", &format!("Remaining: {remaining_ms}"));
        let mut stream = TcpStream::connect(callers).expect("connect");
        write!(stream, "{text}ab").expect("send");
        stream
    };
    let (late, short) = (begin("id-late", "60000"), begin("id-short", "5500"));
    thread::sleep(PARTIAL_REQUEST_TIME);
    process.terminate();
    let begin_probe = || call(callers, &request("GET /nowhere/1", "id-probe", ""));
    wait_until(|| begin_probe().is_none());
    let end = |mut stream: TcpStream| {
        stream.write_all(b"cd").expect("send");
        read_message(&mut BufReader::new(stream)).expect("an answer")
    };
    let refused = end(late);
    assert_eq!(refused.line, "HTTP/1.1 503 Service Unavailable");
    assert_eq!(refused.body, br#"{"error":"too_late_in_stop"}"#);
    assert_eq!(end(short).body, b"done");
    let ids: Vec<_> = plain
        .received()
        .iter()
        .map(|got| got.id().to_owned())
        .collect();
    assert_eq!(ids, ["id-short"]);
    assert!(process.wait().success());
}

/// Guards against a request without an answer beside a reload by signal and a new configuration.
#[test]
fn every_request_is_answered_beside_reloads_and_configurations() {
    const RELOADED: &str = "settings reloaded; no changes";
    const IN_FORCE: &str = "configuration in force";
    /// Faster callers fill the queue of log lines, which then drops the lines that the test waits for.
    const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
    let store = StoreStandin::start();
    let plain = Worker::start([answer("done")]);
    let workdir = Workdir::new("gateway_reloads");
    workdir.write(
        "settings.toml",
        platform_settings("front-1", "zone-a", store.address, 100),
    );
    store.put("op/config", CONFIGURATION);
    store.put("servers/p-1", &registration("plain", &plain));
    let arguments = ["gateway", "--settings", "settings.toml"];
    let mut process = Process::start(&workdir, &arguments, STARTED);
    let callers = process.address(STARTED, "callers");
    let readiness = process.address(STARTED, "readiness");
    wait_until(|| status(readiness, "/tanagerford/ready").as_deref() == Some("200"));
    let text = request("POST /orders/1", "id-1", "Content-Length: 0\r\n");
    let (start, end) = text.split_at(text.len() / 2);
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..3 {
            // A kept connection that is always in use, beside one that is idle and one with a begun head.
            scope.spawn(|| {
                let mut caller = connect(callers);
                while !is_done.load(Ordering::Relaxed) {
                    exchange(&mut caller, &text);
                    thread::sleep(REQUEST_INTERVAL);
                }
            });
        }
        let _end = SetOnDrop(&is_done);
        let mut partial = connect(callers);
        let mut idle = connect(callers);
        for round in 1..=6 {
            exchange(&mut idle, &text);
            partial
                .get_mut()
                .write_all(start.as_bytes())
                .expect("entry reads");
            let idle_timeout_ms = if round % 2 == 0 { 2_000 } else { 120_000 };
            let changed = CONFIGURATION
                .replace("\"version\": 7", &format!("\"version\": {}", 7 + round))
                .replace(
                    "\"idleTimeoutMs\": 15000",
                    &format!("\"idleTimeoutMs\": {idle_timeout_ms}"),
                );
            store.put("op/config", &changed);
            process.send_sighup();
            wait_until(|| process.count_lines(IN_FORCE) > round);
            wait_until(|| process.count_lines(RELOADED) >= round);
            exchange(&mut partial, end);
        }
        exchange(&mut idle, &text);
    });
    process.terminate();
    assert!(process.wait().success());
}

/// Sets a flag when the scope ends, also with a failed check.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("entry accepts");
    stream
        .set_read_timeout(Some(support::TIMEOUT))
        .expect("timeout is valid");
    BufReader::new(stream)
}

/// Sends a request or the rest of one and expects a success, or a refusal with the promise that the request has not run, on a
/// connection that stays open.
fn exchange(caller: &mut BufReader<TcpStream>, text: &str) {
    let sent = caller.get_mut().write_all(text.as_bytes());
    sent.expect("entry reads");
    let got = read_message(caller).expect("answer");
    let status = got.line.split(' ').nth(1);
    assert!(matches!(status, Some("200" | "503")), "{got:?}");
    assert_ne!(got.header("connection"), Some("close"), "{got:?}");
}

/// Guards against a process that starts with invalid settings, and against reporting only the first finding.
#[test]
fn all_findings_of_settings_are_reported() {
    let workdir = Workdir::new("gateway_settings");
    let good = platform_settings("front-1", "zone-a", "127.0.0.1:9".parse().unwrap(), 100);
    workdir.write("good.toml", &good);
    workdir.write(
        "wrong.toml",
        good.replace("cores = 1", "cores = \"one\"")
            .replace("graceS = 8", ""),
    );
    let run = workdir.run(&["check", "good.toml"]);
    assert_eq!(
        (run.code, run.stdout.as_str()),
        (Some(0), "good.toml: correct settings of the platform\n")
    );
    for arguments in [
        &["check", "good.toml", "wrong.toml"][..],
        &["gateway", "--settings", "wrong.toml"],
    ] {
        let run = workdir.run(arguments);
        assert_eq!(run.code, Some(1));
        let findings = "wrong.toml: /limits/cores: expected a number of at least 0, found \"\\\"one\\\"\"\n\
            wrong.toml: /bounds/graceS: expected a number of at least 0, found nothing\n\
            tanagerford: refused because of these findings\n";
        assert_eq!(run.stderr, findings);
    }
    assert_eq!(workdir.run(&["gateway", "--unknown"]).code, Some(2));
}
