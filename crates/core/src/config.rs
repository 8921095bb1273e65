//! Configuration of the router: tiers, classes, workspaces, models and services.
//!
//! [`decode`] reads a configuration from text and reports all findings together, [`section`] cuts it into the sections
//! that processes exchange, and [`active`] indexes it for the request path.

pub mod active;
pub mod check;
pub mod decode;
pub mod document;
pub mod finding;
pub mod section;

use serde::{Deserialize, Serialize};

use crate::ids::{ClassId, Generation, PoolId, TierId, WorkspaceId};

/// Everything that operators configure, under one generation.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Generation under which the configuration was accepted; 0 before the first one.
    #[serde(default)]
    pub generation: Generation,
    /// Service tiers, the highest first. The index is the [`TierId`].
    pub tiers: Vec<Tier>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Workspaces, the customers of the router.
    pub workspaces: Vec<Workspace>,
    /// Models and the pools that serve them.
    pub models: Vec<Model>,
    /// Plain services and the pools that serve them.
    pub services: Vec<Service>,
}

/// A service tier.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Name, as the tier sheet uses it.
    pub name: String,
    /// Weight among the tiers when capacity is left over.
    pub weight: u32,
    /// Share of each backend server that is kept for this tier, in thousandths.
    pub reserved_permille: u32,
}

/// A class of requests with its own latency target and priority.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, as the `Tanagerford-Class` header uses it.
    pub name: ClassId,
    /// Latency target.
    pub target: LatencyTarget,
    /// Priority inside a tier; 0 is the highest.
    pub priority: u8,
    /// Longest time that a request waits before it starts, in milliseconds.
    pub longest_wait_ms: u64,
    /// Largest count of requests of this class in flight at one entry.
    pub max_in_flight: u32,
}

/// Latency target of a class.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum LatencyTarget {
    /// Target of streamed model answers.
    Tokens {
        /// Time to the first token, in milliseconds.
        first_token_ms: u64,
        /// Time between tokens, in milliseconds.
        token_gap_ms: u64,
    },
    /// Target of a whole call.
    Call {
        /// Time to the whole answer, in milliseconds.
        total_ms: u64,
    },
}

/// A workspace, the unit of customers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name, as the tier sheet uses it.
    pub name: WorkspaceId,
    /// SHA-256 hashes of the workspace's API keys, in lower-case hexadecimal.
    pub key_sha256: Vec<String>,
    /// Name of the tier.
    pub tier: String,
}

/// A model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name, as callers use it.
    pub name: String,
    /// Pool of engines that serve it.
    pub pool: PoolId,
    /// Class of requests that name no class.
    pub class: ClassId,
    /// Whether the engines can resume a stream that another engine began.
    #[serde(default)]
    pub resumable: bool,
    /// Whether the engines refuse an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, the first segment of the path of a call.
    pub name: String,
    /// Pool of backend servers that serve it.
    pub pool: PoolId,
    /// Class of calls that match no route.
    pub class: ClassId,
    /// Calls that one backend server runs at the same time.
    pub concurrency: u32,
    /// Routes, the first match decides.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// A route of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method; `*` matches any.
    pub method: String,
    /// Prefix of the path after the service's name.
    pub path_prefix: String,
    /// Class of the route's calls.
    pub class: ClassId,
    /// Whether a call may be repeated without a second effect.
    pub repeatable: bool,
}

impl Configuration {
    /// Returns the rank of the tier called `name`.
    #[must_use]
    pub fn tier_id(&self, name: &str) -> Option<TierId> {
        let index = self.tiers.iter().position(|tier| tier.name == name)?;
        TierId::try_from(index).ok()
    }

    /// Returns the class called `name`.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }
}
