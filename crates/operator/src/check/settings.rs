//! Settings of a process: its id, location, fleet and addresses and, for a sidecar, its backend server.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use tanagerford_core::config::Configuration;
use tanagerford_core::config::check::is_valid_name;
use tanagerford_core::config::document::{Cursor, Fields, Node};
use tanagerford_core::config::finding::{Findings, quote};
use tanagerford_core::ids::{PoolId, ServerId, ZoneId};

/// Minimum length of a fleet key. A key shorter than the output of HMAC-SHA-256 weakens it (RFC 2104, section 3).
const MIN_FLEET_KEY_BYTES: usize = 32;

/// Content of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Id of the process, unique in the fleet and kept over restarts.
    pub process_id: ServerId,
    /// Region of the availability zone. Entries use servers of other regions only if none of their own is usable.
    pub region: String,
    /// Availability zone of the VM that the process runs on.
    pub availability_zone: ZoneId,
    /// Secret that authenticates the processes of the fleet to each other; the same for all.
    pub fleet_key: FleetKey,
    /// Where the process reaches the services of the platform.
    pub platform: PlatformAddresses,
    /// Gossip addresses of members through which the process joins the fleet; empty for the first process.
    pub seeds: Vec<SocketAddr>,
    /// Entry or sidecar, with the settings of the role.
    pub role: Role,
}

/// Secret of the fleet; its `Debug` form does not contain it.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey(Vec<u8>);

/// Addresses of the services of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// Base URLs of the key-value service's JSON gateway, at least one.
    pub kv_endpoints: Vec<String>,
    /// Base URL of the VM list; `None` if the platform has none.
    pub vm_list: Option<String>,
}

/// Role of a process with its listeners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Accepts requests of callers and sends them to sidecars.
    Entry(EntryListeners),
    /// Runs beside a backend server and admits its work.
    Sidecar(SidecarListeners, Backend),
}

/// Addresses on which an entry listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryListeners {
    /// HTTP listener for callers.
    pub callers: SocketAddr,
    /// TCP listener for links of other processes, which fetch the configuration over them; an address that they can
    /// reach.
    pub link: SocketAddr,
    /// HTTP listener for operators; separate from `callers`.
    pub operators: SocketAddr,
    /// UDP socket for gossip; an address that other processes can reach.
    pub gossip: SocketAddr,
}

/// Addresses on which a sidecar listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SidecarListeners {
    /// TCP listener for links of entries; an address that other processes can reach.
    pub link: SocketAddr,
    /// HTTP listener for operators; separate from `link`.
    pub operators: SocketAddr,
    /// UDP socket for gossip; an address that other processes can reach.
    pub gossip: SocketAddr,
}

/// Backend server of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// HTTP address that the sidecar sends calls to.
    pub address: SocketAddr,
    /// Pool of the configuration that the backend server belongs to.
    pub pool: PoolId,
    /// Model engine or plain service.
    pub kind: BackendKind,
}

/// Kind of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendKind {
    /// Engine that generates tokens.
    Engine {
        /// Models that the engine can serve, at least one.
        models: Vec<String>,
    },
    /// HTTP service that answers calls as a whole.
    Service,
}

impl FleetKey {
    /// Returns the secret itself, which must not be logged.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FleetKey(..)")
    }
}

impl Settings {
    /// Returns the address of the operators' listener in either role.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        match &self.role {
            Role::Entry(listen) => listen.operators,
            Role::Sidecar(listen, _) => listen.operators,
        }
    }

    /// Returns the address of the gossip socket in either role.
    #[must_use]
    pub fn gossip(&self) -> SocketAddr {
        match &self.role {
            Role::Entry(listen) => listen.gossip,
            Role::Sidecar(listen, _) => listen.gossip,
        }
    }

    /// Checks that the configuration has the pool of a sidecar and, in it, the models of its engine.
    pub fn check_against(&self, configuration: &Configuration, findings: &mut Findings) {
        let Role::Sidecar(_, backend) = &self.role else {
            return;
        };
        let BackendKind::Engine { models } = &backend.kind else {
            if !configuration
                .services
                .iter()
                .any(|service| service.pool == backend.pool)
            {
                let found = quote(&backend.pool);
                findings.add_at("/backend/pool", "the pool of a service", found);
            }
            return;
        };
        let known = configuration
            .models
            .iter()
            .filter(|model| model.pool == backend.pool);
        let known: BTreeSet<&str> = known.map(|model| model.name.as_str()).collect();
        if known.is_empty() {
            findings.add_at("/backend/pool", "the pool of a model", quote(&backend.pool));
            return;
        }
        for (position, model) in models.iter().enumerate() {
            if !known.contains(model.as_str()) {
                let expected = format!("a model of the pool {}", quote(&backend.pool));
                findings.add_at(
                    &format!("/backend/models/{position}"),
                    expected,
                    quote(model),
                );
            }
        }
    }
}

