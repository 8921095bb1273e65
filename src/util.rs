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

/// Timeout of one request to the operators' listener of a process.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the arguments after the program's name.
pub fn arguments() -> Result<Vec<String>, Error> {
    let arguments = std::env::args_os().skip(1).map(OsString::into_string);
    arguments.collect::<Result<_, _>>().map_err(|argument| {
        let message = format!("argument is not UTF-8: {}", argument.display());
        Error::usage(message, "")
    })
}

/// Parses the arguments of a command. `--help` and invalid options are returned as errors that carry the usage text.
pub fn parse_options(
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

/// Returns the positional argument of a command that takes exactly one.
pub fn single_argument(
    matches: &Matches,
    name: &str,
    usage: &'static str,
) -> Result<String, Error> {
    match matches.free.as_slice() {
        [argument] => Ok(argument.clone()),
        _ => Err(Error::usage(format!("expected one {name}"), usage)),
    }
}

/// Returns the value of a mandatory option.
pub fn required_option(
    matches: &Matches,
    option: &str,
    usage: &'static str,
) -> Result<String, Error> {
    let value = matches.opt_str(option);
    value.ok_or_else(|| Error::usage(format!("--{option} is missing"), usage))
}

/// Returns the value of a numeric option; `None` if the option is not given.
pub fn numeric_option<T: FromStr>(
    matches: &Matches,
    option: &str,
    usage: &'static str,
) -> Result<Option<T>, Error> {
    let value = matches.opt_str(option).map(|text| text.parse());
    let not_a_number = |_| Error::usage(format!("--{option} takes a number"), usage);
    value.transpose().map_err(not_a_number)
}

/// Reads a file, but at most one byte more than [`MAX_FILE_BYTES`], with which every check refuses it as too long.
pub fn read_file(path: &str) -> Result<Vec<u8>, Error> {
    let mut content = Vec::new();
    let limit = u64::try_from(MAX_FILE_BYTES)
        .unwrap_or(u64::MAX)
        .saturating_add(1);
    let read = File::open(path).and_then(|file| file.take(limit).read_to_end(&mut content));
    read.map_err(|error| Error::failed(format!("{path}: {error}")))?;
    Ok(content)
}

/// Prints a line to the standard output.
pub fn print_line(line: &str) -> Result<(), Error> {
    writeln!(std::io::stdout(), "{line}")?;
    Ok(())
}

/// Returns an error if a file has findings.
pub fn fail_on_findings(path: &str, findings: Findings) -> Result<(), Error> {
    if findings.is_empty() {
        return Ok(());
    }
    let name = path.to_owned();
    Err(FileFindings { name, findings }.into())
}

/// Sends a GET request to the operators' listener at `address` and returns the body of the response. A response with
/// another status than success is an error.
pub fn http_get(address: &str, path: &str) -> Result<String, Error> {
    let response = operator_agent()
        .get(format!("http://{address}{path}"))
        .call();
    read_response(response)
}

/// Sends a POST request to the operators' listener at `address` and returns the body of the response. A response with
/// another status than success is an error with its status and body.
pub fn http_post(address: &str, path: &str, body: &str) -> Result<String, Error> {
    let response = operator_agent()
        .post(format!("http://{address}{path}"))
        .send(body);
    read_response(response)
}

fn operator_agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(OPERATOR_TIMEOUT))
        .build()
        .new_agent()
}

fn read_response(
    response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<String, Error> {
    let mut response = response?;
    let text = response.body_mut().read_to_string()?;
    if response.status().is_success() {
        Ok(text)
    } else {
        Err(Error::failed(format!(
            "{}: {}",
            response.status(),
            text.trim_end()
        )))
    }
}
