//! Configuration of the router: tiers, classes, workspaces, models and services.
//!
//! [`decode`] reads a configuration from JSON text and reports all findings together, [`section`] splits it into the
//! sections that processes exchange, and [`active`] indexes it for the request path.

pub mod active;
pub mod check;
pub mod decode;
pub mod document;
pub mod finding;
pub mod section;

use serde::{Deserialize, Serialize};

use crate::ids::{ClassId, Generation, PoolId, TierId, WorkspaceId};

/// Complete configuration of one generation, as operators publish it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Generation under which the configuration was accepted; 0 before the first one.
    #[serde(default)]
    pub generation: Generation,
    /// Service tiers, highest first. The index is the [`TierId`].
    pub tiers: Vec<Tier>,
    /// Request classes, in no particular order.
    pub classes: Vec<Class>,
    /// Workspaces, the customers of the router.
    pub workspaces: Vec<Workspace>,
    /// Models and the pools that serve them.
    pub models: Vec<Model>,
    /// Plain services and the pools that serve them.
    pub services: Vec<Service>,
}

/// Service tier, which determines the share of capacity of its workspaces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Name by which workspaces and the tier sheet refer to the tier.
    pub name: String,
    /// Weight of the tier in the division of spare capacity; at least 1.
    pub weight: u32,
    /// Share of each backend server that is reserved for this tier, in thousandths; at least 1, and at most 1000 over
    /// all tiers.
    pub reserved_permille: u32,
}

/// Class of requests with a common latency target and priority.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, as in the `Tanagerford-Class` header.
    pub name: ClassId,
    /// Latency within which the entry tries to respond to the requests of the class.
    pub target: LatencyTarget,
    /// Priority within a tier; 0 is the highest.
    pub priority: u8,
    /// Maximum time that a request waits before it starts, in milliseconds.
    pub longest_wait_ms: u64,
    /// Maximum number of requests of this class in flight at one entry.
    pub max_in_flight: u32,
}

/// Latency target of a class.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum LatencyTarget {
    /// Target of streamed model responses.
    Tokens {
        /// Time to the first token, in milliseconds.
        first_token_ms: u64,
        /// Time between tokens, in milliseconds.
        token_gap_ms: u64,
    },
    /// Target of a complete call.
    Call {
        /// Time to the complete response, in milliseconds.
        total_ms: u64,
    },
}

/// Workspace: a customer of the router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name, as in the tier sheet.
    pub name: WorkspaceId,
    /// SHA-256 hashes of the workspace's API keys, in lowercase hexadecimal. A key belongs to one workspace.
    pub key_sha256: Vec<String>,
    /// Name of a tier of [`Configuration::tiers`].
    pub tier: String,
}

/// Language model that callers can request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name, as in the requests of callers.
    pub name: String,
    /// Pool of the engines that serve the model.
    pub pool: PoolId,
    /// Class of requests without a class header.
    pub class: ClassId,
    /// Whether an engine can resume a stream that another engine began. Default: `false`.
    #[serde(default)]
    pub resumable: bool,
    /// Whether the engines refuse an order with an outdated fencing token. Default: `false`.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Service whose calls are not model requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, which is the first segment of the path of a call; any but `v1`.
    pub name: String,
    /// Pool of the backend servers that serve the calls; it serves no model.
    pub pool: PoolId,
    /// Class of calls that match no route.
    pub class: ClassId,
    /// Maximum number of concurrent calls per backend server; at least 1.
    pub concurrency: u32,
    /// Routes in order of precedence: the first match applies. Default: none.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// Settings of the calls of a service that match a method and a path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method in upper case, or `*` for any.
    pub method: String,
    /// Prefix of the part of the path that follows the service's name; begins with `/`.
    pub path_prefix: String,
    /// Class of the matching calls.
    pub class: ClassId,
    /// Whether repeating a call has no further effect, so that a failed call may be retried.
    pub repeatable: bool,
}

impl Configuration {
    /// Returns the index of the tier called `name`.
    #[must_use]
    pub fn tier_id(&self, name: &str) -> Option<TierId> {
        let index = self.tiers.iter().position(|tier| tier.name == name)?;
        TierId::try_from(index).ok()
    }

    /// Returns the class called `name`, or `None` if there is none.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }
}
