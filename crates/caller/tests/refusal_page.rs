//! Checks the documentation of refusals against the codes in the source.

use std::collections::BTreeSet;

use tanagerford_caller::refusal::{Code, Refusal};

const PAGE: &str = include_str!("../../../docs/refusals.md");

/// Outcomes that a heading may contain; "not given" marks a code that is never sent to a caller.
const OUTCOMES: [&str; 4] = ["not-run", "unknown", "not-run or unknown", "not given"];

/// Parses a heading of the form "### `CODE`: status STATUS, outcome OUTCOME".
fn code_and_status(line: &str) -> Option<(&str, &str)> {
    let (code, rest) = line.strip_prefix("### `")?.split_once("`: status ")?;
    let (status, outcome) = rest.split_once(", outcome ")?;
    OUTCOMES.contains(&outcome).then_some((code, status))
}

fn status_of(code: Code) -> String {
    let reply = Refusal::new(code, "").to_reply("request");
    reply.status().as_u16().to_string()
}

/// Guards against documentation that lacks a code, lists a removed one, or gives the wrong HTTP status.
#[test]
fn page_documents_every_code_with_its_status() {
    let headings = PAGE.lines().filter(|line| line.starts_with("###"));
    let on_page: Vec<_> = headings
        .map(|line| code_and_status(line).unwrap_or_else(|| panic!("malformed heading: {line}")))
        .map(|(code, status)| (code.to_owned(), status.to_owned()))
        .collect();
    let sections: BTreeSet<_> = on_page.iter().cloned().collect();
    let in_code: BTreeSet<_> = Code::ALL
        .iter()
        .map(|code| (code.as_str().to_owned(), status_of(*code)))
        .collect();
    assert_eq!(sections, in_code);
    assert_eq!(on_page.len(), in_code.len(), "a code is documented twice");
}
