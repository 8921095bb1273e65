//! Settings of a process: its addresses, its place, its fleet and, for a sidecar, its backend server.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use tanagerford_core::config::Configuration;
use tanagerford_core::config::check::is_valid_name;
use tanagerford_core::config::document::{Cursor, Fields, Node};
use tanagerford_core::config::finding::{Findings, quote};
use tanagerford_core::ids::{PoolId, ServerId, ZoneId};

/// Shortest fleet key, in bytes; HMAC-SHA-256 gains nothing from fewer than its output has (RFC 2104, section 3).
pub const MIN_FLEET_KEY_BYTES: usize = 32;

/// Settings of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the process, unique in the fleet.
    pub process_id: ServerId,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub availability_zone: ZoneId,
    /// Key that the processes of the fleet share.
    pub fleet_key: FleetKey,
    /// Addresses of the platform.
    pub platform: Platform,
    /// Gossip addresses of some members.
    pub seeds: Vec<SocketAddr>,
    /// Role of the process.
    pub role: Role,
}

/// Key of the fleet; it is not shown.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey(Vec<u8>);

/// Addresses of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Base addresses of the key-value service's JSON gateway.
    pub kv_endpoints: Vec<String>,
    /// Base address of the VM list, if the platform has one.
    pub vm_list: Option<String>,
}

/// Role of a process, with its listeners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Accepts callers.
    Entry(EntryListen),
    /// Runs beside a backend server.
    Sidecar(SidecarListen, Backend),
}

/// Listeners of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryListen {
    /// Callers (HTTP).
    pub callers: SocketAddr,
    /// Links of other processes, which ask for the configuration (TCP).
    pub link: SocketAddr,
    /// Operators (HTTP).
    pub operators: SocketAddr,
    /// Gossip (UDP).
    pub gossip: SocketAddr,
}

/// Listeners of a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SidecarListen {
    /// Links of entries (TCP).
    pub link: SocketAddr,
    /// Operators (HTTP).
    pub operators: SocketAddr,
    /// Gossip (UDP).
    pub gossip: SocketAddr,
}

/// Backend server of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Address (HTTP).
    pub address: SocketAddr,
    /// Pool that the backend server belongs to.
    pub pool: PoolId,
    /// Kind.
    pub kind: BackendKind,
}

/// Kind of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendKind {
    /// Model engine with the models that it can serve.
    Engine {
        /// Names of the models.
        models: Vec<String>,
    },
    /// Plain service.
    Service,
}

impl FleetKey {
    /// Returns the key's bytes.
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
    /// Returns the operators' address of the process.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        match &self.role {
            Role::Entry(listen) => listen.operators,
            Role::Sidecar(listen, _) => listen.operators,
        }
    }

    /// Returns the gossip address of the process.
    #[must_use]
    pub fn gossip(&self) -> SocketAddr {
        match &self.role {
            Role::Entry(listen) => listen.gossip,
            Role::Sidecar(listen, _) => listen.gossip,
        }
    }

    /// Checks that a sidecar's pool and models are those of the configuration.
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

/// Reads and checks settings.
///
/// # Errors
///
/// Returns all findings if there is any.
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

// Each reader asks for all fields before it gives up on a missing one, so that one pass reports all of them.

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
        // Without a known role, the fields of a role are not reported as unknown.
        fields.optional("listen");
        fields.optional("backend");
        return None;
    };
    if role == "entry" {
        let listen = fields.field("listen")?.object(entry_listen)?;
        return listen.map(Role::Entry);
    }
    let listen = fields
        .field("listen")
        .and_then(|cursor| cursor.object(sidecar_listen)?);
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

fn entry_listen(fields: &mut Fields<'_>) -> Option<EntryListen> {
    let callers = fields.field("callers").and_then(address);
    let link = fields.field("link").and_then(own_address);
    let operators = fields.field("operators").and_then(address);
    let gossip = fields.field("gossip").and_then(own_address);
    let listen = EntryListen {
        callers: callers?,
        link: link?,
        operators: operators?,
        gossip: gossip?,
    };
    // The operators' listener is separate, so that callers can neither reach nor fill it.
    if listen.callers == listen.operators && listen.callers.port() != 0 {
        let found = listen.callers.to_string();
        return fields.expected("different addresses for callers and operators", found);
    }
    Some(listen)
}

fn sidecar_listen(fields: &mut Fields<'_>) -> Option<SidecarListen> {
    let link = fields.field("link").and_then(own_address);
    let operators = fields.field("operators").and_then(address);
    let gossip = fields.field("gossip").and_then(own_address);
    let listen = SidecarListen {
        link: link?,
        operators: operators?,
        gossip: gossip?,
    };
    if listen.link == listen.operators && listen.link.port() != 0 {
        let found = listen.link.to_string();
        return fields.expected("different addresses for links and operators", found);
    }
    Some(listen)
}

fn platform(fields: &mut Fields<'_>) -> Option<Platform> {
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
    Some(Platform {
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
            // The finding does not repeat a secret.
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

/// Accepts an address of this process that the other processes are told to use, so that it must name one interface.
fn own_address(cursor: Cursor<'_>) -> Option<SocketAddr> {
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

/// Accepts `http://` with an IP address and port; processes resolve no names and the platform offers no TLS.
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
