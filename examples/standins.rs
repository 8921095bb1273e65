//! Runs stand-ins for the key-value service, an engine and a plain service on loopback, for trying out entry and
//! sidecars as separate processes. They remember nothing after they end.
//!
//! Usage: `cargo run --release --example standins -- DIRECTORY`
//!
//! Writes settings for one entry and two sidecars of the example configuration `docs/examples/zarqa.json` into the
//! directory, prints the address of the key-value service, and runs until it is killed.

use std::error::Error;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::{env, fs, io, thread};

use serde_json::{Value, json};
use tanagerford_kv::memory::Memory;
use tanagerford_standin::kv::KvStandin;
use tanagerford_standin::{engine, service};

/// Gossip address of the entry, which is the seed of the sidecars.
const ENTRY_GOSSIP: &str = "127.0.0.1:7102";

fn main() -> Result<(), Box<dyn Error>> {
    let directory = env::args()
        .nth(1)
        .ok_or("usage: standins DIRECTORY (for the settings)")?;
    let directory = Path::new(&directory);
    let kv = KvStandin::start(Memory::new())?;
    let engine = engine::Engine::start(engine::Behaviour::default())?;
    let service = service::Service::start(service::Behaviour::default())?;
    let entry = json!({
        "callers": "127.0.0.1:8080",
        "link": "127.0.0.1:7101",
        "operators": "127.0.0.1:7100",
        "gossip": ENTRY_GOSSIP,
    });
    write(directory, "entry-0", &kv, &entry, None)?;
    let backend = engine_backend(engine.address());
    write(directory, "engine-0", &kv, &listen(7200), Some(&backend))?;
    let backend = service_backend(service.address());
    write(directory, "orders-0", &kv, &listen(7300), Some(&backend))?;
    writeln!(io::stdout(), "{}", kv.url())?;
    loop {
        thread::park();
    }
}

fn engine_backend(address: SocketAddr) -> Value {
    json!({
        "address": address.to_string(),
        "kind": "engine",
        "pool": "prepress",
        "models": ["preflight-check", "proof-notes"],
    })
}

fn service_backend(address: SocketAddr) -> Value {
    json!({"address": address.to_string(), "kind": "service", "pool": "plate-orders"})
}

/// Returns the listeners of a sidecar on three ports from `port` on.
fn listen(port: u16) -> Value {
    json!({
        "operators": format!("127.0.0.1:{port}"),
        "link": format!("127.0.0.1:{}", port + 1),
        "gossip": format!("127.0.0.1:{}", port + 2),
    })
}

fn write(
    directory: &Path,
    process_id: &str,
    kv: &KvStandin,
    listen: &Value,
    backend: Option<&Value>,
) -> Result<(), Box<dyn Error>> {
    let mut settings = json!({
        "process_id": process_id,
        "role": if backend.is_some() { "sidecar" } else { "entry" },
        "fleet_key": "fleet key for trying out, 32 bytes or more",
        "region": "local",
        "availability_zone": "local-1",
        "platform": {"kv_endpoints": [kv.url()]},
        "seeds": if backend.is_some() { vec![ENTRY_GOSSIP] } else { vec![] },
        "listen": listen,
    });
    if let Some(backend) = backend {
        settings["backend"] = backend.clone();
    }
    let file = directory.join(format!("{process_id}.json"));
    fs::write(file, serde_json::to_string_pretty(&settings)?)?;
    Ok(())
}
