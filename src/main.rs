//! Command line of the router; dispatches to the commands in `cmd`.

mod cmd;
mod config;
mod error;
mod util;

use std::process::ExitCode;

use crate::error::Error;

const USAGE: &str = "\
Usage: tanagerford COMMAND [ARGUMENTS]

Commands:
  check FILE...              check settings, configurations and tier sheets
  sheet load FILE            load a tier sheet
  config show|apply|status   show, apply or follow the configuration

Options:
  -h, --help                 print this text, or that of a command

Exit codes: 0 done, 1 refused or failed, 2 wrong usage
";

fn main() -> ExitCode {
    match util::arguments().and_then(|arguments| dispatch(&arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => error.report(),
    }
}

fn dispatch(arguments: &[String]) -> Result<(), Error> {
    let Some((command, rest)) = arguments.split_first() else {
        return Err(Error::usage("no command given", USAGE));
    };
    match command.as_str() {
        "check" => cmd::check::run(rest),
        "config" => cmd::config::run(rest),
        "sheet" => cmd::sheet::run(rest),
        "-h" | "--help" => Err(Error::Help(USAGE)),
        unknown => Err(Error::usage(format!("unknown command: {unknown}"), USAGE)),
    }
}
