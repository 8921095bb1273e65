//! Tests of the checks of operators' files.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tanagerford_core::config::decode::decode;
use tanagerford_core::config::finding::Findings;
use tanagerford_operator::check::settings::{BackendKind, Role};
use tanagerford_operator::check::sheet::{MAX_SHEET_BYTES, Sheet, read};
use tanagerford_operator::check::{File, FileKind, check, kind_of, settings};

const ZARQA: &[u8] = include_bytes!("../../../docs/examples/zarqa.json");
const ZARQA_SHEET: &[u8] = include_bytes!("../../../docs/examples/zarqa-tiers.csv");
const DALISAY: &[u8] = include_bytes!("../../../docs/examples/dalisay.json");
const DALISAY_SHEET: &[u8] = include_bytes!("../../../docs/examples/dalisay-tiers.csv");
const ENTRY: &[u8] = include_bytes!("../../../docs/examples/entry.json");
const SIDECAR: &str = include_str!("../../../docs/examples/sidecar.json");

fn report(files: &[(&str, &[u8])]) -> String {
    let files: Vec<File> = files
        .iter()
        .map(|(name, content)| File { name, content })
        .collect();
    check(&files).iter().map(ToString::to_string).collect()
}

/// Guards against documented example files that fail the check.
#[test]
fn examples_have_no_findings() {
    let zarqa = [
        ("zarqa.json", ZARQA),
        ("zarqa-tiers.csv", ZARQA_SHEET),
        ("entry.json", ENTRY),
        ("sidecar.json", SIDECAR.as_bytes()),
    ];
    assert_eq!(report(&zarqa), "");
    let dalisay = [
        ("dalisay.json", DALISAY),
        ("dalisay-tiers.csv", DALISAY_SHEET),
    ];
    assert_eq!(report(&dalisay), "");
    let sidecar = settings::decode(SIDECAR.as_bytes()).expect("the example is correct");
    let Role::Sidecar(_, backend) = &sidecar.role else {
        panic!("the example is a sidecar")
    };
    assert!(matches!(&backend.kind, BackendKind::Engine { models } if models.len() == 2));
}

/// Guards against a check that stops at the first finding, reports wrong lines after empty ones, or misses a mistake
/// that is common in exports of spreadsheets.
#[test]
fn all_findings_of_a_sheet_are_reported_with_their_lines() {
    let sheet = concat!(
        "workspace;tier\n",
        "harbour-daily,prepaid\n",
        "no-such-workspace,prompt\n",
        "\n",
        "old-town-print , lapsed\n",
        "harbour-daily,prompt\n",
        "kestrel-books\n",
        "kestrel-books,late,2\n",
        ",late\n",
        "\"two\nlines\",late\n",
        "union-handbills,overdue\n",
    );
    let mut sheet = sheet.as_bytes().to_vec();
    sheet.extend_from_slice(b"caf\xe9,late\n");
    insta::assert_snapshot!(report(&[("tiers.csv", &sheet), ("zarqa.json", ZARQA)]));
}

/// Guards against refusing the export of a spreadsheet, which has a byte order mark and Windows line ends.
#[test]
fn spreadsheet_export_is_accepted() {
    let (sheet, findings) = read(b"\xef\xbb\xbfworkspace,tier\r\nkestrel-books, late\r\n");
    assert!(findings.is_empty());
    assert_eq!(sheet.tier("kestrel-books"), Some("late"));
}

/// Guards against a truncated sheet that leaves the missing workspaces in their previous tiers.
#[test]
fn incomplete_sheet_names_the_missing_workspaces() {
    let configuration = decode(ZARQA).expect("the example is correct");
    let (sheet, _) = read(b"workspace,tier\nkestrel-books,late\n");
    let mut findings = Findings::default();
    sheet.check_complete(&configuration, &mut findings);
    insta::assert_snapshot!(findings.list()[0]);
    let (applied, changed) = sheet.apply(&configuration);
    assert_eq!(changed, 1);
    assert_eq!(
        applied
            .workspaces
            .iter()
            .filter(|w| w.tier == "late")
            .count(),
        3
    );
}

/// Guards against accepting an empty or oversized sheet.
#[test]
fn empty_and_oversized_sheets_are_findings() {
    assert_eq!(read(b"").1.list().len(), 1);
    let (sheet, findings) = read(&vec![b'a'; MAX_SHEET_BYTES + 1]);
    assert_eq!((sheet, findings.list().len()), (Sheet::default(), 1));
}

