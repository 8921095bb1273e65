//! Runs the load of a file against emulated servers on a virtual clock.

use std::fs;

use getopts::Options;
use tanagerford_emulator::{load, plot, report};
use tanagerford_operator::check::FileFindings;

use crate::error::Error;
use crate::util;

const USAGE: &str = "\
Usage: tanagerford experiment [OPTIONS] FILE

Plays a load file with each of its policies and seeds against emulated servers,
on a virtual clock, and prints what each class of callers got.

Options:
      --json                 print the report as JSON instead of a table
      --svg FILE             also draw the earned share of the value by second
      --seed NUMBER          play this seed instead of those of the file
  -h, --help                 print this text
";

struct Args {
    path: String,
    as_json: bool,
    svg_path: Option<String>,
    seed: Option<u64>,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = Options::new();
        options.optflag("", "json", "");
        options.optopt("", "svg", "", "FILE");
        options.optopt("", "seed", "", "NUMBER");
        let matches = util::parse_options(&mut options, arguments, USAGE)?;
        Ok(Self {
            path: util::single_argument(&matches, "load file", USAGE)?,
            as_json: matches.opt_present("json"),
            svg_path: matches.opt_str("svg"),
            seed: util::numeric_option(&matches, "seed", USAGE)?,
        })
    }
}

pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    let content = util::read_file(&args.path)?;
    let mut load = load::decode(&content).map_err(|findings| {
        let name = args.path.clone();
        Error::from(FileFindings { name, findings })
    })?;
    if let Some(seed) = args.seed {
        load.seeds = vec![seed];
    }
    let report = report::experiment(&load);
    if let Some(path) = &args.svg_path {
        let svg = plot::draw(&report)
            .map_err(|error| Error::failed(format!("cannot draw the report: {error}")))?;
        fs::write(path, svg).map_err(|error| Error::failed(format!("{path}: {error}")))?;
    }
    if args.as_json {
        let text = serde_json::to_string_pretty(&report)
            .map_err(|error| Error::failed(format!("cannot write the report: {error}")))?;
        util::print_line(&text)
    } else {
        util::print_line(report.table().trim_end())
    }
}
