//! Shows, applies or follows the configuration.

use std::thread;
use std::time::Duration;

use getopts::{Matches, Options};
use serde::Deserialize;
use tanagerford_core::config::decode::decode;
use tanagerford_kv::etcd::Etcd;
use tanagerford_node::config_feed::publish::{Publication, PublishError, PublishTiming, publish};
use tanagerford_node::config_feed::store::{self, StoredConfiguration};
use ureq::Agent;

use crate::config::{self, CALL_TIMEOUT};
use crate::error::Error;
use crate::util;

const USAGE: &str = "\
Usage: tanagerford config show [OPTIONS]
       tanagerford config apply [OPTIONS] FILE
       tanagerford config status [OPTIONS] ADDRESS...

show prints the configuration that the key-value service holds. apply replaces it
and succeeds only when the new one is known to be in force; a file that names a
generation is refused if another one is in force. status asks the processes at
their operators' addresses which generation they use, and fails unless all use
that of the key-value service, or the newest among them if no service is named.

Options:
  --kv URL             address of the key-value service; may be repeated
  --settings FILE      settings of a process that name the key-value service
  --above GENERATION   for apply: begin a generation above this one, after the
                       key-value service lost generations that processes use
  -h, --help           print this text
";

/// Timeout of one request for the state of a process.
const STATE_TIMEOUT: Duration = Duration::from_secs(3);

/// Upper bound on the state dump of a process; a longer one is reported as an error.
const MAX_STATE_BYTES: u64 = 8 << 20;

/// Number of processes whose state is requested at the same time.
const PARALLEL_REQUESTS: usize = 32;

/// Highest generation that `--above` accepts: 2^53, up to which all JSON readers keep integers exactly. A mistyped
/// higher generation could leave no generation to advance to.
const MAX_ABOVE: u64 = 1 << 53;

struct Args {
    action: Action,
    matches: Matches,
}

enum Action {
    Show,
    Apply { path: String, above: u64 },
    Status { addresses: Vec<String> },
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = Options::new();
        config::add_key_value_options(&mut options);
        options.optopt("", "above", "generation that processes use", "GENERATION");
        let matches = util::parse_options(&mut options, arguments, USAGE)?;
        let above = util::numeric_option(&matches, "above", USAGE)?.unwrap_or(0);
        if above > MAX_ABOVE {
            return Err(Error::usage(
                format!("--above takes at most {MAX_ABOVE}"),
                USAGE,
            ));
        }
        let free: Vec<&str> = matches.free.iter().map(String::as_str).collect();
        let action = match free.as_slice() {
            ["show"] => Action::Show,
            ["apply", path] => Action::Apply {
                path: (*path).to_owned(),
                above,
            },
            ["status", addresses @ ..] if !addresses.is_empty() => Action::Status {
                addresses: addresses
                    .iter()
                    .map(|address| (*address).to_owned())
                    .collect(),
            },
            _ => {
                return Err(Error::usage(
                    "expected show, apply FILE or status ADDRESS...",
                    USAGE,
                ));
            }
        };
        Ok(Self { action, matches })
    }
}

pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    match &args.action {
        Action::Show => show(&config::required_key_value_service(&args.matches, USAGE)?),
        Action::Apply { path, above } => {
            let service = config::required_key_value_service(&args.matches, USAGE)?;
            apply(&service, path, *above)
        }
        Action::Status { addresses } => {
            let service = config::key_value_service(&args.matches)?;
            status(service.as_ref(), addresses)
        }
    }
}

fn show(service: &Etcd) -> Result<(), Error> {
    let stored = store::read(service, CALL_TIMEOUT)?;
    let sections = stored
        .sections
        .ok_or_else(|| Error::failed("no configuration is published"))?;
    let merged = sections.merge();
    let current = merged.map_err(|report| Error::failed(report.current_context().to_string()))?;
    let text = serde_json::to_string_pretty(&current);
    util::print_line(&text.map_err(|error| Error::failed(error.to_string()))?)
}

fn apply(service: &Etcd, path: &str, above: u64) -> Result<(), Error> {
    let configuration = match decode(&util::read_file(path)?) {
        Ok(configuration) => configuration,
        Err(findings) => {
            util::fail_on_findings(path, findings)?;
            return Err(Error::failed(format!("{path}: invalid configuration")));
        }
    };
    let expected = Some(configuration.generation).filter(|generation| *generation > 0);
    let stored = check_base(store::read(service, CALL_TIMEOUT)?, expected)?;
    let publication = Publication {
        base: &stored,
        configuration: &configuration,
        write_id: rand::random(),
        floor: above,
    };
    let generation = publish(service, &publication, PublishTiming::default())?;
    util::print_line(&format!("generation {generation}: applied"))
}

/// Returns the stored configuration if its generation is the expected one. Otherwise fails and names the generation
/// that followed the expected one.
pub fn check_base(
    stored: StoredConfiguration,
    expected: Option<u64>,
) -> Result<StoredConfiguration, Error> {
    let head = &stored.head.head;
    match expected {
        Some(expected) if expected != head.generation => {
            let winner = head
                .successor(expected)
                .map_or(head.generation, |write| write.generation);
            Err(Error::failed(PublishError::Lost { winner }.to_string()))
        }
        _ => Ok(stored),
    }
}

/// Part of the state dump of a process that `config status` reads.
#[derive(Debug, Deserialize)]
struct ProcessState {
    config_generation: u64,
}

fn status(service: Option<&Etcd>, addresses: &[String]) -> Result<(), Error> {
    let head = service.map(|service| store::read_head(service, CALL_TIMEOUT));
    match &head {
        None => {}
        Some(Ok(head)) => {
            util::print_line(&format!(
                "key-value service: generation {}",
                head.head.generation
            ))?;
        }
        Some(Err(report)) => {
            util::print_line(&report.current_context().to_string())?;
        }
    }
    let states = query_all(addresses);
    for (address, state) in addresses.iter().zip(&states) {
        match state {
            Ok(generation) => util::print_line(&format!("{address}: generation {generation}"))?,
            Err(reason) => util::print_line(&format!("{address}: {reason}"))?,
        }
    }
    let newest = states.iter().flatten().copied().max().unwrap_or(0);
    let expected = match head {
        None => newest,
        Some(head) => head?.head.generation,
    };
    let deviating = states
        .iter()
        .filter(|state| **state != Ok(expected))
        .count();
    if deviating > 0 {
        let message = format!(
            "{deviating} of {} processes do not use generation {expected}",
            states.len()
        );
        return Err(Error::failed(message));
    }
    Ok(())
}

fn query_all(addresses: &[String]) -> Vec<Result<u64, String>> {
    let config = Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(STATE_TIMEOUT));
    let agent = config.build().new_agent();
    let mut states = Vec::new();
    for group in addresses.chunks(PARALLEL_REQUESTS) {
        thread::scope(|scope| {
            let queries: Vec<_> = group
                .iter()
                .map(|address| scope.spawn(|| query_generation(&agent, address)))
                .collect();
            states.extend(queries.into_iter().map(|thread| {
                thread
                    .join()
                    .unwrap_or_else(|_| Err("the request failed".to_owned()))
            }));
        });
    }
    states
}

fn query_generation(agent: &Agent, address: &str) -> Result<u64, String> {
    let response = agent.get(format!("http://{address}/state")).call();
    let mut response = response.map_err(|error| error.to_string())?;
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_STATE_BYTES)
        .read_to_vec();
    let body = body.map_err(|error| error.to_string())?;
    let state: ProcessState =
        serde_json::from_slice(&body).map_err(|error| format!("malformed state: {error}"))?;
    Ok(state.config_generation)
}
