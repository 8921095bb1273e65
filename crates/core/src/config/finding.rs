//! Findings of the checks: location, expected value and found value.

use std::fmt;

/// Maximum number of findings that are stored; further ones are only counted, so that a malicious file cannot exhaust
/// memory.
pub const MAX_FINDINGS: usize = 1_000;

/// Length to which a found value is truncated.
const MAX_FOUND_CHARS: usize = 80;

/// Location of a finding in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Location {
    /// The whole file, for findings that precede parsing.
    File,
    /// Line number, counted from 1.
    Line(u64),
    /// JSON pointer (RFC 6901); empty for the whole document.
    Pointer(String),
}

/// Error in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Location of the unexpected or missing value.
    pub location: Location,
    /// Description of a valid value; follows "expected" in the message.
    pub expected: String,
    /// Description of the value in the file; follows "found" in the message.
    pub found: String,
}

/// List of findings in the order in which they were added, at most [`MAX_FINDINGS`].
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
    /// Adds a finding, or only counts it if the list is full.
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

    /// Returns the stored findings.
    #[must_use]
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Returns the number of findings that were not stored because of [`MAX_FINDINGS`].
    #[must_use]
    pub fn omitted(&self) -> usize {
        self.omitted
    }

    /// Returns whether there are no findings.
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

/// Quotes a value for a finding; truncates a value of more than 80 characters.
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
