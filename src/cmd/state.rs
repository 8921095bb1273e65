//! Prints the state dump of a process.

use getopts::Options;

use crate::error::Error;
use crate::util;

const USAGE: &str = "\
Usage: tanagerford state ADDRESS

Prints the state of the process whose operators' listener is at ADDRESS
(IP:PORT) as JSON.

Options:
  -h, --help                 print this text
";

struct Args {
    address: String,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let matches = util::parse_options(&mut Options::new(), arguments, USAGE)?;
        let address = util::single_argument(&matches, "ADDRESS", USAGE)?;
        Ok(Self { address })
    }
}

pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    let state = util::http_get(&args.address, "/state")?;
    util::print_line(state.trim_end())
}
