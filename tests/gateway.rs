//! Tests of the command `gateway` as a process, with stand-ins of the key-value service and of backend servers.

#[path = "../platform/tests/support/mod.rs"]
mod support;
mod workdir;

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::thread;

use support::store::StoreStandin;
use support::{Action, CONFIGURATION, Worker, answer, chunk, read_message, request};
use workdir::process::{Process, wait_until};
use workdir::{Workdir, platform_settings};

const STARTED: &str = "entry has started";

fn registration(pool: &str, worker: &Worker) -> String {
    let address = worker.address;
    format!(
        r#"{{"service":"{pool}","address":"{address}","zone":"zone-a","slots":4,"state":"ready","sequence":1}}"#
    )
}

fn status(address: SocketAddr, path: &str) -> Option<String> {
    use std::io::Write;
    let mut stream = TcpStream::connect(address).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: ready\r\n\r\n").ok()?;
    let message = read_message(&mut BufReader::new(stream))?;
    message.line.split(' ').nth(1).map(str::to_owned)
}

fn call(address: SocketAddr, text: &str) -> Option<support::Received> {
    use std::io::Write;
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
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
    workdir.write(
        "settings.toml",
        platform_settings("front-1", "zone-a", store.address, 100),
    );
    let arguments = ["gateway", "--settings", "settings.toml"];
    let mut process = Process::start(&workdir, &arguments, STARTED);
    let callers = process.address(STARTED, "callers");
    let readiness = process.address(STARTED, "readiness");
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
    workdir.write(
        "settings.toml",
        platform_settings("front-1", "zone-a", store.address, 100),
    );
    let arguments = ["gateway", "--settings", "settings.toml"];
    let mut process = Process::start(&workdir, &arguments, STARTED);
    let callers = process.address(STARTED, "callers");
    let readiness = process.address(STARTED, "readiness");
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
