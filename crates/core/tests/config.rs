//! Tests of decoding, checking, splitting and indexing the configuration.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tanagerford_core::config::Configuration;
use tanagerford_core::config::active::ActiveConfiguration;
use tanagerford_core::config::check::check;
use tanagerford_core::config::decode::decode;
use tanagerford_core::config::finding::MAX_FINDINGS;
use tanagerford_core::config::section::{
    Section, SectionError, SectionName, SectionUpdate, Sections, digest,
};

const ZARQA: &str = include_str!("../../../docs/examples/zarqa.json");
const DALISAY: &str = include_str!("../../../docs/examples/dalisay.json");

fn zarqa(generation: u64) -> Configuration {
    let configuration = decode(ZARQA.as_bytes()).expect("the example is correct");
    Configuration {
        generation,
        ..configuration
    }
}

fn findings(text: &str) -> String {
    let findings = decode(text.as_bytes()).expect_err("the text is faulty");
    let lines: Vec<String> = findings.list().iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Guards against documented examples that the router refuses.
#[test]
fn examples_of_both_deployments_are_valid() {
    for text in [ZARQA, DALISAY] {
        let configuration = decode(text.as_bytes()).expect("the example is correct");
        assert_eq!(configuration.tiers.len(), 4);
        ActiveConfiguration::new(configuration).expect("all references resolve");
    }
}

/// Guards against stopping at the first finding, and against read errors that suppress the semantic checks.
#[test]
fn all_findings_are_reported_together() {
    let text = r#"{
        "colour": 1,
        "tiers": [
            {"name": "gold", "weight": 0, "reserved_permille": 900, "weight": 2},
            {"name": "gold", "weight": 1, "reserved_permille": 200},
            {"name": "no share", "weight": 1, "reserved_permille": 0}
        ],
        "classes": [
            {"name": "chat", "target": {"tokens": {"first_token_ms": 0, "token_gap_ms": 38}},
             "priority": 0, "longest_wait_ms": 3600001, "max_in_flight": 0},
            {"name": "lookup", "target": {"call": {"total_ms": 5}, "tokens": {}},
             "priority": 256, "longest_wait_ms": 1, "max_in_flight": 1}
        ],
        "workspaces": [
            {"name": "a", "key_sha256": ["sk-secret"], "tier": "silver"},
            {"name": "b", "key_sha256": [
                "0000000000000000000000000000000000000000000000000000000000000000",
                "0000000000000000000000000000000000000000000000000000000000000000"
            ], "tier": "gold"},
            {"name": "b", "key_sha256": [], "tier": "gold"}
        ],
        "models": [{"name": "m", "pool": "engines", "class": "chat", "resumable": "yes"},
                   {"name": "n", "pool": "engines", "class": "chat"}],
        "services": [{"name": "v1", "pool": "engines", "class": "chat", "concurrency": 0, "routes": [
            {"method": "*", "path_prefix": "/", "class": "chat", "repeatable": true},
            {"method": "post", "path_prefix": "orders", "class": "chat", "repeatable": false},
            {"method": "POST", "path_prefix": "/orders", "class": "chat", "repeatable": false}
        ]}]
    }"#;
    insta::assert_snapshot!(findings(text));
}

/// Guards against reporting a reference as unknown only because its target could not be read.
#[test]
fn unreadable_tier_causes_no_findings_for_its_workspaces() {
    let text = ZARQA.replacen("\"weight\": 8", "\"weight\": -8", 1);
    let expected = "/tiers/0/weight: expected an integer of at least 0, found -8";
    assert_eq!(findings(&text), expected);
}

/// Guards against accepting a reference to a tier or class that does not exist.
#[test]
fn unknown_references_are_findings() {
    let text = ZARQA.replacen("\"tier\": \"late\"", "\"tier\": \"lapsed\"", 1);
    let text = text.replacen("\"class\": \"preflight\"", "\"class\": \"preflght\"", 1);
    insta::assert_snapshot!(findings(&text));
}

