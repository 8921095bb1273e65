//! Helpers shared by the commands.

use std::ffi::OsString;
use std::fs::File;
use std::io::{Read, Write};

use getopts::{Matches, Options};
use tanagerford_core::config::finding::Findings;
use tanagerford_operator::check::{FileFindings, MAX_FILE_BYTES};

use crate::error::Error;

/// Returns the arguments after the program's name.
pub fn arguments() -> Result<Vec<String>, Error> {
    let given = std::env::args_os().skip(1).map(OsString::into_string);
    given.collect::<Result<_, _>>().map_err(|argument| {
        let message = format!("argument is not UTF-8: {}", argument.display());
        Error::usage(message, "")
    })
}

/// Parses the arguments of a command; `--help` and wrong options end it with its usage text.
pub fn parse(
    options: &mut Options,
    arguments: &[String],
    usage: &'static str,
) -> Result<Matches, Error> {
    options.optflag("h", "help", "print the usage text");
    let parsed = options.parse(arguments);
    let matches = parsed.map_err(|fail| Error::usage(fail.to_string(), usage))?;
    if matches.opt_present("help") {
        return Err(Error::Help(usage));
    }
    Ok(matches)
}

/// Parses an option's value as a number.
pub fn number(matches: &Matches, option: &str, usage: &'static str) -> Result<Option<u64>, Error> {
    let value = matches.opt_get(option);
    value.map_err(|_| Error::usage(format!("--{option} takes a number"), usage))
}

/// Reads a file; of a longer one than any check accepts, only as much as makes the checks refuse it.
pub fn read_file(path: &str) -> Result<Vec<u8>, Error> {
    let mut content = Vec::new();
    let limit = u64::try_from(MAX_FILE_BYTES)
        .unwrap_or(u64::MAX)
        .saturating_add(1);
    let read = File::open(path).and_then(|file| file.take(limit).read_to_end(&mut content));
    read.map_err(|error| Error::failed(format!("{path}: {error}")))?;
    Ok(content)
}

/// Prints a line of the command's result.
pub fn print(line: &str) -> Result<(), Error> {
    writeln!(std::io::stdout(), "{line}")?;
    Ok(())
}

/// Ends the command if a file has findings.
pub fn refuse(path: &str, findings: Findings) -> Result<(), Error> {
    if findings.is_empty() {
        return Ok(());
    }
    let name = path.to_owned();
    Err(FileFindings { name, findings }.into())
}
