//! System under test: one entry, sidecars and stand-ins for backend servers.

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

/// Number of stand-in engines. Admission allows at least 16 concurrent requests per engine from the start, so that the
/// requests of 64 callers do not wait.
pub const ENGINES: usize = 8;

/// Number of backend servers of the plain service.
pub const SERVICES: usize = 2;

/// Time limit for the entry to open its links.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// API key of the workspace. The configuration below contains its SHA-256 hash.
pub const API_KEY: &str = "demo-key";

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

/// Entry, sidecars and stand-ins, all running in this process.
pub struct Fleet {
    pub engines: Vec<engine::Engine>,
    pub services: Vec<service::Service>,
    entry: EntryProcess,
    _sidecars: Vec<SidecarProcess>,
}

impl Fleet {
    /// Starts the stand-ins, the entry and the sidecars, and waits until the entry has a link to each sidecar.
    ///
    /// # Errors
    ///
    /// Fails if one of them cannot start or if the links are not open within 10 s.
    pub fn start() -> Result<Self, String> {
        let kv = Arc::new(key_value_service()?);
        let engines = (0..ENGINES)
            .map(|_| engine::Engine::start(behaviour(Duration::ZERO)))
            .collect::<Result<Vec<_>, _>>()
            .map_err(|error| error.to_string())?;
        let services = (0..SERVICES)
            .map(|_| service::Service::start(service::Behaviour::default()))
            .collect::<Result<Vec<_>, _>>()
            .map_err(|error| error.to_string())?;
        let callers = CallerSettings {
            listen: loopback(),
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
        fleet.wait_for_links()?;
        Ok(fleet)
    }

    /// Returns the address at which the entry accepts requests.
    pub fn entry_address(&self) -> SocketAddr {
        self.entry.address()
    }

    /// Sets the time that the engines take for each token, the first one included.
    pub fn set_token_gap(&self, token_gap: Duration) {
        for engine in &self.engines {
            engine.set_behaviour(behaviour(token_gap));
        }
    }

    fn wait_for_links(&self) -> Result<(), String> {
        let deadline = Instant::now() + START_TIMEOUT;
        while self.open_links() < ENGINES + SERVICES {
            if Instant::now() >= deadline {
                return Err(format!(
                    "entry did not open its links within {START_TIMEOUT:?}"
                ));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Returns the number of open links in the state dump of the entry, or 0 if the dump cannot be read.
    fn open_links(&self) -> usize {
        let address = self.entry.operator_address();
        let response = ureq::get(format!("http://{address}/state")).call();
        let text = response.and_then(|mut response| response.body_mut().read_to_string());
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

/// Returns the behaviour of an engine that takes `token_gap` for each token, the first one included.
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

/// Returns an in-memory key-value service that holds the configuration.
fn key_value_service() -> Result<Memory, String> {
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
        link_listen: loopback(),
        gossip_listen: loopback(),
        operator_listen: loopback(),
        seeds,
        vm_list: None,
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
