//! Keys and values of the placement in the key-value service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tanagerford_core::ids::{Generation, Incarnation, ServerId};
use tanagerford_core::placement::{ModelName, Placement, ServerReport};
use tanagerford_kv::kv::{Call, Compare, KeyValue, Kv, LeaseId, Revision, Write};

/// Key of the current placement.
pub const PLACEMENT_KEY: &str = "placement/wanted";

/// Key that the planner holds with its lease; the value is its process id.
pub(super) const PLANNER_KEY: &str = "placement/planner";

/// Prefix of the keys of the servers' reports.
pub(super) const REPORT_PREFIX: &str = "placement/report/";

/// Returns the key of the incarnation of a slot's last sidecar. It has no lease, so incarnations never repeat.
pub(super) fn slot_key(server: &str) -> String {
    format!("placement/slot/{server}")
}

/// Returns the key that exists while a sidecar holds the lease of a slot.
pub(super) fn held_key(server: &str) -> String {
    format!("placement/held/{server}")
}

/// Returns the key of a server's report, which is deleted with the lease of its slot.
pub(super) fn report_key(server: &str) -> String {
    format!("{REPORT_PREFIX}{server}")
}

/// Value of a key with the revision of its last write; `None` and 0 if the key does not exist.
#[derive(Debug, Clone)]
pub(super) struct StoredValue<T> {
    pub(super) value: Option<T>,
    pub(super) revision: Revision,
}

/// Incarnation of the sidecar that holds a slot, or held it last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SlotValue {
    pub(super) incarnation: Incarnation,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct PlacementValue {
    generation: Generation,
    wanted: BTreeMap<ServerId, BTreeMap<ModelName, Generation>>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ReportValue {
    applied: Generation,
    loaded: BTreeSet<ModelName>,
    capacity: usize,
}

impl From<Placement> for PlacementValue {
    fn from(placement: Placement) -> Self {
        Self {
            generation: placement.generation,
            wanted: placement.wanted,
        }
    }
}

impl From<PlacementValue> for Placement {
    fn from(value: PlacementValue) -> Self {
        Self {
            generation: value.generation,
            wanted: value.wanted,
        }
    }
}

impl From<ServerReport> for ReportValue {
    fn from(report: ServerReport) -> Self {
        Self {
            applied: report.applied,
            loaded: report.loaded,
            capacity: report.capacity,
        }
    }
}

impl From<ReportValue> for ServerReport {
    fn from(value: ReportValue) -> Self {
        Self {
            applied: value.applied,
            loaded: value.loaded,
            capacity: value.capacity,
        }
    }
}

/// Reads a key. Returns `None` if the call failed or the value is malformed, so that no decision is based on it.
pub(super) fn read<T: DeserializeOwned>(
    kv: &dyn Kv,
    key: &str,
    timeout: Duration,
) -> Option<StoredValue<T>> {
    let Call::Done(entry) = kv.get(key, timeout) else {
        return None;
    };
    let Some(entry) = entry else {
        return Some(StoredValue {
            value: None,
            revision: 0,
        });
    };
    Some(StoredValue {
        value: Some(decode(&entry)?),
        revision: entry.mod_revision,
    })
}

/// Reads the reports of all servers. Servers with a malformed report are treated as servers without one. Returns `None`
/// if the call failed.
pub(super) fn read_reports(
    kv: &dyn Kv,
    timeout: Duration,
) -> Option<BTreeMap<ServerId, ServerReport>> {
    let Call::Done(entries) = kv.list(REPORT_PREFIX, timeout) else {
        return None;
    };
    let reports = entries.iter().filter_map(|entry| {
        let server = entry.key.strip_prefix(REPORT_PREFIX)?;
        Some((server.to_owned(), decode::<ReportValue>(entry)?.into()))
    });
    Some(reports.collect())
}

fn decode<T: DeserializeOwned>(entry: &KeyValue) -> Option<T> {
    let value = serde_json::from_slice(&entry.value);
    if let Err(error) = &value {
        tracing::warn!(key = entry.key, %error, "malformed value in the key-value service");
    }
    value.ok()
}

pub(super) fn put_json(key: String, value: &impl Serialize, lease: Option<LeaseId>) -> Write {
    let value = serde_json::to_vec(value).expect("values serialize: their maps have string keys");
    Write::Put { key, value, lease }
}

/// Returns the condition that a key has not been written since `mod_revision`.
pub(super) fn compare_revision(key: String, mod_revision: Revision) -> Compare {
    Compare { key, mod_revision }
}
