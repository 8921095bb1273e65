//! Tests of `tanagerford explain`.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const LOG: &str = r#"1.5 s front-a-1 {"message":"attempt","request":"r-1","route":"r","server":"s-1","outcome":"silent","sends":1}
1.6 s front-a-1 {"message":"refused","request":"r-1","route":"r","reason":"server_failed","not_run":false,"after_ms":"100"}
1.7 s front-a-1 {"message":"answered","request":"r-2","server":"s-1","status":200,"total_ms":"9","objective_ms":"100"}
"#;

fn explain(arguments: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tanagerford"))
        .arg("explain")
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    // A command with invalid arguments exits without reading, so the write may fail.
    let _ = input.write_all(LOG.as_bytes());
    drop(input);
    child.wait_with_output().unwrap()
}

/// Guards against a command that does not read the standard input, and against lines of other requests in an
/// explanation.
#[test]
fn a_request_is_explained_from_standard_input() {
    let output = explain(&["r-1"]);
    assert!(output.status.success());
    insta::assert_snapshot!(String::from_utf8(output.stdout).unwrap());
    let json = explain(&["--json", "r-2"]);
    let value: serde_json::Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(value["cause"], "answered");
    let list = explain(&["--failures"]);
    assert_eq!(
        String::from_utf8(list.stdout).unwrap(),
        "2 requests ended\n       1  server_silent            r-1\n"
    );
}

/// Guards against exit code 0 for a request without a log line, which scripts would take as explained.
#[test]
fn unknown_request_exits_1() {
    let output = explain(&["r-9"]);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(
        String::from_utf8(output.stderr).unwrap(),
        "tanagerford: no line is about the request r-9\n"
    );
    assert_eq!(explain(&[]).status.code(), Some(2));
    assert_eq!(explain(&["r-1", "no-such-file"]).status.code(), Some(1));
}
