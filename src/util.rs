//! Helpers shared by the commands.

use std::ffi::OsString;
use std::fs::File;
use std::io::{Read, Write};
use std::str::FromStr;
use std::time::Duration;

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

/// Longest time for a request to a process's operators' listener.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the only free argument.
pub fn single(matches: &Matches, name: &str, usage: &'static str) -> Result<String, Error> {
    match matches.free.as_slice() {
        [argument] => Ok(argument.clone()),
        _ => Err(Error::usage(format!("expected one {name}"), usage)),
    }
}

/// Returns the value of an option that must be given.
pub fn required(matches: &Matches, option: &str, usage: &'static str) -> Result<String, Error> {
    let value = matches.opt_str(option);
    value.ok_or_else(|| Error::usage(format!("--{option} is missing"), usage))
}

/// Returns the value of a numeric option.
pub fn number<T: FromStr>(
    matches: &Matches,
    option: &str,
    usage: &'static str,
) -> Result<Option<T>, Error> {
    let value = matches.opt_str(option).map(|text| text.parse());
    let wrong = |_| Error::usage(format!("--{option} takes a number"), usage);
    value.transpose().map_err(wrong)
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

/// Sends GET to the operators' listener at `address`.
pub fn http_get(address: &str, path: &str) -> Result<String, Error> {
    let answer = operator_agent()
        .get(format!("http://{address}{path}"))
        .call();
    read_answer(answer)
}

/// Sends POST to the operators' listener at `address`; a refusal fails with the text of the answer.
pub fn http_post(address: &str, path: &str, body: &str) -> Result<String, Error> {
    let answer = operator_agent()
        .post(format!("http://{address}{path}"))
        .send(body);
    read_answer(answer)
}

fn operator_agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(OPERATOR_TIMEOUT))
        .build()
        .new_agent()
}

fn read_answer(
    answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<String, Error> {
    let mut answer = answer?;
    let text = answer.body_mut().read_to_string()?;
    if answer.status().is_success() {
        Ok(text)
    } else {
        Err(Error::failed(format!(
            "{}: {}",
            answer.status(),
            text.trim_end()
        )))
    }
}
