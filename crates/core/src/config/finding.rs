//! Findings of the checks: where, what was expected, and what was found.

use std::fmt;

/// Most findings that are kept; the rest is only counted, so that a hostile file cannot fill memory with findings.
pub const MAX_FINDINGS: usize = 1_000;

/// Longest part of a found value that a finding repeats, in characters.
const MAX_FOUND_CHARS: usize = 80;

/// Place of a finding inside a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Location {
    /// The file as a whole.
    File,
    /// Line, counted from 1.
    Line(u64),
    /// JSON pointer (RFC 6901); empty for the whole document.
    Pointer(String),
}

/// One fault of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where.
    pub location: Location,
    /// What would have been right.
    pub expected: String,
    /// What is there instead.
    pub found: String,
}

/// Findings in the order of their discovery, at most [`MAX_FINDINGS`].
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Findings {
    list: Vec<Finding>,
    omitted: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File => formatter.write_str("file"),
            Self::Line(line) => write!(formatter, "line {line}"),
            Self::Pointer(pointer) if pointer.is_empty() => formatter.write_str("document"),
            Self::Pointer(pointer) => formatter.write_str(pointer),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (location, expected, found) = (&self.location, &self.expected, &self.found);
        write!(formatter, "{location}: expected {expected}, found {found}")
    }
}

impl Findings {
    /// Adds a finding.
    ///
    /// ```
    /// use tanagerford_core::config::finding::{Findings, Location};
    ///
    /// let mut findings = Findings::default();
    /// findings.add(Location::Line(3), "a known tier", "\"gold\"");
    /// assert_eq!(findings.list()[0].to_string(), "line 3: expected a known tier, found \"gold\"");
    /// ```
    pub fn add(
        &mut self,
        location: Location,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) {
        if self.list.len() >= MAX_FINDINGS {
            self.omitted += 1;
            return;
        }
        self.list.push(Finding {
            location,
            expected: expected.into(),
            found: found.into(),
        });
    }

    /// Adds a finding at a JSON pointer.
    pub fn add_at(&mut self, pointer: &str, expected: impl Into<String>, found: impl Into<String>) {
        self.add(Location::Pointer(pointer.to_owned()), expected, found);
    }

    /// Returns the findings kept.
    #[must_use]
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Returns the count of findings beyond [`MAX_FINDINGS`].
    #[must_use]
    pub fn omitted(&self) -> usize {
        self.omitted
    }

    /// Tells whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Adds all findings of `other`.
    pub fn append(&mut self, other: Findings) {
        self.omitted += other.omitted;
        for finding in other.list {
            self.add(finding.location, finding.expected, finding.found);
        }
    }
}

/// Quotes a value for a finding and shortens a long one.
///
/// ```
/// use tanagerford_core::config::finding::quote;
///
/// assert_eq!(quote("gold"), "\"gold\"");
/// ```
#[must_use]
pub fn quote(value: &str) -> String {
    let mut shown: String = value.chars().take(MAX_FOUND_CHARS).collect();
    if shown.len() < value.len() {
        shown.push('…');
    }
    format!("{shown:?}")
}
