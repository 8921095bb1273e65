//! Lists and settles orders whose outcome is unknown.

use getopts::Options;
use serde_json::Value;
use tanagerford_operator::listener::{GoneProcess, SettleRequest};

use crate::error::Error;
use crate::util;

const USAGE: &str = "\
Usage: tanagerford order list ADDRESS
       tanagerford order settle ADDRESS KEY ran|not-run [OPTIONS]

Lists the unsettled orders that the sidecar with its operators' listener at
ADDRESS (IP:PORT) knows, or states whether one of them was run. Look at the
backend server's own records before: an order that is stated as not run may
run when its caller sends it again.

Options:
      --gone SERVER          the process SERVER that claimed the order will
                             never run again; needs --incarnation
      --incarnation N        incarnation of that process, as listed
  -h, --help                 print this text
";

enum Args {
    List {
        address: String,
    },
    Settle {
        address: String,
        request: SettleRequest,
    },
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = Options::new();
        options.optopt("", "gone", "", "SERVER");
        options.optopt("", "incarnation", "", "N");
        let matches = util::parse_options(&mut options, arguments, USAGE)?;
        let incarnation = util::numeric_option(&matches, "incarnation", USAGE)?;
        let gone = match (matches.opt_str("gone"), incarnation) {
            (Some(server), Some(incarnation)) => Some(GoneProcess {
                server,
                incarnation,
            }),
            (None, None) => None,
            _ => {
                let text = "--gone and --incarnation must be given together";
                return Err(Error::usage(text, USAGE));
            }
        };
        let words: Vec<_> = matches.free.iter().map(String::as_str).collect();
        match words[..] {
            ["list", address] => Ok(Self::List {
                address: address.to_owned(),
            }),
            ["settle", address, key, outcome @ ("ran" | "not-run")] => Ok(Self::Settle {
                address: address.to_owned(),
                request: SettleRequest {
                    key: key.to_owned(),
                    ran: outcome == "ran",
                    gone,
                },
            }),
            _ => Err(Error::usage(
                "expected list or settle with its arguments",
                USAGE,
            )),
        }
    }
}

pub fn run(arguments: &[String]) -> Result<(), Error> {
    match Args::parse(arguments)? {
        Args::List { address } => list(&address),
        Args::Settle { address, request } => {
            let body = serde_json::to_string(&request)?;
            let response = util::http_post(&address, "/orders/settle", &body)?;
            util::print_line(response.trim_end())
        }
    }
}

/// Prints one line for each unsettled order: key, server, incarnation, time of the claim in Unix seconds, and `unknown`
/// if an operator has to settle it, else `claimed`.
fn list(address: &str) -> Result<(), Error> {
    let state: Value = serde_json::from_str(&util::http_get(address, "/state")?)?;
    let unsettled = state["orders"]["unsettled"].as_array();
    let unsettled = unsettled.ok_or_else(|| Error::failed("this process takes no orders"))?;
    for order in unsettled {
        let status = if order["is_unknown"] == true {
            "unknown"
        } else {
            "claimed"
        };
        util::print_line(&format!(
            "{} {} {} {} {status}",
            order["key"].as_str().unwrap_or_default(),
            order["server"].as_str().unwrap_or_default(),
            order["incarnation"],
            order["claimed_at_unix_s"],
        ))?;
    }
    Ok(())
}
