//! Fleet for tests: stand-ins, sidecars and entries in one process, connected over the loopback interface.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::fmt::Write;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sha2::Digest;
use tanagerford_core::config::{
    Class, Configuration, LatencyTarget, Model, Route, Service, Tier, Workspace,
};
use tanagerford_core::ids::Incarnation;
use tanagerford_http::Limits;
use tanagerford_kv::memory::Memory;
use tanagerford_link::FleetKey;
use tanagerford_node::config_feed::publish::{Publication, PublishTiming, publish};
use tanagerford_node::config_feed::store::read;
use tanagerford_node::process::{
    BackendSettings, CallerSettings, EntryProcess, ProcessSettings, SidecarProcess,
};
use tanagerford_node::sidecar::Backend;
use tanagerford_node::stop::StopSignal;
use tanagerford_standin::{engine, service};

/// API key of the workspace in the highest tier.
pub const KEY: &str = "press-key";

/// API key of the workspace in the lowest tier.
pub const LATE_KEY: &str = "late-key";

/// Time limit for reaching an expected state.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Running fleet with one entry, any number of engines and one plain service.
pub struct Fleet {
    pub kv: Arc<Memory>,
    pub engines: Vec<engine::Engine>,
    pub service: service::Service,
    pub sidecars: Vec<SidecarProcess>,
    pub entry: EntryProcess,
}

impl Fleet {
    /// Starts the fleet and waits until the entry has a link to every sidecar.
    pub fn start(
        engine_count: usize,
        behaviour: &engine::Behaviour,
        configuration: &Configuration,
    ) -> Self {
        let kv = Arc::new(Memory::new());
        publish_to(&kv, configuration);
        let engines: Vec<_> = (0..engine_count)
            .map(|_| engine::Engine::start(behaviour.clone()).expect("engine starts"))
            .collect();
        let service =
            service::Service::start(service::Behaviour::default()).expect("service starts");
        let entry = start_entry("entry-0", &kv, vec![]);
        let seeds = vec![entry.gossip_address()];
        let mut sidecars = Vec::new();
        for (index, engine) in engines.iter().enumerate() {
            let name = format!("engine-{index}");
            let backend = engine_backend(engine.address());
            sidecars.push(start_sidecar(&name, &backend, &kv, seeds.clone()));
        }
        let backend = service_backend(service.address());
        sidecars.push(start_sidecar("plates-0", &backend, &kv, seeds));
        let fleet = Self {
            kv,
            engines,
            service,
            sidecars,
            entry,
        };
        let expected = fleet.sidecars.len();
        wait_until(|| open_links(&fleet.entry) == expected);
        fleet
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry.address())
    }

    /// Sends a request and returns its complete answer, or the error of an interrupted transfer.
    pub fn post(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer, ureq::Error> {
        post_to(self.entry.address(), KEY, path, headers, body)
    }

    /// Starts a streamed chat request and returns the body of its answer.
    pub fn stream(&self, content: &str, tokens: u32) -> ureq::BodyReader<'static> {
        let response = agent()
            .post(self.url("/v1/chat/completions"))
            .header("Authorization", format!("Bearer {KEY}"))
            .send(chat_body(content, tokens, true))
            .expect("stream begins");
        assert_eq!(response.status().as_u16(), 200);
        response.into_body().into_reader()
    }
}

/// Complete answer to a request.
#[derive(Debug)]
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

