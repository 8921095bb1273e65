//! Tests of the command `check`.

mod workdir;

use workdir::Workdir;

const CONFIGURATION: &str = include_str!("../docs/examples/zarqa.json");
const SHEET: &str = include_str!("../docs/examples/zarqa-tiers.csv");
const SIDECAR: &str = include_str!("../docs/examples/sidecar.json");

/// Guards against a check that refuses correct files.
#[test]
fn correct_files_are_accepted() {
    let workdir = Workdir::new("check-correct");
    workdir.write("zarqa.json", CONFIGURATION);
    workdir.write("tiers.csv", SHEET);
    workdir.write("sidecar.json", SIDECAR);
    insta::assert_snapshot!(workdir.run(&["check", "zarqa.json", "tiers.csv", "sidecar.json"]));
}

/// Guards against a check that reports only the first faulty file.
#[test]
fn findings_of_all_files_are_printed() {
    let workdir = Workdir::new("check-faulty");
    workdir.write(
        "zarqa.json",
        CONFIGURATION.replace("\"weight\": 8", "\"weight\": 0"),
    );
    workdir.write("tiers.csv", SHEET.replace("late", "lat"));
    workdir.write(
        "sidecar.json",
        SIDECAR.replace("\"role\": \"sidecar\",", ""),
    );
    workdir.write("cut.json", &CONFIGURATION[..100]);
    let files = [
        "check",
        "zarqa.json",
        "tiers.csv",
        "sidecar.json",
        "cut.json",
    ];
    insta::assert_snapshot!(workdir.run(&files));
}

/// Guards against a missing file that counts as correct.
#[test]
fn missing_file_is_a_failure() {
    let workdir = Workdir::new("check-missing");
    workdir.write("present.csv", SHEET);
    let run = workdir.run(&["check", "missing.csv"]);
    assert_eq!(run.code, Some(1));
    assert!(run.stderr.starts_with("tanagerford: missing.csv: "));
}