/// Decodes and checks settings.
///
/// # Errors
///
/// Returns all findings if there is at least one.
///
/// ```
/// use tanagerford_operator::check::settings::decode;
///
/// let findings = decode(br#"{"process_id": "entry 1"}"#).unwrap_err();
/// assert_eq!(findings.list()[0].location.to_string(), "/process_id");
/// ```
pub fn decode(text: &[u8]) -> Result<Settings, Findings> {
    let mut findings = Findings::default();
    let settings = match Node::parse(text) {
        Ok(node) => Cursor::root(&node, &mut findings)
            .object(settings)
            .flatten(),
        Err(finding) => {
            findings.add(finding.location, finding.expected, finding.found);
            None
        }
    };
    match settings {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(findings),
    }
}

// Each decoder reads all fields before it returns because of a missing one, so that one pass reports all findings.

fn settings(fields: &mut Fields<'_>) -> Option<Settings> {
    let process_id = name(fields, "process_id");
    let region = name(fields, "region");
    let availability_zone = name(fields, "availability_zone");
    let fleet_key = fields.field("fleet_key").and_then(fleet_key);
    let platform = fields
        .field("platform")
        .and_then(|cursor| cursor.object(platform)?);
    let seeds = fields
        .field("seeds")
        .and_then(|cursor| addresses(cursor, address));
    let role = role(fields);
    Some(Settings {
        process_id: process_id?,
        region: region?,
        availability_zone: availability_zone?,
        fleet_key: fleet_key?,
        platform: platform?,
        seeds: seeds?,
        role: role?,
    })
}

fn role(fields: &mut Fields<'_>) -> Option<Role> {
    let role = fields.field("role").and_then(role_name);
    let Some(role) = role else {
        // Marks the fields of both roles as read, so that they are not reported as unknown.
        fields.optional("listen");
        fields.optional("backend");
        return None;
    };
    if role == "entry" {
        let listen = fields.field("listen")?.object(entry_listeners)?;
        return listen.map(Role::Entry);
    }
    let listen = fields
        .field("listen")
        .and_then(|cursor| cursor.object(sidecar_listeners)?);
    let backend = fields
        .field("backend")
        .and_then(|cursor| cursor.object(backend)?);
    Some(Role::Sidecar(listen?, backend?))
}

