//! Orders to an engine and the models that it reports.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// Load a model from the weight store.
    Load,
    /// Unload a model.
    Unload,
}

/// Number that an engine with fencing compares: by generation first, then by incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FenceNumber {
    /// Generation of the placement.
    pub generation: u64,
    /// Incarnation of the sidecar.
    pub incarnation: u64,
}

/// Order to an engine. The engine accepts it at once and carries it out later; the same order may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// What to do.
    pub kind: OrderKind,
    /// Model, adapter or version.
    pub model: String,
    /// Fencing number; an engine with fencing refuses a lower one than it has seen with status 409.
    pub fence: FenceNumber,
}

/// Models of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Models {
    /// Models that are loaded.
    pub loaded: BTreeSet<String>,
    /// Models that are being loaded.
    #[serde(default)]
    pub loading: BTreeSet<String>,
    /// Largest count of models that the engine holds together.
    pub capacity: usize,
}
