//! Keys and values of placement in the key-value service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tanagerford_core::ids::{Generation, Incarnation, ServerId};
use tanagerford_core::placement::{ModelName, Placement, ServerReport};
use tanagerford_kv::kv::{Call, Compare, KeyValue, Kv, LeaseId, Revision, Write};

/// Key of the wanted placement.
pub const PLACEMENT_KEY: &str = "placement/wanted";

/// Leased key of the planner.
pub const PLANNER_KEY: &str = "placement/planner";

/// Prefix of the keys of the servers' reports.
pub const REPORT_PREFIX: &str = "placement/report/";

/// Returns the key that holds the incarnation of the last sidecar of a slot; it survives the lease.
#[must_use]
pub fn slot_key(server: &str) -> String {
    format!("placement/slot/{server}")
}

/// Returns the leased key of a slot.
#[must_use]
pub fn held_key(server: &str) -> String {
    format!("placement/held/{server}")
}

/// Returns the key of a server's report.
#[must_use]
pub fn report_key(server: &str) -> String {
    format!("{REPORT_PREFIX}{server}")
}

/// Value with the revision of its last write; revision 0 means that the key does not exist.
#[derive(Debug, Clone)]
pub(super) struct Found<T> {
    pub(super) value: Option<T>,
    pub(super) revision: Revision,
}

/// Incarnation of the sidecar that holds a slot.
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

/// Reads one key; `None` if the service gave no answer or the value is malformed, so that nothing is decided from it.
pub(super) fn read<T: DeserializeOwned>(
    kv: &dyn Kv,
    key: &str,
    timeout: Duration,
) -> Option<Found<T>> {
    let Call::Done(entry) = kv.get(key, timeout) else {
        return None;
    };
    let Some(entry) = entry else {
        return Some(Found {
            value: None,
            revision: 0,
        });
    };
    Some(Found {
        value: Some(decode(&entry)?),
        revision: entry.mod_revision,
    })
}

/// Reads the reports of all servers. A malformed report is left out, as if the server had none.
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

pub(super) fn put(key: String, value: &impl Serialize, lease: Option<LeaseId>) -> Write {
    let value = serde_json::to_vec(value).expect("records have string keys");
    Write::Put { key, value, lease }
}

pub(super) fn unchanged(key: String, mod_revision: Revision) -> Compare {
    Compare { key, mod_revision }
}
