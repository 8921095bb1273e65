//! Command line of the router. Dispatches to the commands in [`cmd`].

mod cmd;
mod config;
mod error;
mod process;
mod util;

use std::process::ExitCode;

use crate::error::Error;

const USAGE: &str = "\
Usage: tanagerford COMMAND [ARGUMENTS]

Commands:
  check FILE...              check settings, configurations and tier sheets
  sheet load FILE            load a tier sheet
  entry                      run an entry
  gateway                    run an entry of the users' platform
  explain ID [FILE...]       tell from logs what became of a request
  route ADDRESS HOST PATH    tell where a request would go now, and why
  experiment FILE            play a load file against emulated servers
  sidecar                    run the sidecar of a backend server
  standalone                 run everything with stand-ins in one process
  state ADDRESS              print the state of a process
  drain ADDRESS              begin the graceful stop of a process
  order list|settle          list and settle orders whose outcome is unknown
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
        "drain" => cmd::drain::run(rest),
        "gateway" => cmd::gateway::run(rest),
        "entry" => cmd::entry::run(rest),
        "explain" => cmd::explain::run(rest),
        "experiment" => cmd::experiment::run(rest),
        "order" => cmd::order::run(rest),
        "route" => cmd::route::run(rest),
        "sidecar" => cmd::sidecar::run(rest),
        "standalone" => cmd::standalone::run(rest),
        "state" => cmd::state::run(rest),
        "sheet" => cmd::sheet::run(rest),
        "-h" | "--help" => Err(Error::Help(USAGE)),
        unknown => Err(Error::usage(format!("unknown command: {unknown}"), USAGE)),
    }
}
