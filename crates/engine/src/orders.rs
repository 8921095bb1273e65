//! Orders to load and unload models, and the list of models that an engine reports.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Action of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// Load a model into the engine from the weight store.
    Load,
    /// Remove a model from the engine.
    Unload,
}

/// Fencing token, ordered by generation first and then by incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FencingToken {
    /// Generation of the placement that the order belongs to.
    pub generation: u64,
    /// Incarnation of the sidecar that sends the order.
    pub incarnation: u64,
}

/// Order to an engine. The engine acknowledges it at once and carries it out later. Orders are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Whether the model is to be loaded or unloaded.
    pub kind: OrderKind,
    /// Name of a model, an adapter or a version.
    pub model: String,
    /// An engine that supports fencing refuses a token lower than the highest one that it has seen, with status 409.
    pub fence: FencingToken,
}

/// Models that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Models {
    /// Models that can serve requests.
    pub loaded: BTreeSet<String>,
    /// Models whose load is in progress; empty if the engine does not report them.
    #[serde(default)]
    pub loading: BTreeSet<String>,
    /// Maximum number of models that the engine can hold at the same time.
    pub capacity: usize,
}
