//! Runs stand-ins for the key-value service, an engine and a plain service on loopback, so that entry and sidecars can
//! be tried out as separate processes. The stand-ins store nothing on disk.
//!
//! Usage: `cargo run --release --example standins -- DIRECTORY`
//!
//! Writes settings for one entry and two sidecars of the example configuration `docs/examples/zarqa.json` into the
//! directory, prints the URL of the key-value service, and runs until it is killed.

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
const ENTRY_GOSSIP_ADDRESS: &str = "127.0.0.1:7102";

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
        "gossip": ENTRY_GOSSIP_ADDRESS,
    });
    write_settings(directory, "entry-0", &kv, &entry, None)?;
    let backend = engine_backend(engine.address());
    write_settings(
        directory,
        "engine-0",
        &kv,
        &sidecar_listen(7200),
        Some(&backend),
    )?;
    let backend = service_backend(service.address());
    write_settings(
        directory,
        "orders-0",
        &kv,
        &sidecar_listen(7300),
        Some(&backend),
    )?;
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

/// Returns the listen addresses of a sidecar, which uses `port` and the two ports after it.
fn sidecar_listen(port: u16) -> Value {
    json!({
        "operators": format!("127.0.0.1:{port}"),
        "link": format!("127.0.0.1:{}", port + 1),
        "gossip": format!("127.0.0.1:{}", port + 2),
    })
}

/// Writes the settings file of a process. Without `backend` the process is an entry, otherwise a sidecar.
fn write_settings(
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
        "seeds": if backend.is_some() { vec![ENTRY_GOSSIP_ADDRESS] } else { vec![] },
        "listen": listen,
    });
    if let Some(backend) = backend {
        settings["backend"] = backend.clone();
    }
    let file = directory.join(format!("{process_id}.json"));
    fs::write(file, serde_json::to_string_pretty(&settings)?)?;
    Ok(())
}
