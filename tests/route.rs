//! Tests of the command `route`, which tells where a request would go.

#[path = "../platform/tests/support/mod.rs"]
mod support;
mod workdir;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use support::store::StoreStandin;
use support::{CONFIGURATION, Worker, read_message};
use workdir::process::{Process, wait_until};
use workdir::{Workdir, platform_settings};

const STARTED: &str = "entry has started";

fn is_ready(address: SocketAddr) -> bool {
    let answer = TcpStream::connect(address).ok().and_then(|mut stream| {
        write!(stream, "GET /tanagerford/ready HTTP/1.1\r\nHost: r\r\n\r\n").ok()?;
        read_message(&mut BufReader::new(stream))
    });
    answer.is_some_and(|answer| answer.line.starts_with("HTTP/1.1 200"))
}

/// Guards against a preview that sends a request or differs from the entry's choice, and against refusals that are reported
/// as success.
#[test]
fn a_route_is_previewed_without_sending_the_request() {
    let store = StoreStandin::start();
    let (near, far) = (Worker::start([]), Worker::start([]));
    store.put("op/config", CONFIGURATION);
    for (id, worker, zone) in [("e-1", &far, "zone-b"), ("e-2", &near, "zone-a")] {
        let address = worker.address;
        let record = format!(
            r#"{{"service":"engines","address":"{address}","zone":"{zone}","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"sequence":1}}"#
        );
        store.put(&format!("servers/{id}"), &record);
    }
    let workdir = Workdir::new("route");
    workdir.write(
        "settings.toml",
        platform_settings("front-1", "zone-a", store.address, 100),
    );
    workdir.write("key", "key-1\n");
    workdir.write("other-key", "key-3\n");
    let arguments = ["gateway", "--settings", "settings.toml"];
    let mut process = Process::start(&workdir, &arguments, STARTED);
    let readiness = process.address(STARTED, "readiness");
    wait_until(|| is_ready(readiness));
    let address = readiness.to_string();
    let run = |options: &[&str], path: &str| {
        let key = if options.contains(&"--key-file") {
            &[][..]
        } else {
            &["--key-file", "key"]
        };
        let mut arguments = vec!["route"];
        arguments.extend(key);
        arguments.extend(options);
        arguments.extend([address.as_str(), "app.example", path]);
        let run = workdir.run(&arguments);
        format!(
            "exit {:?}\n{}{}",
            run.code.unwrap_or(-1),
            run.stdout,
            run.stderr
        )
    };
    let options = ["--tokens", "900,50", "--parts", "a:800,b:100"];
    let results = [
        run(&options, "/chat/1"),
        run(&["--tokens", "9000,50"], "/drafts/1"),
        run(&[], "/orders/1"),
        run(&[], "/unknown/1"),
        run(&["--key-file", "other-key"], "/orders/1"),
        // More tokens in parts than in the prompt.
        run(&["--tokens", "10,1", "--parts", "a:11"], "/chat/1"),
    ];
    insta::assert_snapshot!(results.join("\n"));
    assert!(near.received().is_empty() && far.received().is_empty());
    process.terminate();
    assert!(process.wait().success());
}