/// Guards against a file whose findings exhaust memory.
#[test]
fn number_of_findings_is_bounded() {
    let text = format!(r#"{{"tiers": [{}{{}}]}}"#, "{},".repeat(2 * MAX_FINDINGS));
    let findings = decode(text.as_bytes()).expect_err("the text is faulty");
    assert_eq!(findings.list().len(), MAX_FINDINGS);
    assert!(findings.omitted() > 0);
}

/// Guards against nesting that overflows the stack and documents that exceed the frame size.
#[test]
fn deeply_nested_and_oversized_documents_are_refused() {
    assert!(findings(&"[".repeat(100_000)).contains("recursion limit"));
    assert!(findings(&" ".repeat(1_000_000)).starts_with("file: expected at most"));
}

/// Guards against transferring all sections for a change of one workspace, and against losing items when splitting and
/// merging.
#[test]
fn split_marks_only_changed_sections_and_merge_restores_the_configuration() {
    let first = Sections::split(&zarqa(4), None);
    let mut changed = zarqa(5);
    changed.workspaces.reverse();
    changed.workspaces[0].tier = "prompt".into();
    let second = Sections::split(&changed, Some(&first));
    let update = second.changed_since(4);
    let names: Vec<SectionName> = update.sections.iter().map(|section| section.name).collect();
    assert_eq!(
        names,
        [SectionName::of_workspace(&changed.workspaces[0].name)]
    );
    let received = Sections::with_update(Some(&first), &update).expect("the update is complete");
    assert_eq!(received, second);
    changed
        .workspaces
        .sort_by(|left, right| left.name.cmp(&right.name));
    assert_eq!(received.merge().expect("merges"), changed);
}

/// Guards against sections of a faulty peer that combine into a configuration that was never published.
#[test]
fn invalid_updates_are_refused() {
    let complete = Sections::split(&zarqa(4), None).changed_since(0);
    let error = |update: &SectionUpdate| {
        let merged = Sections::with_update(None, update).and_then(|sections| sections.merge());
        *merged.expect_err("the update is faulty").current_context()
    };
    let edited = |edit: fn(&mut Vec<Section>)| {
        let mut update = complete.clone();
        edit(&mut update.sections);
        update.sections.sort_by_key(|section| section.name);
        update.digest = digest(&update.sections);
        error(&update)
    };
    assert_eq!(edited(|s| drop(s.pop())), SectionError::Missing);
    assert_eq!(edited(|s| s.push(s[0].clone())), SectionError::Duplicate);
    assert_eq!(
        edited(|s| s[0].generation = 5),
        SectionError::NewerThanUpdate
    );
    assert_eq!(edited(|s| s[0].json = "{".into()), SectionError::Malformed);
    let misplaced = edited(|s| {
        let full = s
            .iter()
            .position(|section| section.json.contains("tidal-maps"));
        let full = full.expect("the workspace has a bucket");
        s[full].name = SectionName::Workspaces(0);
        s[4].name = SectionName::Workspaces(u8::try_from(full - 4).expect("a bucket"));
    });
    assert_eq!(misplaced, SectionError::WrongBucket);
    let mut changed = complete.clone();
    changed.sections[0].generation = 3;
    assert_eq!(error(&changed), SectionError::Diverged);
}

/// Guards against resolving a key to another workspace and against treating a non-repeatable call as repeatable.
#[test]
fn index_resolves_keys_tiers_and_routes() {
    let active = ActiveConfiguration::new(zarqa(1)).expect("all references resolve");
    let customer = active.customer("tidal-maps").expect("the workspace exists");
    assert_eq!((customer.workspace, customer.tier), ("tidal-maps", 3));
    let call = |method, path| {
        let call = active
            .service_call("plates", method, path)
            .expect("the service exists");
        (call.class.name.as_str(), call.repeatable)
    };
    assert_eq!(call("POST", "/burn/7"), ("plate-burn", false));
    assert_eq!(call("GET", "/ink-curves/k"), ("ink-curve", true));
    assert_eq!(call("GET", "/other"), ("ink-curve", true));
    assert_eq!(call("POST", "/other"), ("ink-curve", false));
    assert!(active.service_call("plate", "GET", "/").is_none());
}

/// Guards against ignoring a reference that cannot be resolved.
#[test]
fn index_refuses_unresolved_references() {
    let mut configuration = zarqa(1);
    configuration.services[0].routes[0].class = "none".into();
    assert!(ActiveConfiguration::new(configuration).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against a panic of the decoder on arbitrary bytes.
    #[test]
    fn decode_never_panics(text in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode(&text);
    }

    /// Guards against a panic of the decoder on a corrupted configuration, and against accepting one that the checks
    /// refuse.
    #[test]
    fn corrupted_configuration_is_refused_or_valid(at in 0..ZARQA.len(), byte in any::<u8>()) {
        let mut text = ZARQA.as_bytes().to_vec();
        text[at] = byte;
        if let Ok(configuration) = decode(&text) {
            prop_assert!(check(&configuration).is_empty());
            prop_assert!(ActiveConfiguration::new(configuration).is_ok());
        }
    }

    /// Guards against a panic on a section with arbitrary text.
    #[test]
    fn arbitrary_section_never_panics(position in 0_usize..68, json in ".{0,200}") {
        let mut update = Sections::split(&zarqa(4), None).changed_since(0);
        update.sections[position].json = json;
        update.digest = digest(&update.sections);
        let _ = Sections::with_update(None, &update).and_then(|sections| sections.merge());
    }
}
