//! Tells where an entry of the users' platform would send a request now, and why, without sending it.

use std::fmt::Write;

use getopts::Options;
use tanagerford_gateway::preview::{CandidatePreview, PoolPreview, RoutePreview, RouteQuery};

use crate::error::Error;
use crate::util;

const USAGE: &str = "\
Usage: tanagerford route [OPTIONS] ADDRESS HOST PATH

Asks the entry whose readiness listener is at ADDRESS (IP:PORT) where a request
for HOST and PATH would go now, and why. Nothing is sent to a server, and
nothing changes at the entry.

Options:
      --key-file FILE        file with the API key of the caller
      --tokens PROMPT,OUTPUT tokens of the prompt and of the expected answer
      --parts ID:TOKENS,...  parts of the prompt in order, with hexadecimal ids
      --body-bytes N         size of the body in bytes
      --all                  print all servers, not only the cheapest five
      --json                 print JSON
  -h, --help                 print this text

Exit code 1: the entry would refuse the request.
";

/// Number of servers that are printed without `--all`.
const PRINTED_CANDIDATES: usize = 5;

struct Args {
    address: String,
    query: RouteQuery,
    has_all: bool,
    as_json: bool,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = Options::new();
        options.optopt("", "key-file", "", "FILE");
        options.optopt("", "tokens", "", "PROMPT,OUTPUT");
        options.optopt("", "parts", "", "ID:TOKENS,...");
        options.optopt("", "body-bytes", "", "N");
        options.optflag("", "all", "");
        options.optflag("", "json", "");
        let matches = util::parse_options(&mut options, arguments, USAGE)?;
        let [address, host, path] = matches.free.as_slice() else {
            return Err(Error::usage("expected ADDRESS, HOST and PATH", USAGE));
        };
        let invalid = |option: &str| Error::usage(format!("--{option} cannot be read"), USAGE);
        let tokens = matches.opt_str("tokens");
        let (prompt_tokens, output_tokens) = match tokens.as_deref().map(parse_tokens) {
            Some(tokens) => tokens.ok_or_else(|| invalid("tokens"))?,
            None => (0, 0),
        };
        let parts = matches.opt_str("parts");
        let parts = match parts.as_deref().map(parse_parts) {
            Some(parts) => parts.ok_or_else(|| invalid("parts"))?,
            None => Vec::new(),
        };
        let key = match matches.opt_str("key-file") {
            Some(path) => Some(read_key(&path)?),
            None => None,
        };
        let query = RouteQuery {
            host: host.clone(),
            path: path.clone(),
            key,
            prompt_tokens,
            output_tokens,
            body_bytes: util::numeric_option(&matches, "body-bytes", USAGE)?.unwrap_or(0),
            parts,
        };
        Ok(Self {
            address: address.clone(),
            query,
            has_all: matches.opt_present("all"),
            as_json: matches.opt_present("json"),
        })
    }
}

pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    let query = serde_json::json!(args.query).to_string();
    let response = util::http_post(&args.address, "/route", &query)?;
    let preview: RoutePreview = serde_json::from_str(&response)
        .map_err(|error| Error::failed(format!("cannot read the entry's answer: {error}")))?;
    let printed = if args.as_json {
        serde_json::json!(preview).to_string()
    } else {
        let limit = if args.has_all {
            usize::MAX
        } else {
            PRINTED_CANDIDATES
        };
        text(&preview, limit)
    };
    util::print_line(printed.trim_end())?;
    match preview.refusal {
        Some(refusal) => Err(Error::failed(format!(
            "the entry would refuse the request: {refusal}"
        ))),
        None => Ok(()),
    }
}

/// Reads an API key from a file. On the command line other users of the machine could see it.
fn read_key(path: &str) -> Result<String, Error> {
    let key = String::from_utf8(util::read_file(path)?);
    let key = key.map_err(|error| Error::failed(format!("{path}: {error}")))?;
    Ok(key.trim().to_owned())
}

fn parse_tokens(text: &str) -> Option<(u32, u32)> {
    let (prompt, output) = text.split_once(',')?;
    Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
}

fn parse_parts(text: &str) -> Option<Vec<(u64, u32)>> {
    let parts = text.split(',').map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
    });
    parts.collect()
}

/// Formats a preview with at most `limit` servers of each pool.
fn text(preview: &RoutePreview, limit: usize) -> String {
    let or_none = |name: &Option<String>| name.clone().unwrap_or_else(|| "none".to_owned());
    let version = preview.version.map(|version| version.to_string());
    let mut text = format!(
        "configuration {}, route {}, workspace {}, rank {}\n",
        or_none(&version),
        or_none(&preview.route),
        or_none(&preview.workspace),
        preview.rank
    );
    if preview.is_entry_busy {
        text.push_str("the entry is short of processor time; requests wait by rank\n");
    }
    for pool in &preview.pools {
        push_pool(&mut text, pool, limit);
    }
    text
}

fn push_pool(text: &mut String, pool: &PoolPreview, limit: usize) {
    let server = pool.server.as_deref().unwrap_or("no server");
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "pool {} (weight {}): {server}; {} calls wait{}",
        pool.pool,
        pool.weight,
        pool.waiting_calls,
        if pool.is_long_prompt {
            "; a long prompt may wait for room beside streams"
        } else {
            ""
        }
    );
    for candidate in pool.candidates.iter().take(limit) {
        let _ = writeln!(
            text,
            "  {} in {}: cost {:.1} ms = work {:.1} x slowness {:.2} + failures {:.1} + zone {:.1} + connection {:.1}; \
             {} of {} slots, {} tokens wait, {} tokens to read, first token after {:.0} ms{}",
            candidate.server,
            candidate.zone,
            candidate.cost_ms,
            candidate.work_ms,
            candidate.slowness,
            candidate.failing_ms,
            candidate.other_zone_ms,
            candidate.connecting_ms,
            candidate.in_flight,
            candidate.slots,
            candidate.waiting_tokens,
            candidate.uncached_tokens,
            candidate.first_token_ms,
            match candidate {
                CandidatePreview {
                    is_unavailable: true,
                    ..
                } => "; at rest or leaving",
                CandidatePreview {
                    is_ejected: true, ..
                } => "; avoided after failures",
                _ => "",
            }
        );
    }
    let rest = pool.candidates.len().saturating_sub(limit);
    if rest > 0 {
        let _ = writeln!(text, "  and {rest} more");
    }
}
