//! Loads a tier sheet.

use getopts::Options;

use crate::error::Error;
use crate::util;

const USAGE: &str = "\
Usage: tanagerford sheet load FILE
";

struct Args {
    free: Vec<String>,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let matches = util::parse(&mut Options::new(), arguments, USAGE)?;
        Ok(Self { free: matches.free })
    }
}

pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    Err(Error::failed(format!("not available yet: {:?}", args.free)))
}