/// Guards against a process that announces the wildcard address, at which no other process can reach it.
#[test]
fn links_and_gossip_need_an_address_that_peers_can_reach() {
    for listener in ["\"link\": \"10.0.1.27", "\"gossip\": \"10.0.1.27"] {
        for unspecified in ["0.0.0.0", "[::]"] {
            let name = listener.rsplit_once("10.").map_or("", |(name, _)| name);
            let changed = SIDECAR.replace(listener, &format!("{name}{unspecified}"));
            let findings =
                settings::decode(changed.as_bytes()).expect_err("the address is refused");
            let [finding] = findings.list() else {
                panic!("one finding is expected: {findings:?}")
            };
            assert_eq!(
                finding.expected,
                "an address that other processes can reach"
            );
        }
    }
}

/// Guards against a check of settings that stops at the first finding, prints the fleet key, or lets the operators'
/// listener share the callers' address.
#[test]
fn all_findings_of_settings_are_reported() {
    let entry = br#"{
        "process_id": "entry 1", "region": "west", "fleet_key": "short-secret",
        "platform": {"kv_endpoints": ["https://10.0.0.5:2379", "http://kv.example:2379"], "vmlist": ""},
        "seeds": ["10.0.1.20"], "role": "entry", "colour": 1,
        "listen": {"callers": "10.0.1.10:80", "link": "10.0.1.10:7101", "operators": "10.0.1.10:80", "gossip": "10.0.1.10:7102"}
    }"#;
    let sidecar = br#"{
        "process_id": "s1", "region": "west", "availability_zone": "a", "role": "sidecar",
        "fleet_key": "0123456789abcdef0123456789abcdef", "platform": {"kv_endpoints": []}, "seeds": [],
        "listen": {"link": "10.0.1.27:7101", "operators": "10.0.1.27:7100"},
        "backend": {"address": "127.0.0.1:9000", "kind": "engine", "pool": "prepress"}
    }"#;
    let unknown_role = br#"{"process_id": "x", "role": "router", "listen": {}, "backend": {}}"#;
    let files: [(&str, &[u8]); 3] = [
        ("entry.json", entry),
        ("sidecar.json", sidecar),
        ("router.json", unknown_role),
    ];
    let report = report(&files);
    assert!(!report.contains("short-secret"));
    insta::assert_snapshot!(report);
}

/// Guards against a sidecar whose pool or models are not in the configuration; it would never receive work.
#[test]
fn sidecar_is_checked_against_the_configuration() {
    let wrong_model = SIDECAR.replace("proof-notes", "proof-note");
    let wrong_pool = SIDECAR.replace("\"prepress\"", "\"plate-orders\"");
    let mut service: serde_json::Value = serde_json::from_str(SIDECAR).expect("JSON");
    service["backend"] =
        serde_json::json!({"address": "127.0.0.1:9000", "kind": "service", "pool": "plates"});
    let service = service.to_string();
    let files = [
        ("zarqa.json", ZARQA),
        ("model.json", wrong_model.as_bytes()),
        ("pool.json", wrong_pool.as_bytes()),
        ("service.json", service.as_bytes()),
    ];
    insta::assert_snapshot!(report(&files));
}

/// Guards against a file that is checked as one of another kind.
#[test]
fn file_kinds_are_detected() {
    let kind = |name, content| kind_of(File { name, content });
    assert_eq!(kind("a.CSV", b"{}"), FileKind::Sheet);
    assert_eq!(kind("a.json", ENTRY), FileKind::Settings);
    assert_eq!(kind("a.json", ZARQA), FileKind::Configuration);
    assert_eq!(kind("a.json", b"{"), FileKind::Configuration);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against decoders that panic on arbitrary bytes.
    #[test]
    fn decoders_never_panic(text in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = read(&text);
        let _ = settings::decode(&text);
    }

    /// Guards against a sheet with more rows than lines, and against a panic on any text in a sheet.
    #[test]
    fn sheet_keeps_at_most_one_row_for_each_line(rows in "([a-z\",; \r\n]{0,12}\n){0,20}") {
        let text = format!("workspace,tier\n{rows}");
        let (sheet, _) = read(text.as_bytes());
        prop_assert!(sheet.len() <= rows.lines().count() + rows.matches('\r').count());
    }

    /// Guards against a decoder that panics on settings with one damaged byte.
    #[test]
    fn damaged_settings_never_panic(at in 0..SIDECAR.len(), byte in any::<u8>()) {
        let mut text = SIDECAR.as_bytes().to_vec();
        text[at] = byte;
        let _ = settings::decode(&text);
    }
}
