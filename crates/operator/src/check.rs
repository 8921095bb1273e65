//! Checks of the files that operators write: settings, configurations and tier sheets.
//!
//! A check collects the findings of all files with their locations. It also checks tier sheets and the settings of
//! sidecars against the configuration if exactly one configuration is among the files.

pub mod settings;
pub mod sheet;

use std::fmt;

use tanagerford_core::config::Configuration;
use tanagerford_core::config::decode::decode;
use tanagerford_core::config::document::{MAX_DOCUMENT_BYTES, Node};
use tanagerford_core::config::finding::{Finding, Findings, Location};

use self::settings::Settings;
use self::sheet::Sheet;

/// Size limit of a file in bytes; every check refuses a larger file regardless of its content.
pub const MAX_FILE_BYTES: usize = if sheet::MAX_SHEET_BYTES > MAX_DOCUMENT_BYTES {
    sheet::MAX_SHEET_BYTES
} else {
    MAX_DOCUMENT_BYTES
};

/// Kind of a file, as [`kind_of`] detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// JSON document with the settings of a process.
    Settings,
    /// JSON document with the configuration of the fleet.
    Configuration,
    /// CSV file that assigns workspaces to tiers.
    Sheet,
}

/// File to check.
#[derive(Debug, Clone, Copy)]
pub struct File<'a> {
    /// Path or name that findings are reported under; its suffix decides whether the file is a tier sheet.
    pub name: &'a str,
    /// Whole content; a check reports invalid encodings as findings.
    pub content: &'a [u8],
}

/// Findings of one file. Its `Display` form has one line for each finding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileFindings {
    /// Path or name that the file was given under.
    pub name: String,
    /// Empty if the file is correct.
    pub findings: Findings,
}

impl fmt::Display for FileKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Settings => "settings",
            Self::Configuration => "configuration",
            Self::Sheet => "tier sheet",
        })
    }
}

impl fmt::Display for FileFindings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in self.findings.list() {
            writeln!(formatter, "{}", format_finding(&self.name, finding))?;
        }
        match self.findings.omitted() {
            0 => Ok(()),
            omitted => writeln!(formatter, "{}: {omitted} more findings", self.name),
        }
    }
}

/// Formats a finding in the form `FILE:LINE: ...` or `FILE: POINTER: ...`.
fn format_finding(name: &str, finding: &Finding) -> String {
    let (expected, found) = (&finding.expected, &finding.found);
    match &finding.location {
        Location::File => format!("{name}: expected {expected}, found {found}"),
        Location::Line(line) => format!("{name}:{line}: expected {expected}, found {found}"),
        Location::Pointer(_) => format!("{name}: {finding}"),
    }
}

/// Decoded content of a file; `None` if it cannot be decoded.
enum Content {
    Settings(Option<Box<Settings>>),
    Configuration(Option<Configuration>),
    Sheet(Sheet),
}

/// Returns the kind of a file: a tier sheet if its name ends with `.csv` in any case, settings if it is a JSON object
/// with the field `process_id`, else a configuration.
///
/// ```
/// use tanagerford_operator::check::{File, FileKind, kind_of};
///
/// let file = File { name: "entry.json", content: br#"{"process_id": "e1"}"# };
/// assert_eq!(kind_of(file), FileKind::Settings);
/// ```
#[must_use]
pub fn kind_of(file: File<'_>) -> FileKind {
    let is_csv = file
        .name
        .rsplit_once('.')
        .is_some_and(|(_, suffix)| suffix.eq_ignore_ascii_case("csv"));
    if is_csv {
        return FileKind::Sheet;
    }
    match Node::parse(file.content) {
        Ok(Node::Object(fields)) if fields.iter().any(|(name, _)| name == "process_id") => {
            FileKind::Settings
        }
        _ => FileKind::Configuration,
    }
}

/// Checks files and returns the findings of each in the order of the files.
///
/// ```
/// use tanagerford_operator::check::{File, check};
///
/// let sheet = File { name: "tiers.csv", content: b"workspace,tier\npress,late\npress,late\n" };
/// let findings = check(&[sheet]);
/// assert_eq!(
///     findings[0].to_string(),
///     "tiers.csv:3: expected a workspace other than that of line 2, found \"press\"\n"
/// );
/// ```
#[must_use]
pub fn check(files: &[File<'_>]) -> Vec<FileFindings> {
    let mut decoded: Vec<(Content, Findings)> =
        files.iter().map(|file| decode_file(*file)).collect();
    let configuration = single_configuration(&decoded).cloned();
    if let Some(configuration) = configuration {
        for (content, findings) in &mut decoded {
            check_against(content, &configuration, findings);
        }
    }
    let results = files.iter().zip(decoded);
    let findings = results.map(|(file, (_, findings))| FileFindings {
        name: file.name.to_owned(),
        findings,
    });
    findings.collect()
}

fn decode_file(file: File<'_>) -> (Content, Findings) {
    match kind_of(file) {
        FileKind::Settings => {
            let (settings, findings) = value_and_findings(settings::decode(file.content));
            (Content::Settings(settings.map(Box::new)), findings)
        }
        FileKind::Configuration => {
            let (configuration, findings) = value_and_findings(decode(file.content));
            (Content::Configuration(configuration), findings)
        }
        FileKind::Sheet => {
            let (sheet, findings) = sheet::read(file.content);
            (Content::Sheet(sheet), findings)
        }
    }
}

fn value_and_findings<T>(decoded: Result<T, Findings>) -> (Option<T>, Findings) {
    match decoded {
        Ok(value) => (Some(value), Findings::default()),
        Err(findings) => (None, findings),
    }
}

/// Returns the configuration if exactly one file is a configuration and it can be decoded.
fn single_configuration(decoded: &[(Content, Findings)]) -> Option<&Configuration> {
    let mut configurations = decoded.iter().filter_map(|(content, _)| match content {
        Content::Configuration(configuration) => Some(configuration),
        _ => None,
    });
    let first = configurations.next()?;
    if configurations.next().is_some() {
        return None;
    }
    first.as_ref()
}

fn check_against(content: &Content, configuration: &Configuration, findings: &mut Findings) {
    match content {
        Content::Configuration(_) | Content::Settings(None) => {}
        Content::Settings(Some(settings)) => settings.check_against(configuration, findings),
        Content::Sheet(sheet) => sheet.check_against(configuration, findings),
    }
}
