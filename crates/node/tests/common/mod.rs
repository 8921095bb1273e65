//! Small fleet for tests: stand-ins, sidecars and an entry in one process, connected over loopback.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tanagerford_core::config::active::ActiveConfiguration;
use tanagerford_core::config::{
    Class, Configuration, LatencyTarget, Model, Route, Service, Tier, Workspace,
};
use tanagerford_core::order::Owner;
use tanagerford_http::Limits;
use tanagerford_link::{FleetKey, Identity};
use tanagerford_node::entry::{Entry, EntrySettings};
use tanagerford_node::links::Target;
use tanagerford_node::orders::{OrderLog, OrderSettings};
use tanagerford_node::sidecar::{Backend, Sidecar, SidecarSettings};
use tanagerford_platform::kv::Kv;
use tanagerford_platform::memory::Memory;
use tanagerford_standin::{engine, service};

/// API key of the workspace in the highest tier.
pub const KEY: &str = "press-key";

/// Longest time that a test waits for a state that must come.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Running fleet.
pub struct Fleet {
    pub engines: Vec<engine::Engine>,
    pub service: service::Service,
    pub sidecars: Vec<Sidecar>,
    pub entry: Entry,
}

pub fn identity(process_id: &str) -> Identity {
    Identity {
        process_id: process_id.to_owned(),
        incarnation: 1,
        availability_zone: "zone-a".to_owned(),
    }
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn fleet_key() -> FleetKey {
    FleetKey::new(*b"fleet key of the tests")
}

pub fn key_sha256(key: &str) -> String {
    use sha2::Digest;
    use std::fmt::Write;
    let mut text = String::new();
    for byte in sha2::Sha256::digest(key) {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
    }
    text
}

pub fn configuration() -> Configuration {
    let class = |name: &str, target| Class {
        name: name.to_owned(),
        target,
        priority: 0,
        longest_wait_ms: 10_000,
        max_in_flight: 256,
    };
    Configuration {
        generation: 1,
        tiers: vec![Tier {
            name: "gold".to_owned(),
            weight: 1,
            reserved_permille: 100,
        }],
        classes: vec![
            class(
                "chat",
                LatencyTarget::Tokens {
                    first_token_ms: 500,
                    token_gap_ms: 38,
                },
            ),
            class("orders", LatencyTarget::Call { total_ms: 2_000 }),
        ],
        workspaces: vec![Workspace {
            name: "press".to_owned(),
            key_sha256: vec![key_sha256(KEY)],
            tier: "gold".to_owned(),
        }],
        models: vec![Model {
            name: "preflight".to_owned(),
            pool: "engines".to_owned(),
            class: "chat".to_owned(),
            resumable: false,
            checks_fencing: false,
        }],
        services: vec![Service {
            name: "plates".to_owned(),
            pool: "plates".to_owned(),
            class: "orders".to_owned(),
            concurrency: 8,
            routes: vec![Route {
                method: "POST".to_owned(),
                path_prefix: "/orders".to_owned(),
                class: "orders".to_owned(),
                repeatable: false,
            }],
        }],
    }
}

impl Fleet {
    /// Starts `engine_count` engines and one plain service with their sidecars, and an entry.
    pub fn start(
        engine_count: usize,
        behaviour: &engine::Behaviour,
        configuration: Configuration,
    ) -> Self {
        let engines: Vec<_> = (0..engine_count)
            .map(|_| engine::Engine::start(behaviour.clone()).expect("engine starts"))
            .collect();
        let service =
            service::Service::start(service::Behaviour::default()).expect("service starts");
        let mut sidecars = Vec::new();
        let mut targets = Vec::new();
        for (index, engine) in engines.iter().enumerate() {
            let name = format!("engine-{index}");
            let sidecar = sidecar(&name, engine.address(), Backend::Engine, None);
            targets.push(target(&name, "engines", sidecar.address()));
            sidecars.push(sidecar);
        }
        let backend = Backend::Service { concurrency: 8 };
        let orders = Some(orders("plates-0"));
        let sidecar = sidecar("plates-0", service.address(), backend, orders);
        targets.push(target("plates-0", "plates", sidecar.address()));
        sidecars.push(sidecar);
        let entry = Entry::start(
            EntrySettings {
                identity: identity("entry-0"),
                fleet_key: fleet_key(),
                listen: any_port(),
                limits: Limits::default(),
                zone: "zone-a".to_owned(),
                balancer_notice: Duration::ZERO,
            },
            ActiveConfiguration::new(configuration).expect("configuration is valid"),
        )
        .expect("entry starts");
        let expected = targets.len();
        entry.set_targets(targets);
        wait_until(|| entry.open_links() == expected);
        Self {
            engines,
            service,
            sidecars,
            entry,
        }
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry.address())
    }

    /// Sends a request and returns its status, its headers and its whole body, or the error of a cut transfer.
    pub fn post(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer, ureq::Error> {
        let mut request = agent()
            .post(self.url(path))
            .header("Authorization", format!("Bearer {KEY}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let mut response = request.send(body)?;
        let text = response.body_mut().read_to_string()?;
        Ok(Answer {
            status: response.status().as_u16(),
            headers: response.headers().clone(),
            text,
        })
    }
}

/// Whole answer.
pub struct Answer {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub text: String,
}

impl Answer {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.text).expect("answer is JSON")
    }
}

pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build()
        .new_agent()
}

pub fn sidecar(
    name: &str,
    backend_address: SocketAddr,
    backend: Backend,
    orders: Option<Arc<OrderLog>>,
) -> Sidecar {
    let settings = SidecarSettings {
        identity: identity(name),
        fleet_key: fleet_key(),
        listen: any_port(),
        backend_address,
        backend,
    };
    let sidecar = Sidecar::start(&settings, orders).expect("sidecar starts");
    sidecar.set_configuration(&configuration());
    sidecar
}

/// Returns an order log over a key-value store of its own.
pub fn orders(name: &str) -> Arc<OrderLog> {
    orders_in(Arc::new(Memory::new()), name)
}

/// Returns the order log of the sidecar `name` over `kv`.
pub fn orders_in(kv: Arc<dyn Kv>, name: &str) -> Arc<OrderLog> {
    let owner = Owner {
        server: name.to_owned(),
        incarnation: 1,
    };
    Arc::new(OrderLog::start(kv, OrderSettings::new("plates", owner)))
}

pub fn target(server: &str, pool: &str, address: SocketAddr) -> Target {
    Target {
        server: server.to_owned(),
        pool: pool.to_owned(),
        zone: "zone-a".to_owned(),
        address,
        incarnation: 1,
        leaving: false,
    }
}

/// Waits for a state that must come; fails the test when it does not.
pub fn wait_until(reached: impl Fn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !reached() {
        assert!(Instant::now() < deadline, "state was not reached");
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub fn chat_body(content: &str, tokens: u32, stream: bool) -> String {
    serde_json::json!({
        "model": "preflight",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
        "stream": stream,
    })
    .to_string()
}

/// Text that the stand-in engine generates for [`chat_body`].
pub fn expected_text(content: &str, tokens: u32) -> String {
    let messages = serde_json::json!([{"role": "user", "content": content}]).to_string();
    (0..tokens)
        .map(|index| engine::token(&messages, index))
        .collect()
}

/// Reads one line of a stream.
pub fn read_line(source: &mut impl Read) -> String {
    let mut line = Vec::new();
    let mut byte = [0];
    while source.read(&mut byte).expect("stream goes on") == 1 && byte[0] != b'\n' {
        line.push(byte[0]);
    }
    String::from_utf8(line).expect("line is UTF-8")
}
