//! Runs an entry, two sidecars and stand-ins in one process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use getopts::Options;
use tanagerford_core::config::Configuration;
use tanagerford_core::config::active::ActiveConfiguration;
use tanagerford_core::order::Owner;
use tanagerford_http::Limits;
use tanagerford_link::{FleetKey, Identity};
use tanagerford_node::entry::{Entry, EntrySettings};
use tanagerford_node::links::Target;
use tanagerford_node::orders::{OrderLog, OrderSettings};
use tanagerford_node::sidecar::{Backend, Sidecar, SidecarSettings};
use tanagerford_node::stop::StopSignal;
use tanagerford_operator::listener;
use tanagerford_platform::memory::Memory;
use tanagerford_standin::{engine, service};

use crate::error::Error;
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

/// Configuration of the first try: one workspace, one model, one service.
const CONFIGURATION: &str = include_str!("standalone.json");

/// Default port for callers.
const DEFAULT_PORT: u16 = 8080;

/// Default port for operators.
const DEFAULT_OPERATOR_PORT: u16 = 8081;

/// Availability zone of all parts.
const ZONE: &str = "local";

/// Calls that the stand-in service runs at the same time.
const SERVICE_CONCURRENCY: u32 = 16;

/// Longest time that a stop waits for requests in flight.
const STOP_TIMEOUT: Duration = Duration::from_mins(1);

struct Args {
    port: u16,
    operator_port: u16,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = Options::new();
        options.optopt("", "port", "", "PORT");
        options.optopt("", "operator-port", "", "PORT");
        let matches = util::parse(&mut options, arguments, USAGE)?;
        Ok(Self {
            port: util::number(&matches, "port", DEFAULT_PORT, USAGE)?,
            operator_port: util::number(&matches, "operator-port", DEFAULT_OPERATOR_PORT, USAGE)?,
        })
    }
}

pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    util::start_logging();
    let stop = StopSignal::default();
    util::raise_on_signal(&stop)?;
    let engine = engine::Engine::start(engine::Behaviour::default())?;
    let service = service::Service::start(service::Behaviour::default())?;
    let configuration: Configuration = serde_json::from_str(CONFIGURATION)?;
    let engine_sidecar = start_sidecar("engine-0", engine.address(), Backend::Engine, None)?;
    engine_sidecar.set_configuration(&configuration);
    let service_backend = Backend::Service {
        concurrency: SERVICE_CONCURRENCY,
    };
    let orders = Some(start_orders("plates-0"));
    let service_sidecar = start_sidecar("plates-0", service.address(), service_backend, orders)?;
    service_sidecar.set_configuration(&configuration);
    let entry = start_entry(args.port, configuration)?;
    entry.set_targets([
        target("engine-0", "engines", &engine_sidecar),
        target("plates-0", "plates", &service_sidecar),
    ]);
    let operators = listener::start(local(args.operator_port), entry.operations(stop.clone()))?;
    print_start(entry.address(), operators)?;
    while !stop.wait(util::STOP_CHECK_INTERVAL) {}
    let entry_finished = entry.drain().finish(STOP_TIMEOUT);
    let engine_finished = engine_sidecar.drain().finish(STOP_TIMEOUT);
    let service_finished = service_sidecar.drain().finish(STOP_TIMEOUT);
    if entry_finished && engine_finished && service_finished {
        Ok(())
    } else {
        Err(Error::failed(
            "requests were still in flight when the time to stop had passed",
        ))
    }
}

fn start_sidecar(
    name: &str,
    backend_address: SocketAddr,
    backend: Backend,
    orders: Option<Arc<OrderLog>>,
) -> Result<Sidecar, Error> {
    let settings = SidecarSettings {
        identity: identity(name),
        fleet_key: fleet_key(),
        listen: local(0),
        backend_address,
        backend,
    };
    Ok(Sidecar::start(&settings, orders)?)
}

/// The key-value store lives in this process, so orders are not remembered after it ends.
fn start_orders(name: &str) -> Arc<OrderLog> {
    let owner = Owner {
        server: name.to_owned(),
        incarnation: 1,
    };
    let kv = Arc::new(Memory::new());
    Arc::new(OrderLog::start(kv, OrderSettings::new("plates", owner)))
}

fn start_entry(port: u16, configuration: Configuration) -> Result<Entry, Error> {
    let configuration = ActiveConfiguration::new(configuration)
        .map_err(|error| Error::failed(error.to_string()))?;
    let settings = EntrySettings {
        identity: identity("entry-0"),
        fleet_key: fleet_key(),
        listen: local(port),
        limits: Limits::default(),
        zone: ZONE.to_owned(),
        balancer_notice: Duration::ZERO,
    };
    Ok(Entry::start(settings, configuration)?)
}

fn target(server: &str, pool: &str, sidecar: &Sidecar) -> Target {
    Target {
        server: server.to_owned(),
        pool: pool.to_owned(),
        zone: ZONE.to_owned(),
        address: sidecar.address(),
        incarnation: 1,
        leaving: false,
    }
}

fn identity(process_id: &str) -> Identity {
    Identity {
        process_id: process_id.to_owned(),
        incarnation: 1,
        availability_zone: ZONE.to_owned(),
    }
}

/// All parts run in this process, so the key protects nothing here.
fn fleet_key() -> FleetKey {
    FleetKey::new(*b"standalone")
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

fn print_start(callers: SocketAddr, operators: SocketAddr) -> Result<(), Error> {
    util::print(&format!(
        "tanagerford standalone; the engine and the service behind it are stand-ins\n\
         callers:   http://{callers}\n\
         operators: http://{operators}\n\
         API key:   demo-key\n"
    ))
}
