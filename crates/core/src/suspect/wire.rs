//! Wire format of suspect table summaries, which processes exchange.

use std::time::Duration;

use prost::Message;

use super::{SummaryEntry, SummaryRecord};

/// Marker that distinguishes summaries from other exchanged items.
const ITEM_KIND: u32 = 0x7355_5350;

#[derive(Clone, PartialEq, Message)]
struct WireSummary {
    #[prost(fixed32, tag = "1")]
    kind: u32,
    #[prost(message, repeated, tag = "2")]
    entries: Vec<WireEntry>,
}

#[derive(Clone, PartialEq, Message)]
struct WireEntry {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    #[prost(fixed64, tag = "2")]
    workspace: u64,
    #[prost(message, repeated, tag = "3")]
    records: Vec<WireRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct WireRecord {
    #[prost(fixed64, tag = "1")]
    crash_id: u64,
    #[prost(uint32, tag = "2")]
    age_ms: u32,
    #[prost(uint32, tag = "3")]
    share_permille: u32,
    #[prost(bool, tag = "4")]
    is_cleared: bool,
}

/// Encodes a summary. Ages above `u32::MAX` milliseconds are clamped.
///
/// # Examples
///
/// ```
/// use tanagerford_core::suspect::wire;
///
/// assert_eq!(wire::decode(&wire::encode(&[])), Some(Vec::new()));
/// assert_eq!(wire::decode(b"something else"), None);
/// ```
#[must_use]
pub fn encode(entries: &[SummaryEntry]) -> Vec<u8> {
    let entries = entries.iter().map(|entry| WireEntry {
        fingerprint: entry.fingerprint,
        workspace: entry.workspace,
        records: entry.records.iter().map(wire_record).collect(),
    });
    let summary = WireSummary {
        kind: ITEM_KIND,
        entries: entries.collect(),
    };
    summary.encode_to_vec()
}

/// Decodes a summary. Returns `None` for malformed data and for other kinds of items.
#[must_use]
pub fn decode(summary: &[u8]) -> Option<Vec<SummaryEntry>> {
    let summary = WireSummary::decode(summary).ok()?;
    (summary.kind == ITEM_KIND).then(|| summary.entries.iter().map(summary_entry).collect())
}

fn wire_record(record: &SummaryRecord) -> WireRecord {
    WireRecord {
        crash_id: record.crash_id,
        age_ms: u32::try_from(record.age.as_millis()).unwrap_or(u32::MAX),
        share_permille: record.share_permille.into(),
        is_cleared: record.is_cleared,
    }
}

fn summary_entry(entry: &WireEntry) -> SummaryEntry {
    let records = entry.records.iter().map(|record| SummaryRecord {
        crash_id: record.crash_id,
        age: Duration::from_millis(record.age_ms.into()),
        share_permille: u16::try_from(record.share_permille).unwrap_or(u16::MAX),
        is_cleared: record.is_cleared,
    });
    SummaryEntry {
        fingerprint: entry.fingerprint,
        workspace: entry.workspace,
        records: records.collect(),
    }
}
