//! Claim pages and their encoding.

use std::fmt;
use std::time::Duration;

use prost::Message;

use super::{BodyDigest, OrderKey, Owner};

/// Maximum length of an encoded page, equal to the maximum value size of the key-value service.
pub const MAX_PAGE_BYTES: usize = 1 << 20;

/// Version of the encoding.
const VERSION: u32 = 1;

/// State of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RecordState {
    /// The owner may run the order, is running it, or has run it.
    Claimed,
    /// The order ran, and the backend server responded.
    Done,
    /// The order definitely did not run under this claim.
    Released,
    /// An operator settled the order as run.
    SettledRan,
    /// An operator settled the order as not run.
    SettledNotRun,
}

impl RecordState {
    const ALL: [Self; 5] = [
        Self::Claimed,
        Self::Done,
        Self::Released,
        Self::SettledRan,
        Self::SettledNotRun,
    ];

    /// Returns whether the order may be claimed again.
    #[must_use]
    pub fn is_free(self) -> bool {
        matches!(self, Self::Released | Self::SettledNotRun)
    }

    fn from_wire(number: u32) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|state| state.to_wire() == number)
    }

    fn to_wire(self) -> u32 {
        self as u32 + 1
    }
}

/// One claim in a page.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Record {
    /// Key of the claimed order.
    pub key: OrderKey,
    /// Digest of the call, to detect reuse of the key for a different call.
    pub body: BodyDigest,
    /// Index of the claiming sidecar in [`Page::owners`].
    pub owner: u32,
    /// Sequence number among the claims of the key, starting at 1.
    pub attempt: u32,
    /// State since `changed_at`.
    pub state: RecordState,
    /// Time of the last change since the Unix epoch, in whole seconds.
    pub changed_at: Duration,
}

/// Identifies one write of one sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WriteId {
    /// Sidecar that issued the write.
    pub writer: Owner,
    /// Sequence number of the write, unique within the incarnation.
    pub sequence: u64,
}

/// A claim page.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Page {
    /// Write that produced this version of the page.
    pub write_id: WriteId,
    /// Whether a later page has been opened. No claims are added to a closed page.
    pub closed: bool,
    /// Sidecars that the records reference by index.
    pub owners: Vec<Owner>,
    /// Claims in the order in which their keys were first claimed in this page.
    pub records: Vec<Record>,
}

/// Error for a value that is not a valid claim page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// The value is longer than [`MAX_PAGE_BYTES`].
    TooLong,
    /// The value is not a valid protobuf message of this type.
    Malformed,
    /// The encoding has an unsupported version.
    UnknownVersion(u32),
    /// The named field has a value that no writer produces.
    InvalidField(&'static str),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => write!(
                formatter,
                "a claim page is longer than {MAX_PAGE_BYTES} bytes"
            ),
            Self::Malformed => formatter.write_str("a claim page is not a valid message"),
            Self::UnknownVersion(version) => {
                write!(formatter, "a claim page has the unknown version {version}")
            }
            Self::InvalidField(field) => write!(formatter, "a claim page has an invalid {field}"),
        }
    }
}

impl std::error::Error for DecodeError {}

#[derive(Clone, PartialEq, Message)]
struct WireOwner {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireRecord {
    #[prost(bytes = "vec", tag = "1")]
    key: Vec<u8>,
    #[prost(fixed64, tag = "2")]
    body: u64,
    #[prost(uint32, tag = "3")]
    owner: u32,
    #[prost(uint32, tag = "4")]
    attempt: u32,
    #[prost(uint32, tag = "5")]
    state: u32,
    /// Seconds since `base_s` of the page.
    #[prost(fixed32, tag = "6")]
    changed_s: u32,
}

#[derive(Clone, PartialEq, Message)]
struct WirePage {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(uint32, tag = "2")]
    writer: u32,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(bool, tag = "4")]
    closed: bool,
    #[prost(uint64, tag = "5")]
    base_s: u64,
    #[prost(message, repeated, tag = "6")]
    owners: Vec<WireOwner>,
    #[prost(message, repeated, tag = "7")]
    records: Vec<WireRecord>,
}

impl Page {
    /// Upper bound of the encoded length of a record: 2 bytes for the frame, 18 for the key, 9 for the body, 4 for the
    /// owner (a page holds fewer than 2^21 owners), 6 for the attempt, 2 for the state, 5 for the time.
    pub const MAX_RECORD_BYTES: usize = 46;

    /// Creates an open page without records.
    #[must_use]
    pub fn new(write_id: WriteId) -> Self {
        let owners = vec![write_id.writer.clone()];
        Self {
            write_id,
            closed: false,
            owners,
            records: Vec::new(),
        }
    }

