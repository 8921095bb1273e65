//! Runs a sidecar.

use std::sync::Arc;

use getopts::Options;
use tanagerford_kv::etcd::Etcd;
use tanagerford_node::process::{BackendSettings, SidecarProcess};
use tanagerford_node::sidecar::Backend;
use tanagerford_node::stop::StopSignal;
use tanagerford_operator::check::settings::{BackendKind, Role};

use crate::error::Error;
use crate::{config, process, util};

const USAGE: &str = "\
Usage: tanagerford sidecar --settings FILE

Runs the sidecar of a backend server until SIGTERM or a drain. It then refuses
new work and finishes what runs.

Options:
      --settings FILE        settings of the process
  -h, --help                 print this text
";

struct Args {
    settings: String,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = Options::new();
        options.optopt("", "settings", "", "FILE");
        let matches = util::parse_options(&mut options, arguments, USAGE)?;
        let settings = util::required_option(&matches, "settings", USAGE)?;
        Ok(Self { settings })
    }
}

pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    let settings = config::load(&args.settings)?;
    let Role::Sidecar(listen, backend) = &settings.role else {
        return Err(Error::failed(format!(
            "{}: /role: expected \"sidecar\"",
            args.settings
        )));
    };
    process::start_logging();
    let stop = StopSignal::default();
    process::stop_on_signal(&stop)?;
    let backend = BackendSettings {
        address: backend.address,
        kind: match backend.kind {
            BackendKind::Engine { .. } => Backend::Engine,
            BackendKind::Service => Backend::Service,
        },
        pool: backend.pool.clone(),
    };
    let kv = Arc::new(Etcd::new(settings.platform.kv_endpoints.clone()));
    let process_settings = process::process_settings(&settings, listen.link);
    let sidecar = SidecarProcess::start(&process_settings, &backend, kv, stop)?;
    tracing::info!(
        links = %sidecar.address(),
        operators = %sidecar.operator_address(),
        gossip = %sidecar.gossip_address(),
        "sidecar has started"
    );
    process::stop_result(sidecar.run(process::STOP_TIMEOUT))
}
