//! Explains the outcome of a request from logs, or lists failed requests by cause.

use std::fs::File;
use std::io::{self, BufRead, BufReader};

use getopts::Options;
use tanagerford_operator::explain::{Failures, Filter, Record, RequestHistory, parse};

use crate::error::Error;
use crate::util;

const USAGE: &str = "\
Usage: tanagerford explain [OPTIONS] ID [FILE...]
       tanagerford explain [OPTIONS] --failures [FILE...]

Reads the logs of any number of processes (standard input without FILE) and
tells what became of the request ID and why, or lists failed requests by cause.

Options:
      --failures             list failed and late requests by cause
      --since SECONDS        list only requests that ended at this time or later
      --server NAME          list only requests that were sent to this server
      --tenant NAME          list only requests of this workspace
      --json                 print JSON
  -h, --help                 print this text

Exit code 1: no line is about the request.
";

/// Interval in bytes at which progress is reported on the standard error.
const PROGRESS_INTERVAL_BYTES: usize = 100_000_000;
/// Upper bound on the bytes that are read as one line, so that input without line breaks does not fill the memory. Log
/// lines are far shorter.
const MAX_LINE_BYTES: usize = 1 << 20;

enum Query {
    Request(String),
    Failures(Filter),
}

struct Args {
    query: Query,
    paths: Vec<String>,
    as_json: bool,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = Options::new();
        options.optflag("", "failures", "");
        options.optopt("", "since", "", "SECONDS");
        options.optopt("", "server", "", "NAME");
        options.optopt("", "tenant", "", "NAME");
        options.optflag("", "json", "");
        let matches = util::parse_options(&mut options, arguments, USAGE)?;
        let filter = Filter {
            since_s: util::numeric_option(&matches, "since", USAGE)?,
            server: matches.opt_str("server"),
            workspace: matches.opt_str("tenant"),
        };
        let mut paths = matches.free.clone();
        let query = if matches.opt_present("failures") || filter != Filter::default() {
            Query::Failures(filter)
        } else if paths.is_empty() {
            return Err(Error::usage("no request given", USAGE));
        } else {
            Query::Request(paths.remove(0))
        };
        Ok(Self {
            query,
            paths,
            as_json: matches.opt_present("json"),
        })
    }
}

pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    match args.query {
        Query::Request(id) => {
            let mut history = RequestHistory::new(&id);
            read_all(&args.paths, |record| history.add(record))?;
            let explanation = history
                .explain()
                .ok_or_else(|| Error::failed(format!("no line is about the request {id}")))?;
            util::print_line(&if args.as_json {
                explanation.json().to_string()
            } else {
                explanation.text()
            })
        }
        Query::Failures(filter) => {
            let mut failures = Failures::new(filter);
            read_all(&args.paths, |record| failures.add(record))?;
            util::print_line(&if args.as_json {
                failures.json().to_string()
            } else {
                failures.text()
            })
        }
    }
}

fn read_all(paths: &[String], mut on_record: impl FnMut(Record)) -> Result<(), Error> {
    let mut progress = Progress::default();
    if paths.is_empty() {
        return read(&mut io::stdin().lock(), &mut progress, &mut on_record);
    }
    for path in paths {
        let file = File::open(path).map_err(|error| Error::failed(format!("{path}: {error}")))?;
        read(&mut BufReader::new(file), &mut progress, &mut on_record)?;
    }
    Ok(())
}

/// Passes each log line of a process to `on_record` and skips other lines.
fn read(
    input: &mut impl BufRead,
    progress: &mut Progress,
    on_record: &mut impl FnMut(Record),
) -> Result<(), Error> {
    let mut line = Vec::new();
    loop {
        line.clear();
        let limit = u64::try_from(MAX_LINE_BYTES).unwrap_or(u64::MAX);
        let count = io::Read::take(&mut *input, limit).read_until(b'\n', &mut line)?;
        if count == 0 {
            return Ok(());
        }
        progress.add(count);
        if let Some(record) = parse(&String::from_utf8_lossy(&line)) {
            on_record(record);
        }
    }
}

#[derive(Default)]
struct Progress {
    bytes: usize,
    reported_intervals: usize,
}

impl Progress {
    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        if self.bytes / PROGRESS_INTERVAL_BYTES > self.reported_intervals {
            self.reported_intervals = self.bytes / PROGRESS_INTERVAL_BYTES;
            eprintln!("tanagerford: read {} MB", self.bytes / 1_000_000);
        }
    }
}
