//! Tests of `tanagerford experiment`.

use std::process::{Command, Output};

const LOAD: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/crates/emulator/loads/small.json"
);

fn experiment(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tanagerford"))
        .arg("experiment")
        .args(arguments)
        .output()
        .unwrap()
}

/// Guards against a `--seed` without effect and an `--svg` that writes no drawing.
#[test]
fn load_is_played_with_the_given_seed() {
    let drawing = std::env::temp_dir().join(format!("tanagerford-{}.svg", std::process::id()));
    let path = drawing.to_str().unwrap();
    let table = experiment(&[LOAD, "--svg", path]);
    assert!(table.status.success());
    let text = String::from_utf8(table.stdout).unwrap();
    assert!(text.starts_with("small: 1 seed\n"), "{text}");
    let svg = std::fs::read_to_string(&drawing).unwrap();
    std::fs::remove_file(&drawing).unwrap();
    assert!(svg.contains("earned share"));
    let json = experiment(&[LOAD, "--json", "--seed", "5"]);
    let report: serde_json::Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(report["seeds"], serde_json::json!([5]));
    assert_eq!(report["policies"][0]["name"], "default");
}

/// Guards against exit code 0 after a file that is no load file, and against usage errors that exit like failures.
#[test]
fn invalid_load_file_is_refused() {
    let output = experiment(&[concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")]);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(experiment(&[]).status.code(), Some(2));
}
