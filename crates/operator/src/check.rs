//! Checks of the files that operators give to the router: settings, configurations and tier sheets.
//!
//! All findings of all files are collected with their location. A sheet and the settings of a sidecar are also checked
//! against the configuration if exactly one is among the files.

pub mod settings;
pub mod sheet;

use std::fmt;

use tanagerford_core::config::Configuration;
use tanagerford_core::config::decode::decode;
use tanagerford_core::config::document::{MAX_DOCUMENT_BYTES, Node};
use tanagerford_core::config::finding::{Finding, Findings, Location};

use self::settings::Settings;
use self::sheet::Sheet;

/// Longest file that is worth reading, in bytes; a longer one is refused whatever it holds.
pub const MAX_FILE_BYTES: usize = if sheet::MAX_SHEET_BYTES > MAX_DOCUMENT_BYTES {
    sheet::MAX_SHEET_BYTES
} else {
    MAX_DOCUMENT_BYTES
};

/// Kind of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Settings of a process.
    Settings,
    /// Configuration.
    Configuration,
    /// Tier sheet.
    Sheet,
}

/// File with its name and content.
#[derive(Debug, Clone, Copy)]
pub struct File<'a> {
    /// Name, as findings repeat it.
    pub name: &'a str,
    /// Content.
    pub content: &'a [u8],
}

/// Findings of one file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileFindings {
    /// Name of the file.
    pub name: String,
    /// Findings.
    pub findings: Findings,
}

impl fmt::Display for Kind {
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
            writeln!(formatter, "{}", at_file(&self.name, finding))?;
        }
        match self.findings.omitted() {
            0 => Ok(()),
            omitted => writeln!(formatter, "{}: {omitted} more findings", self.name),
        }
    }
}

/// Writes a finding in the form `FILE:LINE: ...` or `FILE: POINTER: ...`.
fn at_file(name: &str, finding: &Finding) -> String {
    let (expected, found) = (&finding.expected, &finding.found);
    match &finding.location {
        Location::File => format!("{name}: expected {expected}, found {found}"),
        Location::Line(line) => format!("{name}:{line}: expected {expected}, found {found}"),
        Location::Pointer(_) => format!("{name}: {finding}"),
    }
}

/// Content of a file as far as it could be read.
enum Content {
    Settings(Option<Box<Settings>>),
    Configuration(Option<Configuration>),
    Sheet(Sheet),
}

/// Returns the kind of a file: a sheet by its name's end `.csv`, else settings if it has the field `process_id`.
///
/// ```
/// use tanagerford_operator::check::{File, Kind, kind_of};
///
/// let file = File { name: "entry.json", content: br#"{"process_id": "e1"}"# };
/// assert_eq!(kind_of(file), Kind::Settings);
/// ```
#[must_use]
pub fn kind_of(file: File<'_>) -> Kind {
    let is_csv = file
        .name
        .rsplit_once('.')
        .is_some_and(|(_, end)| end.eq_ignore_ascii_case("csv"));
    if is_csv {
        return Kind::Sheet;
    }
    match Node::parse(file.content) {
        Ok(Node::Object(fields)) if fields.iter().any(|(name, _)| name == "process_id") => {
            Kind::Settings
        }
        _ => Kind::Configuration,
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
    let mut read: Vec<(Content, Findings)> = files.iter().map(|file| read_file(*file)).collect();
    let configuration = only_configuration(&read).cloned();
    if let Some(configuration) = configuration {
        for (content, findings) in &mut read {
            check_against(content, &configuration, findings);
        }
    }
    let named = files.iter().zip(read);
    let findings = named.map(|(file, (_, findings))| FileFindings {
        name: file.name.to_owned(),
        findings,
    });
    findings.collect()
}

fn read_file(file: File<'_>) -> (Content, Findings) {
    match kind_of(file) {
        Kind::Settings => {
            let (settings, findings) = split(settings::decode(file.content));
            (Content::Settings(settings.map(Box::new)), findings)
        }
        Kind::Configuration => {
            let (configuration, findings) = split(decode(file.content));
            (Content::Configuration(configuration), findings)
        }
        Kind::Sheet => {
            let (sheet, findings) = sheet::read(file.content);
            (Content::Sheet(sheet), findings)
        }
    }
}

fn split<T>(decoded: Result<T, Findings>) -> (Option<T>, Findings) {
    match decoded {
        Ok(value) => (Some(value), Findings::default()),
        Err(findings) => (None, findings),
    }
}

fn only_configuration(read: &[(Content, Findings)]) -> Option<&Configuration> {
    let mut configurations = read.iter().filter_map(|(content, _)| match content {
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
