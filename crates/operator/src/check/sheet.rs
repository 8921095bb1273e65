//! Tier sheet: a CSV file with the columns `workspace` and `tier` and one row for each workspace.

use std::collections::{BTreeMap, BTreeSet};

use csv::{ByteRecord, ReaderBuilder, Trim};
use tanagerford_core::config::Configuration;
use tanagerford_core::config::finding::{Findings, Location, quote};

/// Size limit of a sheet in bytes. A sheet of 1,100 workspaces has less than 100 KB.
pub const MAX_SHEET_BYTES: usize = 1 << 20;

/// Byte order mark that spreadsheets write before UTF-8 text.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

const HEADER: [&str; 2] = ["workspace", "tier"];

/// Upper bound on the missing workspaces that a finding lists by name.
const MAX_LISTED_WORKSPACES: usize = 10;

/// Valid rows of a sheet, at most one for each workspace.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Sheet {
    rows: BTreeMap<String, Row>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Row {
    line: u64,
    tier: String,
}

/// Reads the valid rows of a sheet and returns them with the findings that need no configuration.
///
/// ```
/// use tanagerford_operator::check::sheet::read;
///
/// let (sheet, findings) = read(b"workspace,tier\npress,late\n");
/// assert!(findings.is_empty());
/// assert_eq!(sheet.tier("press"), Some("late"));
/// ```
#[must_use]
pub fn read(text: &[u8]) -> (Sheet, Findings) {
    let mut sheet = Sheet::default();
    let mut findings = Findings::default();
    if text.len() > MAX_SHEET_BYTES {
        let expected = format!("at most {MAX_SHEET_BYTES} bytes");
        findings.add(Location::File, expected, format!("{} bytes", text.len()));
        return (sheet, findings);
    }
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    let mut builder = ReaderBuilder::new();
    builder.has_headers(false).flexible(true).trim(Trim::All);
    let mut reader = builder.from_reader(text);
    let mut record = ByteRecord::new();
    let mut lines = LineCounter {
        text,
        position: 0,
        line: 1,
    };
    let mut is_header = true;
    loop {
        match reader.read_byte_record(&mut record) {
            Ok(true) => {}
            Ok(false) => break,
            Err(error) => {
                findings.add(Location::File, "CSV text", error.to_string());
                break;
            }
        }
        let begins_at = record.position().map_or(0, csv::Position::byte);
        let line = lines.line_at(usize::try_from(begins_at).unwrap_or(usize::MAX));
        if is_header {
            check_header(line, &record, &mut findings);
            is_header = false;
        } else {
            sheet.add(line, &record, &mut findings);
        }
    }
    if is_header {
        findings.add(
            Location::Line(1),
            "the columns workspace,tier",
            "an empty file",
        );
    }
    (sheet, findings)
}

/// Counter of lines. The line that the CSV reader reports for a record does not count empty lines skipped before it.
struct LineCounter<'a> {
    text: &'a [u8],
    position: usize,
    line: u64,
}

impl LineCounter<'_> {
    /// Returns the line of the first row at or after the byte `begins_at`, which must not decrease from call to call.
    fn line_at(&mut self, begins_at: usize) -> u64 {
        while let Some(byte) = self.text.get(self.position) {
            let is_line_end = matches!(byte, b'\r' | b'\n');
            if self.position >= begins_at && !is_line_end {
                break;
            }
            self.line += u64::from(*byte == b'\n');
            self.position += 1;
        }
        self.line
    }
}

fn check_header(line: u64, record: &ByteRecord, findings: &mut Findings) {
    let is_header = record.iter().eq(HEADER.iter().map(|name| name.as_bytes()));
    if !is_header {
        let found = quote(&String::from_utf8_lossy(&joined(record)));
        findings.add(Location::Line(line), "the columns workspace,tier", found);
    }
}

fn joined(record: &ByteRecord) -> Vec<u8> {
    record.iter().collect::<Vec<&[u8]>>().join(&b',')
}

impl Sheet {
    /// Returns the tier of a workspace; `None` if it has no valid row.
    #[must_use]
    pub fn tier(&self, workspace: &str) -> Option<&str> {
        self.rows.get(workspace).map(|row| row.tier.as_str())
    }

    /// Returns the number of valid rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the sheet has no valid row.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn add(&mut self, line: u64, record: &ByteRecord, findings: &mut Findings) {
        let location = Location::Line(line);
        if record.len() != HEADER.len() {
            let found = format!("{} columns", record.len());
            findings.add(location, "2 columns", found);
            return;
        }
        let fields = (
            std::str::from_utf8(&record[0]),
            std::str::from_utf8(&record[1]),
        );
        let (Ok(workspace), Ok(tier)) = fields else {
            findings.add(location, "UTF-8 text", "other bytes");
            return;
        };
        if workspace.is_empty() || tier.is_empty() {
            findings.add(location, "a workspace and a tier", "an empty column");
            return;
        }
        if let Some(first) = self.rows.get(workspace) {
            let expected = format!("a workspace other than that of line {}", first.line);
            findings.add(location, expected, quote(workspace));
            return;
        }
        let row = Row {
            line,
            tier: tier.to_owned(),
        };
        self.rows.insert(workspace.to_owned(), row);
    }

    /// Checks that each row names a workspace and a tier of the configuration.
    pub fn check_against(&self, configuration: &Configuration, findings: &mut Findings) {
        let known: BTreeSet<&str> = configuration
            .workspaces
            .iter()
            .map(|workspace| workspace.name.as_str())
            .collect();
        let mut rows: Vec<(&String, &Row)> = self.rows.iter().collect();
        rows.sort_by_key(|(_, row)| row.line);
        for (workspace, row) in rows {
            if !known.contains(workspace.as_str()) {
                let expected = "a workspace of the configuration";
                findings.add(Location::Line(row.line), expected, quote(workspace));
            }
            if configuration.tier_id(&row.tier).is_none() {
                let names: Vec<&str> = configuration
                    .tiers
                    .iter()
                    .map(|tier| tier.name.as_str())
                    .collect();
                let expected = format!("one of the tiers {}", names.join(", "));
                findings.add(Location::Line(row.line), expected, quote(&row.tier));
            }
        }
    }

    /// Checks that each workspace of the configuration has a row, so that a truncated sheet is refused.
    pub fn check_complete(&self, configuration: &Configuration, findings: &mut Findings) {
        let names = configuration
            .workspaces
            .iter()
            .map(|workspace| workspace.name.as_str());
        let missing: Vec<&str> = names
            .filter(|name| !self.rows.contains_key(*name))
            .collect();
        if missing.is_empty() {
            return;
        }
        let listed = missing[..missing.len().min(MAX_LISTED_WORKSPACES)].join(", ");
        let found = format!("{} without a row: {listed}", missing.len());
        findings.add(Location::File, "a row for each workspace", found);
    }

    /// Returns the configuration with the tiers of the sheet, and the number of workspaces whose tier changes.
    ///
    /// Rows of unknown workspaces are ignored; [`check_against`](Self::check_against) reports them.
    #[must_use]
    pub fn apply(&self, configuration: &Configuration) -> (Configuration, usize) {
        let mut applied = configuration.clone();
        let mut changed = 0;
        for workspace in &mut applied.workspaces {
            let Some(tier) = self.tier(&workspace.name) else {
                continue;
            };
            if workspace.tier != tier {
                tier.clone_into(&mut workspace.tier);
                changed += 1;
            }
        }
        (applied, changed)
    }
}
