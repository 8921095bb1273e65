//! Wire format of the messages between entries.

use std::time::Duration;

use prost::Message as _;

use super::{Message, Summary};
use crate::dispatch::{EntryLoad, PromptPart, WaitingTokens};
use crate::store_position::StorePosition;

/// Size up to which summaries share a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

#[derive(Clone, PartialEq, prost::Message)]
struct WireMessage {
    #[prost(bool, tag = "1")]
    to_relay: bool,
    #[prost(message, repeated, tag = "2")]
    summaries: Vec<WireSummary>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireSummary {
    #[prost(fixed64, tag = "1")]
    entry: u64,
    #[prost(fixed64, tag = "2")]
    boot: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(uint64, tag = "4")]
    version: u64,
    #[prost(uint64, tag = "5")]
    revision: u64,
    #[prost(message, repeated, tag = "6")]
    loads: Vec<WireLoad>,
    #[prost(message, repeated, tag = "7")]
    parts: Vec<WirePart>,
    #[prost(bytes = "vec", tag = "8")]
    suspects: Vec<u8>,
    #[prost(bool, tag = "9")]
    is_full: bool,
    #[prost(uint64, tag = "10")]
    era: u64,
    #[prost(bool, tag = "11")]
    is_busy: bool,
    #[prost(bytes = "vec", tag = "12")]
    suspect_parts: Vec<u8>,
    #[prost(bytes = "vec", tag = "13")]
    limits: Vec<u8>,
    #[prost(uint32, optional, tag = "14")]
    store_age_ms: Option<u32>,
    #[prost(uint64, optional, tag = "15")]
    sent_at_ms: Option<u64>,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct WireLoad {
    #[prost(fixed32, tag = "1")]
    server: u32,
    #[prost(uint32, tag = "2")]
    flights: u32,
    #[prost(uint32, tag = "3")]
    streams: u32,
    /// Waiting prompt tokens by rank, the highest first.
    #[prost(uint32, repeated, tag = "4")]
    waiting_tokens: Vec<u32>,
}

#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
struct WirePart {
    #[prost(fixed32, tag = "1")]
    server: u32,
    #[prost(fixed64, tag = "2")]
    part: u64,
    #[prost(uint32, tag = "3")]
    tokens: u32,
}

impl From<&Summary> for WireSummary {
    fn from(summary: &Summary) -> Self {
        let loads = summary.loads.iter().map(|(server, load)| WireLoad {
            server: *server,
            flights: load.in_flight,
            streams: load.streams,
            waiting_tokens: load.waiting.ranks().to_vec(),
        });
        let parts = summary.parts.iter().map(|(server, part)| WirePart {
            server: *server,
            part: part.id,
            tokens: part.tokens,
        });
        Self {
            entry: summary.entry,
            boot: summary.boot,
            sequence: summary.sequence,
            version: summary.version,
            revision: summary.store.revision,
            loads: loads.collect(),
            parts: parts.collect(),
            suspects: summary.suspects.clone(),
            suspect_parts: summary.suspect_parts.clone(),
            limits: summary.limits.clone(),
            is_full: summary.is_full,
            era: summary.store.era,
            is_busy: summary.is_busy,
            store_age_ms: summary
                .store_age
                .map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX)),
            sent_at_ms: summary
                .sent_at
                .and_then(|at| u64::try_from(at.as_millis()).ok()),
        }
    }
}

impl From<WireSummary> for Summary {
    fn from(wire: WireSummary) -> Self {
        let loads = wire.loads.iter().map(|load| {
            let entry_load = EntryLoad {
                in_flight: load.flights,
                streams: load.streams,
                waiting: WaitingTokens::from_ranks(&load.waiting_tokens),
            };
            (load.server, entry_load)
        });
        let parts = wire.parts.iter().map(|part| {
            let sent = PromptPart {
                id: part.part,
                tokens: part.tokens,
            };
            (part.server, sent)
        });
        Self {
            entry: wire.entry,
            boot: wire.boot,
            sequence: wire.sequence,
            version: wire.version,
            store: StorePosition {
                era: wire.era,
                revision: wire.revision,
            },
            loads: loads.collect(),
            parts: parts.collect(),
            suspects: wire.suspects,
            suspect_parts: wire.suspect_parts,
            limits: wire.limits,
            is_full: wire.is_full,
            is_busy: wire.is_busy,
            store_age: wire
                .store_age_ms
                .map(|age_ms| Duration::from_millis(age_ms.into())),
            sent_at: wire.sent_at_ms.map(Duration::from_millis),
        }
    }
}

/// Encodes a message into datagrams of at most [`MAX_DATAGRAM_BYTES`]. A single summary above that size gets a datagram
/// of its own.
///
/// # Examples
///
/// ```
/// use tanagerford_core::exchange::{Message, Summary, wire};
///
/// let message = Message { to_relay: true, summaries: vec![Summary { boot: 7, ..Summary::default() }] };
/// let datagrams = wire::encode(&message);
/// assert_eq!(wire::decode(&datagrams[0]).unwrap(), message);
/// ```
#[must_use]
pub fn encode(message: &Message) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut collected = WireMessage {
        to_relay: message.to_relay,
        summaries: Vec::new(),
    };
    for summary in &message.summaries {
        collected.summaries.push(WireSummary::from(summary));
        if collected.encoded_len() <= MAX_DATAGRAM_BYTES || collected.summaries.len() == 1 {
            continue;
        }
        let last = collected.summaries.pop();
        datagrams.push(collected.encode_to_vec());
        collected.summaries.clear();
        collected.summaries.extend(last);
    }
    if !collected.summaries.is_empty() {
        datagrams.push(collected.encode_to_vec());
    }
    datagrams
}

/// Decodes a datagram.
///
/// # Errors
///
/// Fails if the datagram is not a valid message.
pub fn decode(datagram: &[u8]) -> Result<Message, prost::DecodeError> {
    let wire = WireMessage::decode(datagram)?;
    Ok(Message {
        to_relay: wire.to_relay,
        summaries: wire.summaries.into_iter().map(Summary::from).collect(),
    })
}
