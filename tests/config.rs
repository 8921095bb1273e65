//! Tests of the commands `config show`, `config apply` and `config status`.

mod workdir;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use tanagerford_kv::memory::Memory;
use tanagerford_standin::kv::KvStandin;
use workdir::Workdir;

const CONFIGURATION: &str = include_str!("../docs/examples/dalisay.json");
const ENTRY: &str = include_str!("../docs/examples/entry.json");

/// Starts an empty key-value service and returns it with its URL.
fn start_key_value_service() -> (KvStandin, String) {
    let standin = KvStandin::start(Memory::new()).expect("a port is free");
    let url = standin.url();
    (standin, url)
}

/// Starts a listener that answers each request with `body`, as a process answers with its state dump.
fn start_process_stub(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the port is known");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut request = [0; 4096];
            let _ = stream.read(&mut request);
            let length = body.len();
            let _ = write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
            );
        }
    });
    address
}

/// Guards against a shown configuration that differs from the applied one, and against `--settings` that do not name
/// the key-value service.
#[test]
fn applied_configuration_is_shown_and_can_be_applied_again() {
    let (_standin, url) = start_key_value_service();
    let workdir = Workdir::new("config-apply");
    workdir.write("dalisay.json", CONFIGURATION);
    workdir.write("entry.json", ENTRY.replace("http://10.0.0.5:2379", &url));
    let empty = workdir.run(&["config", "show", "--kv", &url]);
    insta::assert_snapshot!("nothing_published", empty);
    let applied = workdir.run(&[
        "config",
        "apply",
        "--settings",
        "entry.json",
        "dalisay.json",
    ]);
    insta::assert_snapshot!("applied", applied);
    let shown = workdir.run(&["config", "show", "--kv", &url]);
    insta::assert_snapshot!("shown", shown);
    workdir.write("shown.json", &shown.stdout);
    let again = workdir.run(&["config", "apply", "--kv", &url, "shown.json"]);
    assert_eq!(again.stdout, "generation 2: applied\n");
    let above = workdir.run(&[
        "config",
        "apply",
        "--above",
        "9",
        "--kv",
        &url,
        "dalisay.json",
    ]);
    assert_eq!(above.stdout, "generation 10: applied\n");
}

/// Guards against an operator who overwrites a change that was made after the file was written.
#[test]
fn outdated_file_is_refused_with_the_winning_generation() {
    let (_standin, url) = start_key_value_service();
    let workdir = Workdir::new("config-outdated");
    workdir.write("dalisay.json", CONFIGURATION);
    workdir.write(
        "based.json",
        CONFIGURATION.replacen('{', "{\"generation\": 1,", 1),
    );
    for _ in 0..3 {
        assert_eq!(
            workdir
                .run(&["config", "apply", "--kv", &url, "dalisay.json"])
                .code,
            Some(0)
        );
    }
    insta::assert_snapshot!(workdir.run(&["config", "apply", "--kv", &url, "based.json"]));
}

/// Guards against writing a faulty configuration to the key-value service.
#[test]
fn faulty_configuration_is_refused() {
    let (_standin, url) = start_key_value_service();
    let workdir = Workdir::new("config-faulty");
    let faulty = CONFIGURATION.replace("\"stock-lookup\"", "\"stock lookup\"");
    workdir.write(
        "faulty.json",
        faulty.replace("\"reserved_permille\": 300", "\"reserved_permille\": 3000"),
    );
    insta::assert_snapshot!(workdir.run(&["config", "apply", "--kv", &url, "faulty.json"]));
    assert_eq!(workdir.run(&["config", "show", "--kv", &url]).code, Some(1));
}

/// Guards against a status that hides processes that use an older generation, are unreachable or return a malformed
/// state.
#[test]
fn status_names_processes_that_use_another_generation() {
    let (standin, url) = start_key_value_service();
    let workdir = Workdir::new("config-status");
    workdir.write("dalisay.json", CONFIGURATION);
    for _ in 0..2 {
        assert_eq!(
            workdir
                .run(&["config", "apply", "--kv", &url, "dalisay.json"])
                .code,
            Some(0)
        );
    }
    let current = start_process_stub(r#"{"role": "entry", "config_generation": 2}"#).to_string();
    let behind = start_process_stub(r#"{"config_generation": 1}"#).to_string();
    let malformed = start_process_stub("{}").to_string();
    let with_names = |text: String| {
        let text = text.replace(&current, "CURRENT").replace(&behind, "BEHIND");
        text.replace(&malformed, "MALFORMED")
    };
    let run = |arguments: &[&str]| with_names(workdir.run(arguments).to_string());
    let all = run(&[
        "config", "status", "--kv", &url, &current, &behind, &malformed,
    ]);
    insta::assert_snapshot!("all_processes", all);
    insta::assert_snapshot!(
        "current_process",
        run(&["config", "status", "--kv", &url, &current])
    );
    insta::assert_snapshot!(
        "no_service_named",
        run(&["config", "status", &current, &behind])
    );
    drop(standin);
    insta::assert_snapshot!(
        "service_down",
        run(&["config", "status", "--kv", &url, &current])
    );
}
