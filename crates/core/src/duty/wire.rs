//! Wire format of messages about duties between entries.

use prost::Message;

use super::{BootId, FencingNumber, UsageItem, WindowId};
use crate::exchange::EntryNumber;

/// First byte of an encoded message: field 5, length-delimited. Other messages between entries have other fields.
const FIRST_BYTE: u8 = 0x2a;

/// What an entry knows of the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderNews {
    /// Entry that holds the duty.
    pub holder: EntryNumber,
    /// Its fencing number.
    pub number: FencingNumber,
    /// Time since the holder said so, in milliseconds.
    pub age_ms: u64,
}

/// Counts with the sequence numbers of their changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CountsPart {
    /// Sequence number of the last change that precedes these.
    pub base: u64,
    /// Sequence number of the last of these changes.
    pub sequence: u64,
    /// Changed counts.
    pub items: Vec<UsageItem>,
}

/// Message between two entries about a duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyMessage {
    /// Entry that sends the message.
    pub sender: EntryNumber,
    /// Start of the sender's process.
    pub boot: BootId,
    /// Sender's estimate of true time, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What the sender knows of the holder.
    pub holder: Option<HolderNews>,
    /// Start of the receiver's process and the sequence number up to which the sender has its counts.
    pub acknowledged: Option<(BootId, u64)>,
    /// Counts of the sender.
    pub counts: Option<CountsPart>,
}

#[derive(Clone, PartialEq, Message)]
struct WireEnvelope {
    #[prost(message, optional, tag = "5")]
    duty: Option<WireDuty>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct WireDuty {
    #[prost(fixed64, tag = "1")]
    sender: u64,
    #[prost(fixed64, tag = "2")]
    boot: u64,
    #[prost(uint64, tag = "3")]
    time_ms: u64,
    #[prost(message, optional, tag = "4")]
    holder: Option<WireHolder>,
    #[prost(message, optional, tag = "5")]
    acknowledged: Option<WireAcknowledged>,
    #[prost(message, optional, tag = "6")]
    counts: Option<WireCounts>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct WireHolder {
    #[prost(fixed64, tag = "1")]
    holder: u64,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct WireAcknowledged {
    #[prost(fixed64, tag = "1")]
    boot: u64,
    #[prost(uint64, tag = "2")]
    sequence: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct WireCounts {
    #[prost(uint64, tag = "1")]
    base: u64,
    #[prost(uint64, tag = "2")]
    sequence: u64,
    #[prost(message, repeated, tag = "3")]
    windows: Vec<WireWindow>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct WireWindow {
    #[prost(uint64, tag = "1")]
    window: u64,
    #[prost(fixed64, repeated, tag = "2")]
    workspaces: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    counts: Vec<u64>,
}

/// Returns whether a datagram holds a message about a duty.
#[must_use]
pub fn is_duty_message(datagram: &[u8]) -> bool {
    datagram.first() == Some(&FIRST_BYTE)
}

/// Encodes a message.
///
/// # Examples
///
/// ```
/// use tanagerford_core::duty::UsageItem;
/// use tanagerford_core::duty::wire::{self, CountsPart, DutyMessage};
///
/// let items = vec![UsageItem { window: 4, workspace: 77, count: 9 }];
/// let counts = Some(CountsPart { base: 0, sequence: 12, items });
/// let message = DutyMessage { sender: 7, boot: 1, time_ms: 20_000, holder: None, acknowledged: None, counts };
/// let datagram = wire::encode(&message);
/// assert!(wire::is_duty_message(&datagram));
/// assert_eq!(wire::decode(&datagram), Some(message));
/// ```
#[must_use]
pub fn encode(message: &DutyMessage) -> Vec<u8> {
    let duty = WireDuty {
        sender: message.sender,
        boot: message.boot,
        time_ms: message.time_ms,
        holder: message.holder.map(|news| WireHolder {
            holder: news.holder,
            number: news.number,
            age_ms: news.age_ms,
        }),
        acknowledged: message
            .acknowledged
            .map(|(boot, sequence)| WireAcknowledged { boot, sequence }),
        counts: message.counts.as_ref().map(wire_counts),
    };
    WireEnvelope { duty: Some(duty) }.encode_to_vec()
}

/// Decodes a message; `None` for malformed data and other messages.
#[must_use]
pub fn decode(datagram: &[u8]) -> Option<DutyMessage> {
    let duty = WireEnvelope::decode(datagram).ok()?.duty?;
    let counts = match duty.counts {
        Some(counts) => Some(counts_part(&counts)?),
        None => None,
    };
    Some(DutyMessage {
        sender: duty.sender,
        boot: duty.boot,
        time_ms: duty.time_ms,
        holder: duty.holder.map(|news| HolderNews {
            holder: news.holder,
            number: news.number,
            age_ms: news.age_ms,
        }),
        acknowledged: duty.acknowledged.map(|known| (known.boot, known.sequence)),
        counts,
    })
}

fn wire_counts(part: &CountsPart) -> WireCounts {
    let mut windows: Vec<WireWindow> = Vec::new();
    for item in &part.items {
        let known = windows
            .iter()
            .position(|window| window.window == item.window);
        let index = known.unwrap_or_else(|| {
            windows.push(WireWindow {
                window: item.window,
                workspaces: Vec::new(),
                counts: Vec::new(),
            });
            windows.len() - 1
        });
        windows[index].workspaces.push(item.workspace);
        windows[index].counts.push(item.count);
    }
    WireCounts {
        base: part.base,
        sequence: part.sequence,
        windows,
    }
}

fn counts_part(counts: &WireCounts) -> Option<CountsPart> {
    let is_complete = |window: &WireWindow| window.workspaces.len() == window.counts.len();
    if !counts.windows.iter().all(is_complete) {
        return None;
    }
    let windows = counts.windows.iter();
    let items = windows.flat_map(|window| {
        let id: WindowId = window.window;
        let pairs = window.workspaces.iter().zip(&window.counts);
        pairs.map(move |(workspace, count)| UsageItem {
            window: id,
            workspace: *workspace,
            count: *count,
        })
    });
    Some(CountsPart {
        base: counts.base,
        sequence: counts.sequence,
        items: items.collect(),
    })
}
