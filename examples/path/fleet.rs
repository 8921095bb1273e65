//! The parts that are measured: one entry, sidecars and stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tanagerford_core::config::Configuration;
use tanagerford_http::Limits;
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

/// Engines; each runs at least 16 requests together from the start, so admission lets 64 callers in without a wait.
pub const ENGINES: usize = 8;

/// Backend servers of the plain service.
pub const SERVICES: usize = 2;

/// Longest wait until the entry has its links.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// API key of the workspace; its hash is in the configuration below.
pub const KEY: &str = "demo-key";

const CONFIGURATION: &str = r#"{
  "generation": 1,
  "tiers": [{"name": "gold", "weight": 1, "reserved_permille": 100}],
  "classes": [
    {"name": "chat", "target": {"tokens": {"first_token_ms": 500, "token_gap_ms": 38}}, "priority": 0,
     "longest_wait_ms": 10000, "max_in_flight": 256},
    {"name": "lookup", "target": {"call": {"total_ms": 500}}, "priority": 0,
     "longest_wait_ms": 10000, "max_in_flight": 256}
  ],
  "workspaces": [
    {"name": "demo", "tier": "gold",
     "key_sha256": ["c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"]}
  ],
  "models": [
    {"name": "preflight", "pool": "engines", "class": "chat", "resumable": true, "checks_fencing": true}
  ],
  "services": [
    {"name": "plates", "pool": "plates", "class": "lookup", "concurrency": 64, "routes": []}
  ]
}"#;

/// Running parts.
pub struct Fleet {
    pub engines: Vec<engine::Engine>,
    pub services: Vec<service::Service>,
    entry: EntryProcess,
    _sidecars: Vec<SidecarProcess>,
}

impl Fleet {
    /// Starts all parts and waits until the path answers.
    pub fn start() -> Result<Self, String> {
        let kv = Arc::new(store()?);
        let engines = (0..ENGINES)
            .map(|_| engine::Engine::start(behaviour(Duration::ZERO)))
            .collect::<Result<Vec<_>, _>>()
            .map_err(|error| error.to_string())?;
        let services = (0..SERVICES)
            .map(|_| service::Service::start(service::Behaviour::default()))
            .collect::<Result<Vec<_>, _>>()
            .map_err(|error| error.to_string())?;
        let callers = CallerSettings {
            listen: local(),
            limits: Limits::default(),
            balancer_notice: Duration::ZERO,
        };
        let entry = EntryProcess::start(
            &settings("entry-0", vec![]),
            callers,
            Arc::clone(&kv) as _,
            StopSignal::default(),
        )
        .map_err(|error| error.to_string())?;
        let backends = engines
            .iter()
            .map(|engine| (engine.address(), Backend::Engine, "engines"))
            .chain(
                services
                    .iter()
                    .map(|service| (service.address(), Backend::Service, "plates")),
            );
        let mut sidecars = Vec::new();
        for (index, (address, kind, pool)) in backends.enumerate() {
            let backend = BackendSettings {
                address,
                kind,
                pool: pool.to_owned(),
            };
            let name = format!("{pool}-{index}");
            let settings = settings(&name, vec![entry.gossip_address()]);
            let sidecar = SidecarProcess::start(
                &settings,
                &backend,
                Arc::clone(&kv) as _,
                StopSignal::default(),
            );
            sidecars.push(sidecar.map_err(|error| error.to_string())?);
        }
        let fleet = Self {
            engines,
            services,
            entry,
            _sidecars: sidecars,
        };
        fleet.await_links()?;
        Ok(fleet)
    }

    /// Returns the entry's address for callers.
    pub fn entry(&self) -> SocketAddr {
        self.entry.address()
    }

    /// Lets the engines take this time for each token.
    pub fn set_token_gap(&self, token_gap: Duration) {
        for engine in &self.engines {
            engine.set_behaviour(behaviour(token_gap));
        }
    }

    fn await_links(&self) -> Result<(), String> {
        let deadline = Instant::now() + START_TIMEOUT;
        while self.open_links() < ENGINES + SERVICES {
            if Instant::now() >= deadline {
                return Err("the entry did not open its links in time".to_owned());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    fn open_links(&self) -> usize {
        let address = self.entry.operator_address();
        let answer = ureq::get(format!("http://{address}/state")).call();
        let text = answer.and_then(|mut answer| answer.body_mut().read_to_string());
        let state: serde_json::Value = text
            .ok()
            .and_then(|text| serde_json::from_str(&text).ok())
            .unwrap_or_default();
        state["servers"].as_array().map_or(0, |servers| {
            servers
                .iter()
                .filter(|server| server["link_open"] == true)
                .count()
        })
    }
}

/// The first token takes as long as any other.
fn behaviour(token_gap: Duration) -> engine::Behaviour {
    engine::Behaviour {
        first_token: token_gap,
        cached_first_token: token_gap,
        token_gap,
        token_gap_per_request: Duration::ZERO,
        max_batch: 1_024,
        ..engine::Behaviour::default()
    }
}

fn store() -> Result<Memory, String> {
    let kv = Memory::new();
    let configuration: Configuration =
        serde_json::from_str(CONFIGURATION).map_err(|error| error.to_string())?;
    let publication = Publication {
        base: &StoredConfiguration::default(),
        configuration: &configuration,
        write_id: 1,
        floor: 0,
    };
    publish(&kv, &publication, PublishTiming::default()).map_err(|error| error.to_string())?;
    Ok(kv)
}

fn settings(process_id: &str, seeds: Vec<SocketAddr>) -> ProcessSettings {
    ProcessSettings {
        process_id: process_id.to_owned(),
        incarnation: new_incarnation(),
        availability_zone: "local".to_owned(),
        region: "local".to_owned(),
        fleet_key: FleetKey::new(*b"benchmark of the path"),
        link_listen: local(),
        gossip_listen: local(),
        operator_listen: local(),
        seeds,
        vm_list: None,
    }
}

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
