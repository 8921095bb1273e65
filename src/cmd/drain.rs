//! Begins the graceful stop of a process.

use getopts::Options;

use crate::error::Error;
use crate::util;

const USAGE: &str = "\
Usage: tanagerford drain ADDRESS

Begins a graceful stop of the process whose operators' listener is at ADDRESS
(IP:PORT). The process finishes what is in flight and then ends.

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
    let response = util::http_post(&args.address, "/drain", "")?;
    util::print_line(response.trim_end())
}