    /// Returns the index of `owner`, which is added to the owners if it is missing.
    pub fn owner_index(&mut self, owner: &Owner) -> u32 {
        let index = self
            .owners
            .iter()
            .position(|known| known == owner)
            .unwrap_or(self.owners.len());
        if index == self.owners.len() {
            self.owners.push(owner.clone());
        }
        u32::try_from(index).unwrap_or(u32::MAX)
    }

    /// Returns the sidecar that made the claim `record` of this page.
    #[must_use]
    pub(crate) fn owner_of(&self, record: &Record) -> &Owner {
        &self.owners[record.owner as usize]
    }

    /// Encodes the page, with times relative to the earliest one.
    ///
    /// ```
    /// use tanagerford_core::order::{Owner, Page, WriteId};
    ///
    /// let writer = Owner { server: "w1".into(), incarnation: 3 };
    /// let page = Page::new(WriteId { writer, sequence: 1 });
    /// assert_eq!(Page::decode(&page.encode()), Ok(page));
    /// ```
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        self.to_wire().encode_to_vec()
    }

    /// Returns the length of the encoded page in bytes.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        self.to_wire().encoded_len()
    }

    /// Decodes a page.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is too long, malformed or of an unknown version, or if a field is invalid. The
    /// memory in use is proportional to the length of the value.
    pub fn decode(value: &[u8]) -> Result<Self, DecodeError> {
        if value.len() > MAX_PAGE_BYTES {
            return Err(DecodeError::TooLong);
        }
        let wire = WirePage::decode(value).map_err(|_| DecodeError::Malformed)?;
        if wire.version != VERSION {
            return Err(DecodeError::UnknownVersion(wire.version));
        }
        let owners: Vec<Owner> = wire.owners.into_iter().map(Owner::from).collect();
        let writer = owners.get(wire.writer as usize).cloned();
        let writer = writer.ok_or(DecodeError::InvalidField("writer"))?;
        let write_id = WriteId {
            writer,
            sequence: wire.sequence,
        };
        let decode = |record: &WireRecord| decode_record(record, wire.base_s, owners.len());
        let records = wire.records.iter().map(decode).collect::<Result<_, _>>()?;
        Ok(Self {
            write_id,
            closed: wire.closed,
            owners,
            records,
        })
    }

    fn to_wire(&self) -> WirePage {
        let base_s = self
            .records
            .iter()
            .map(|record| record.changed_at.as_secs())
            .min()
            .unwrap_or(0);
        let writer = self
            .owners
            .iter()
            .position(|owner| *owner == self.write_id.writer);
        let mut owners: Vec<WireOwner> = self.owners.iter().map(WireOwner::from).collect();
        let writer = writer.unwrap_or_else(|| {
            owners.push(WireOwner::from(&self.write_id.writer));
            owners.len() - 1
        });
        WirePage {
            version: VERSION,
            writer: u32::try_from(writer).unwrap_or(u32::MAX),
            sequence: self.write_id.sequence,
            closed: self.closed,
            base_s,
            owners,
            records: self
                .records
                .iter()
                .map(|record| encode_record(record, base_s))
                .collect(),
        }
    }
}

impl From<&Owner> for WireOwner {
    fn from(owner: &Owner) -> Self {
        Self {
            server: owner.server.clone(),
            incarnation: owner.incarnation,
        }
    }
}

impl From<WireOwner> for Owner {
    fn from(wire: WireOwner) -> Self {
        Self {
            server: wire.server,
            incarnation: wire.incarnation,
        }
    }
}

fn encode_record(record: &Record, base_s: u64) -> WireRecord {
    WireRecord {
        key: record.key.as_bytes().to_vec(),
        body: record.body,
        owner: record.owner,
        attempt: record.attempt,
        state: record.state.to_wire(),
        changed_s: u32::try_from(record.changed_at.as_secs() - base_s).unwrap_or(u32::MAX),
    }
}

fn decode_record(wire: &WireRecord, base_s: u64, owners: usize) -> Result<Record, DecodeError> {
    if wire.owner as usize >= owners {
        return Err(DecodeError::InvalidField("owner"));
    }
    let changed_s = base_s.checked_add(u64::from(wire.changed_s));
    Ok(Record {
        key: OrderKey::from_bytes(&wire.key).ok_or(DecodeError::InvalidField("key"))?,
        body: wire.body,
        owner: wire.owner,
        attempt: wire.attempt,
        state: RecordState::from_wire(wire.state).ok_or(DecodeError::InvalidField("state"))?,
        changed_at: Duration::from_secs(changed_s.ok_or(DecodeError::InvalidField("time"))?),
    })
}
