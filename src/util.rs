//! Helpers shared by the commands.

use std::ffi::OsString;
use std::io::Write;
use std::str::FromStr;
use std::thread;
use std::time::Duration;

use getopts::{Matches, Options};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tanagerford_node::stop::StopSignal;
use tracing_subscriber::EnvFilter;

use crate::error::Error;

/// Returns the arguments after the program's name.
pub fn arguments() -> Result<Vec<String>, Error> {
    let given = std::env::args_os().skip(1);
    given
        .map(OsString::into_string)
        .collect::<Result<_, _>>()
        .map_err(|argument| {
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

/// Interval at which a command looks whether it was asked to stop.
pub const STOP_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for a request to a process's operators' listener.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the only free argument.
pub fn single(matches: &Matches, name: &str, usage: &'static str) -> Result<String, Error> {
    match matches.free.as_slice() {
        [argument] => Ok(argument.clone()),
        _ => Err(Error::usage(format!("expected one {name}"), usage)),
    }
}

/// Returns the value of a numeric option.
pub fn number<T: FromStr>(
    matches: &Matches,
    name: &str,
    default: T,
    usage: &'static str,
) -> Result<T, Error> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    let wrong = |_| Error::usage(format!("--{name}: {text:?} is not a valid number"), usage);
    text.parse().map_err(wrong)
}

/// Prints text to the standard output.
pub fn print(text: &str) -> Result<(), Error> {
    let mut output = std::io::stdout().lock();
    output.write_all(text.as_bytes())?;
    output.flush()?;
    Ok(())
}

/// Writes logs as JSON lines to the standard error; `TANAGERFORD_LOG` sets the level.
pub fn start_logging() {
    let filter =
        EnvFilter::try_from_env("TANAGERFORD_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .try_init();
    if let Err(error) = started {
        let _ = writeln!(
            std::io::stderr(),
            "tanagerford: cannot start logging: {error}"
        );
    }
}

/// Raises `stop` on SIGTERM and SIGINT.
pub fn raise_on_signal(stop: &StopSignal) -> Result<(), Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let stop = stop.clone();
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                tracing::info!(signal, "received a signal; stopping gracefully");
                stop.raise();
            }
        })?;
    Ok(())
}

/// Sends GET to the operators' listener at `address`.
pub fn http_get(address: &str, path: &str) -> Result<String, Error> {
    let answer = operator_agent()
        .get(format!("http://{address}{path}"))
        .call();
    read_answer(answer)
}

/// Sends POST to the operators' listener at `address`.
pub fn http_post(address: &str, path: &str) -> Result<String, Error> {
    let answer = operator_agent()
        .post(format!("http://{address}{path}"))
        .send_empty();
    read_answer(answer)
}

fn operator_agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(OPERATOR_TIMEOUT))
        .build()
        .new_agent()
}

fn read_answer(
    answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<String, Error> {
    Ok(answer?.body_mut().read_to_string()?)
}
