//! Runs an entry.

use std::sync::Arc;
use std::time::Duration;

use getopts::Options;
use tanagerford_http::Limits;
use tanagerford_kv::etcd::Etcd;
use tanagerford_node::process::{CallerSettings, EntryProcess};
use tanagerford_node::stop::StopSignal;
use tanagerford_operator::check::settings::Role;

use crate::error::Error;
use crate::{config, process, util};

const USAGE: &str = "\
Usage: tanagerford entry --settings FILE [OPTIONS]

Runs an entry, which accepts callers, until SIGTERM or a drain. It then turns
its readiness off, goes on accepting for the time that the balancer needs to
notice, and finishes every request in flight.

Options:
      --settings FILE        settings of the process
      --balancer-notice MS   time that the balancer needs to notice that the
                             entry is not ready, in milliseconds (default 5000)
  -h, --help                 print this text
";

/// Covers a balancer that checks every second and takes an entry out after three failed checks, with a margin.
const DEFAULT_BALANCER_NOTICE_MS: u64 = 5_000;

struct Args {
    settings: String,
    balancer_notice: Duration,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = Options::new();
        options.optopt("", "settings", "", "FILE");
        options.optopt("", "balancer-notice", "", "MS");
        let matches = util::parse_options(&mut options, arguments, USAGE)?;
        let notice_ms = util::numeric_option(&matches, "balancer-notice", USAGE)?;
        Ok(Self {
            settings: util::required_option(&matches, "settings", USAGE)?,
            balancer_notice: Duration::from_millis(notice_ms.unwrap_or(DEFAULT_BALANCER_NOTICE_MS)),
        })
    }
}

pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    let settings = config::load(&args.settings)?;
    let Role::Entry(listen) = &settings.role else {
        return Err(Error::failed(format!(
            "{}: /role: expected \"entry\"",
            args.settings
        )));
    };
    process::start_logging();
    let stop = StopSignal::default();
    process::stop_on_signal(&stop)?;
    let callers = CallerSettings {
        listen: listen.callers,
        limits: Limits::default(),
        balancer_notice: args.balancer_notice,
    };
    let kv = Arc::new(Etcd::new(settings.platform.kv_endpoints.clone()));
    let process_settings = process::process_settings(&settings, listen.link);
    let entry = EntryProcess::start(&process_settings, callers, kv, stop)?;
    tracing::info!(
        callers = %entry.address(),
        operators = %entry.operator_address(),
        gossip = %entry.gossip_address(),
        "entry has started"
    );
    process::stop_result(entry.run(process::STOP_TIMEOUT))
}
