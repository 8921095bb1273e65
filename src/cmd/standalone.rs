//! Runs an entry, two sidecars and stand-ins of their backend servers in one process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use getopts::Options;
use tanagerford_core::config::Configuration;
use tanagerford_http::Limits;
use tanagerford_kv::kv::Kv;
use tanagerford_kv::memory::Memory;
use tanagerford_link::FleetKey;
use tanagerford_node::config_feed::publish::{Publication, PublishTiming, publish};
use tanagerford_node::config_feed::store::StoredConfiguration;
use tanagerford_node::process::{
    BackendSettings, CallerSettings, EntryProcess, ProcessSettings, SidecarProcess, new_incarnation,
};
use tanagerford_node::sidecar::Backend;
use tanagerford_node::stop::StopSignal;
use tanagerford_standin::{engine, service};

use crate::error::Error;
use crate::process;
use crate::util;

const USAGE: &str = "\
Usage: tanagerford standalone [OPTIONS]

Runs an entry, two sidecars, a stand-in for a model engine and a stand-in for
a plain service in one process, for a first try without any set-up.

Options:
      --port PORT            port for callers (default 8080, 0 for any)
      --operator-port PORT   port for operators (default 8081, 0 for any)
  -h, --help                 print this text
";

/// Published configuration: one workspace, one model and one service.
const CONFIGURATION: &str = include_str!("standalone.json");

const DEFAULT_PORT: u16 = 8080;

const DEFAULT_OPERATOR_PORT: u16 = 8081;

struct Args {
    port: u16,
    operator_port: u16,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = Options::new();
        options.optopt("", "port", "", "PORT");
        options.optopt("", "operator-port", "", "PORT");
        let matches = util::parse_options(&mut options, arguments, USAGE)?;
        Ok(Self {
            port: util::numeric_option(&matches, "port", USAGE)?.unwrap_or(DEFAULT_PORT),
            operator_port: util::numeric_option(&matches, "operator-port", USAGE)?
                .unwrap_or(DEFAULT_OPERATOR_PORT),
        })
    }
}

pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    process::start_logging();
    let stop = StopSignal::default();
    process::stop_on_signal(&stop)?;
    let engine = engine::Engine::start(engine::Behaviour::default())?;
    let service = service::Service::start(service::Behaviour::default())?;
    let kv: Arc<dyn Kv> = Arc::new(start_key_value_service()?);
    let entry = start_entry(&args, &kv, &stop)?;
    let seeds = vec![entry.gossip_address()];
    let engine_backend = BackendSettings {
        address: engine.address(),
        kind: Backend::Engine,
        pool: "engines".to_owned(),
    };
    let service_backend = BackendSettings {
        address: service.address(),
        kind: Backend::Service,
        pool: "plates".to_owned(),
    };
    let sidecars = [
        start_sidecar("engine-0", &engine_backend, &kv, seeds.clone())?,
        start_sidecar("plates-0", &service_backend, &kv, seeds)?,
    ];
    print_addresses(entry.address(), entry.operator_address())?;
    let mut is_finished = entry.run(process::STOP_TIMEOUT);
    for sidecar in sidecars {
        is_finished &= sidecar.stop(process::STOP_TIMEOUT);
    }
    process::stop_result(is_finished)
}

/// Starts a key-value service in memory that holds the configuration. Its content is lost when the process ends.
fn start_key_value_service() -> Result<Memory, Error> {
    let kv = Memory::new();
    let configuration: Configuration = serde_json::from_str(CONFIGURATION)?;
    let publication = Publication {
        base: &StoredConfiguration::default(),
        configuration: &configuration,
        write_id: 1,
        floor: 0,
    };
    publish(&kv, &publication, PublishTiming::default())
        .map_err(|error| Error::failed(error.to_string()))?;
    Ok(kv)
}

fn start_entry(args: &Args, kv: &Arc<dyn Kv>, stop: &StopSignal) -> Result<EntryProcess, Error> {
    let callers = CallerSettings {
        listen: loopback(args.port),
        limits: Limits::default(),
        balancer_notice: Duration::ZERO,
    };
    let settings = process_settings("entry-0", args.operator_port, vec![]);
    Ok(EntryProcess::start(
        &settings,
        callers,
        Arc::clone(kv),
        stop.clone(),
    )?)
}

fn start_sidecar(
    name: &str,
    backend: &BackendSettings,
    kv: &Arc<dyn Kv>,
    seeds: Vec<SocketAddr>,
) -> Result<SidecarProcess, Error> {
    let settings = process_settings(name, 0, seeds);
    let stop = StopSignal::default();
    Ok(SidecarProcess::start(
        &settings,
        backend,
        Arc::clone(kv),
        stop,
    )?)
}

fn process_settings(
    process_id: &str,
    operator_port: u16,
    seeds: Vec<SocketAddr>,
) -> ProcessSettings {
    ProcessSettings {
        process_id: process_id.to_owned(),
        incarnation: new_incarnation(),
        availability_zone: "local".to_owned(),
        region: "local".to_owned(),
        fleet_key: fleet_key(),
        link_listen: loopback(0),
        gossip_listen: loopback(0),
        operator_listen: loopback(operator_port),
        seeds,
        vm_list: None,
    }
}

/// All links stay inside this process, so the key need not be secret.
fn fleet_key() -> FleetKey {
    FleetKey::new(*b"standalone")
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

fn print_addresses(callers: SocketAddr, operators: SocketAddr) -> Result<(), Error> {
    util::print_line(&format!(
        "tanagerford standalone; the engine and the service behind it are stand-ins\n\
         callers:   http://{callers}\n\
         operators: http://{operators}\n\
         API key:   demo-key"
    ))
}
