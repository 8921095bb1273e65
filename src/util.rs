//! Helpers shared by the commands.

use std::ffi::OsString;

use getopts::{Matches, Options};

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
