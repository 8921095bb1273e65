//! Error type of the command line.

use std::io::Write;
use std::process::ExitCode;

use tanagerford_operator::check::FileFindings;

/// Reason why a command ended without doing its work.
#[derive(Debug)]
pub enum Error {
    /// The user asked for the usage text.
    Help(&'static str),
    /// The arguments are invalid.
    Usage {
        message: String,
        usage: &'static str,
    },
    /// At least one file has findings.
    Findings(Vec<FileFindings>),
    /// The command was refused, or it failed.
    Failed(String),
}

impl Error {
    /// Creates the error for invalid arguments of the command with this usage text.
    pub fn usage(message: impl Into<String>, usage: &'static str) -> Self {
        Self::Usage {
            message: message.into(),
            usage,
        }
    }

    pub fn failed(message: impl Into<String>) -> Self {
        Self::Failed(message.into())
    }

    /// Prints the error and returns the exit code of the process.
    pub fn report(&self) -> ExitCode {
        // Write errors are ignored: without an open output only the exit code can report the outcome.
        match self {
            Self::Help(usage) => {
                let _ = write!(std::io::stdout(), "{usage}");
                ExitCode::SUCCESS
            }
            Self::Usage { message, usage } => {
                let _ = write!(std::io::stderr(), "tanagerford: {message}\n\n{usage}");
                ExitCode::from(2)
            }
            Self::Findings(files) => {
                let text: String = files.iter().map(ToString::to_string).collect();
                let summary = "tanagerford: refused because of these findings";
                let _ = writeln!(std::io::stderr(), "{text}{summary}");
                ExitCode::FAILURE
            }
            Self::Failed(message) => {
                let _ = writeln!(std::io::stderr(), "tanagerford: {message}");
                ExitCode::FAILURE
            }
        }
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

impl From<ureq::Error> for Error {
    fn from(error: ureq::Error) -> Self {
        Self::Failed(format!("request failed: {error}"))
    }
}

impl<C: std::error::Error + Send + Sync + 'static> From<error_stack::Report<C>> for Error {
    fn from(report: error_stack::Report<C>) -> Self {
        Self::Failed(format!("{report:#}"))
    }
}

impl From<FileFindings> for Error {
    fn from(findings: FileFindings) -> Self {
        Self::Findings(vec![findings])
    }
}