pub fn post_to(
    address: SocketAddr,
    key: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Answer, ureq::Error> {
    let mut request = agent()
        .post(format!("http://{address}{path}"))
        .header("Authorization", format!("Bearer {key}"));
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

pub fn start_entry(name: &str, kv: &Arc<Memory>, seeds: Vec<SocketAddr>) -> EntryProcess {
    let callers = CallerSettings {
        listen: any_port(),
        limits: Limits::default(),
        balancer_notice: Duration::ZERO,
    };
    let settings = settings(name, 1, seeds);
    EntryProcess::start(
        &settings,
        callers,
        Arc::clone(kv) as _,
        StopSignal::default(),
    )
    .expect("entry starts")
}

pub fn start_sidecar(
    name: &str,
    backend: &BackendSettings,
    kv: &Arc<Memory>,
    seeds: Vec<SocketAddr>,
) -> SidecarProcess {
    restart_sidecar(name, 1, backend, kv, seeds)
}

pub fn restart_sidecar(
    name: &str,
    incarnation: Incarnation,
    backend: &BackendSettings,
    kv: &Arc<Memory>,
    seeds: Vec<SocketAddr>,
) -> SidecarProcess {
    let settings = settings(name, incarnation, seeds);
    SidecarProcess::start(
        &settings,
        backend,
        Arc::clone(kv) as _,
        StopSignal::default(),
    )
    .expect("sidecar starts")
}

pub fn engine_backend(address: SocketAddr) -> BackendSettings {
    BackendSettings {
        address,
        kind: Backend::Engine,
        pool: "engines".to_owned(),
    }
}

pub fn service_backend(address: SocketAddr) -> BackendSettings {
    BackendSettings {
        address,
        kind: Backend::Service,
        pool: "plates".to_owned(),
    }
}

pub fn settings(name: &str, incarnation: Incarnation, seeds: Vec<SocketAddr>) -> ProcessSettings {
    ProcessSettings {
        process_id: name.to_owned(),
        incarnation,
        availability_zone: "zone-a".to_owned(),
        region: "region-a".to_owned(),
        fleet_key: FleetKey::new(*b"fleet key of the tests"),
        link_listen: any_port(),
        gossip_listen: any_port(),
        operator_listen: any_port(),
        seeds,
        vm_list: None,
    }
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Publishes a configuration as an operator would.
pub fn publish_to(kv: &Memory, configuration: &Configuration) {
    let base = read(kv, WAIT_TIMEOUT).expect("key-value service responds");
    let publication = Publication {
        base: &base,
        configuration,
        write_id: base.head.head.generation + 1,
        floor: 0,
    };
    publish(kv, &publication, PublishTiming::default()).expect("configuration is published");
}

pub fn configuration() -> Configuration {
    let class = |name: &str, target| Class {
        name: name.to_owned(),
        target,
        priority: 0,
        longest_wait_ms: 10_000,
        max_in_flight: 256,
    };
    let tokens = LatencyTarget::Tokens {
        first_token_ms: 500,
        token_gap_ms: 38,
    };
    let tier = |name: &str, reserved_permille| Tier {
        name: name.to_owned(),
        weight: 1,
        reserved_permille,
    };
    let workspace = |name: &str, key: &str, tier: &str| Workspace {
        name: name.to_owned(),
        key_sha256: vec![key_sha256(key)],
        tier: tier.to_owned(),
    };
    Configuration {
        generation: 0,
        tiers: vec![tier("prompt", 500), tier("late", 100)],
        classes: vec![
            class("chat", tokens),
            class("orders", LatencyTarget::Call { total_ms: 2_000 }),
        ],
        workspaces: vec![
            workspace("press", KEY, "prompt"),
            workspace("arrears", LATE_KEY, "late"),
        ],
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

pub fn key_sha256(key: &str) -> String {
    let mut text = String::new();
    for byte in sha2::Sha256::digest(key) {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
    }
    text
}

pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(WAIT_TIMEOUT))
        .build()
        .new_agent()
}

/// Returns the state dump of the process whose operators' listener has the given address.
pub fn state(address: SocketAddr) -> serde_json::Value {
    let mut response = agent()
        .get(format!("http://{address}/state"))
        .call()
        .expect("state arrives");
    let text = response.body_mut().read_to_string().expect("state arrives");
    serde_json::from_str(&text).expect("state is JSON")
}

pub fn open_links(entry: &EntryProcess) -> usize {
    let state = state(entry.operator_address());
    let servers = state["servers"].as_array().expect("servers are listed");
    servers
        .iter()
        .filter(|server| server["link_open"] == true)
        .count()
}

/// Waits until `reached` returns true; fails the test after [`WAIT_TIMEOUT`].
pub fn wait_until(reached: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
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

/// Returns the text that the stand-in engine generates for [`chat_body`].
pub fn expected_text(content: &str, tokens: u32) -> String {
    let messages = serde_json::json!([{"role": "user", "content": content}]).to_string();
    (0..tokens)
        .map(|index| engine::token(&messages, index))
        .collect()
}

/// Reads one line of a stream, without its line feed.
pub fn read_line(source: &mut impl Read) -> String {
    let mut line = Vec::new();
    let mut byte = [0];
    while source.read(&mut byte).expect("stream continues") == 1 && byte[0] != b'\n' {
        line.push(byte[0]);
    }
    String::from_utf8(line).expect("line is UTF-8")
}