fn role_name(cursor: Cursor<'_>) -> Option<&'static str> {
    match cursor.peek_text() {
        Some("entry") => Some("entry"),
        Some("sidecar") => Some("sidecar"),
        _ => cursor.expected("\"entry\" or \"sidecar\""),
    }
}

fn entry_listeners(fields: &mut Fields<'_>) -> Option<EntryListeners> {
    let callers = fields.field("callers").and_then(address);
    let link = fields.field("link").and_then(reachable_address);
    let operators = fields.field("operators").and_then(address);
    let gossip = fields.field("gossip").and_then(reachable_address);
    let listeners = EntryListeners {
        callers: callers?,
        link: link?,
        operators: operators?,
        gossip: gossip?,
    };
    // Callers can neither reach the operators' listener nor use up its connections.
    if listeners.callers == listeners.operators && listeners.callers.port() != 0 {
        let found = listeners.callers.to_string();
        return fields.expected("different addresses for callers and operators", found);
    }
    Some(listeners)
}

fn sidecar_listeners(fields: &mut Fields<'_>) -> Option<SidecarListeners> {
    let link = fields.field("link").and_then(reachable_address);
    let operators = fields.field("operators").and_then(address);
    let gossip = fields.field("gossip").and_then(reachable_address);
    let listeners = SidecarListeners {
        link: link?,
        operators: operators?,
        gossip: gossip?,
    };
    if listeners.link == listeners.operators && listeners.link.port() != 0 {
        let found = listeners.link.to_string();
        return fields.expected("different addresses for links and operators", found);
    }
    Some(listeners)
}

fn platform(fields: &mut Fields<'_>) -> Option<PlatformAddresses> {
    let kv_endpoints = fields
        .field("kv_endpoints")
        .and_then(|cursor| addresses(cursor, url));
    let vm_list = match fields.optional("vm_list") {
        None => Some(None),
        Some(cursor) => url(cursor).map(Some),
    };
    let kv_endpoints = kv_endpoints?;
    if kv_endpoints.is_empty() {
        return fields.expected("at least one address in kv_endpoints", "none");
    }
    Some(PlatformAddresses {
        kv_endpoints,
        vm_list: vm_list?,
    })
}

fn backend(fields: &mut Fields<'_>) -> Option<Backend> {
    let address = fields.field("address").and_then(address);
    let pool = name(fields, "pool");
    let kind = fields.field("kind").and_then(backend_kind);
    let models = fields.has("models").then(|| fields.text_list("models"));
    let kind = match (kind?, models) {
        ("engine", Some(models)) => BackendKind::Engine { models: models? },
        ("engine", None) => return fields.expected("the field \"models\" of an engine", "none"),
        (_, None) => BackendKind::Service,
        (_, Some(_)) => return fields.expected("no field \"models\" of a service", "one"),
    };
    if kind == (BackendKind::Engine { models: Vec::new() }) {
        return fields.expected("at least one model of an engine", "none");
    }
    Some(Backend {
        address: address?,
        pool: pool?,
        kind,
    })
}

fn backend_kind(cursor: Cursor<'_>) -> Option<&'static str> {
    match cursor.peek_text() {
        Some("engine") => Some("engine"),
        Some("service") => Some("service"),
        _ => cursor.expected("\"engine\" or \"service\""),
    }
}

fn name(fields: &mut Fields<'_>, field: &'static str) -> Option<String> {
    let cursor = fields.field(field)?;
    match cursor.peek_text() {
        Some(text) if is_valid_name(text) => cursor.text(),
        _ => cursor.expected("a name of letters, digits, '.', '_' or '-'"),
    }
}

fn fleet_key(cursor: Cursor<'_>) -> Option<FleetKey> {
    let length = cursor.peek_text().map(str::len);
    match length {
        Some(length) if length < MIN_FLEET_KEY_BYTES => {
            // The finding does not contain the secret.
            let expected = format!("a key of at least {MIN_FLEET_KEY_BYTES} bytes");
            cursor.expected_instead(expected, format!("{length} bytes"))
        }
        _ => cursor.text().map(|text| FleetKey(text.into_bytes())),
    }
}

fn address(cursor: Cursor<'_>) -> Option<SocketAddr> {
    let parsed = cursor.peek_text().and_then(|text| text.parse().ok());
    parsed.or_else(|| cursor.expected("an IP address and port, as 10.0.0.1:7100"))
}

/// Reads an address that the process announces to other processes. It must name one interface, so `0.0.0.0` and `[::]`
/// are refused.
fn reachable_address(cursor: Cursor<'_>) -> Option<SocketAddr> {
    let parsed = cursor.peek_text().and_then(|text| text.parse().ok());
    match parsed {
        Some(address) if is_unspecified(address) => {
            cursor.expected("an address that other processes can reach")
        }
        _ => address(cursor),
    }
}

fn is_unspecified(address: SocketAddr) -> bool {
    address.ip().is_unspecified()
}

/// Reads a URL of `http://`, an IP address and a port. Processes resolve no host names, and the platform offers no TLS.
fn url(cursor: Cursor<'_>) -> Option<String> {
    let host = cursor
        .peek_text()
        .and_then(|text| text.strip_prefix("http://"));
    let is_url = host.is_some_and(|host| {
        host.strip_suffix('/')
            .unwrap_or(host)
            .parse::<SocketAddr>()
            .is_ok()
    });
    if !is_url {
        return cursor.expected("an address as http://10.0.0.1:2379");
    }
    cursor.text()
}

fn addresses<T>(cursor: Cursor<'_>, read: impl Fn(Cursor<'_>) -> Option<T>) -> Option<Vec<T>> {
    let items = cursor.list(read)?;
    items.into_iter().collect()
}
