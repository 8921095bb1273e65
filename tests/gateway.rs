//! The command `gateway` as a process, between stand-ins of the platform's store and of backend servers.

#[path = "../platform/tests/support/mod.rs"]
mod support;
mod workdir;

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};

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

/// Guards against a process that is ready before it knows anything, that SIGHUP stops, and that cuts a stream when it is
/// told to stop.
#[test]
fn a_process_serves_until_its_last_stream_has_ended() {
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
    process.hang_up();
    wait_until(|| {
        process
            .logged("settings read again; nothing changed")
            .is_some()
    });
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
    assert!(process.logged("entry has stopped").is_some());
}

/// Guards against wrong settings that start a process, and against findings that are told one at a time.
#[test]
fn wrong_settings_are_reported_together() {
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
