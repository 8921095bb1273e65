//! Configuration in the key-value service: one head key, one key for the digest and one key for each section.
//!
//! A write replaces the head and the changed sections in one transaction whose only condition is the head's revision,
//! so a list of the prefix is always one whole generation. The value of a section is its generation in decimal, a line
//! feed, and its JSON.

use std::fmt;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use tanagerford_core::config::section::{
    MAX_SECTION_BYTES, Section, SectionName, SectionUpdate, Sections,
};
use tanagerford_core::generation::{Head, HeadRead};
use tanagerford_kv::kv::{Call, KeyValue, Kv, Revision, WatchEvent};

/// Prefix of all keys of the configuration.
pub const PREFIX: &str = "tanagerford/config/";

/// Key of the head.
pub const HEAD_KEY: &str = "tanagerford/config/head";

/// Key of the digest of all sections, in decimal.
pub const DIGEST_KEY: &str = "tanagerford/config/digest";

/// Prefix of the keys of the sections.
const SECTION_PREFIX: &str = "tanagerford/config/section/";

/// Configuration as the key-value service holds it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Stored {
    /// Head, the default if nothing was ever published.
    pub head: HeadRead,
    /// Sections; `None` if nothing was ever published.
    pub sections: Option<Sections>,
    /// Revision of the latest write to the configuration.
    pub revision: Revision,
}

/// Why the configuration could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// The key-value service gave no answer or refused the call.
    Unavailable,
    /// The key-value service holds something else than a configuration.
    Malformed,
}

impl fmt::Display for ReadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Unavailable => "key-value service gave no answer",
            Self::Malformed => "key-value service holds a malformed configuration",
        })
    }
}

impl std::error::Error for ReadError {}

/// Reads the whole configuration in one call.
///
/// # Errors
///
/// Fails if the service gives no answer within `timeout` or holds no valid sections.
///
/// ```
/// use std::time::Duration;
/// use tanagerford_node::config_feed::store::{Stored, read};
/// use tanagerford_kv::memory::Memory;
///
/// assert_eq!(read(&Memory::new(), Duration::from_secs(1)).unwrap(), Stored::default());
/// ```
pub fn read(kv: &dyn Kv, timeout: Duration) -> Result<Stored, Report<ReadError>> {
    let entries = answered(kv.list(PREFIX, timeout))?;
    let mut stored = Stored::default();
    let mut update = SectionUpdate::default();
    for entry in &entries {
        stored.revision = stored.revision.max(entry.mod_revision);
        if entry.key == HEAD_KEY {
            stored.head = head_read(entry)?;
            update.generation = stored.head.head.generation;
        } else {
            decode_part(&entry.key, &entry.value, &mut update)?;
        }
    }
    if stored.head.revision > 0 {
        let whole = Sections::with_update(None, &update);
        stored.sections = Some(whole.change_context(ReadError::Malformed)?);
    }
    Ok(stored)
}

/// Reads the head.
///
/// # Errors
///
/// Fails if the service gives no answer within `timeout` or holds no valid head.
pub fn read_head(kv: &dyn Kv, timeout: Duration) -> Result<HeadRead, Report<ReadError>> {
    let entry = answered(kv.get(HEAD_KEY, timeout))?;
    entry
        .as_ref()
        .map_or_else(|| Ok(HeadRead::default()), head_read)
}

/// Decodes the events of one revision; `None` if they do not replace the head.
///
/// The service never splits one revision over several answers, so the sections are complete.
///
/// # Errors
///
/// Fails if an event holds something else than a head or a section.
pub fn decode_events(
    events: &[WatchEvent],
) -> Result<Option<(Head, SectionUpdate)>, Report<ReadError>> {
    let mut head = None;
    let mut update = SectionUpdate::default();
    for event in events {
        let Some(value) = &event.value else { continue };
        if event.key == HEAD_KEY {
            head = Some(decode_head(value)?);
        } else {
            decode_part(&event.key, value, &mut update)?;
        }
    }
    Ok(head.map(|head| {
        update.generation = head.generation;
        (head, update)
    }))
}

/// Adds the digest or a section to an update.
fn decode_part(
    key: &str,
    value: &[u8],
    update: &mut SectionUpdate,
) -> Result<(), Report<ReadError>> {
    if key == DIGEST_KEY {
        update.digest = decode_digest(value)?;
    } else if let Some(section) = decode_section(key, value)? {
        update.sections.push(section);
    }
    Ok(())
}

fn decode_digest(value: &[u8]) -> Result<u64, Report<ReadError>> {
    let text = std::str::from_utf8(value).change_context(ReadError::Malformed)?;
    text.parse().change_context(ReadError::Malformed)
}

/// Decodes the value of the head's key.
///
/// # Errors
///
/// Fails if it is not the JSON of a head.
pub fn decode_head(value: &[u8]) -> Result<Head, Report<ReadError>> {
    serde_json::from_slice(value).change_context(ReadError::Malformed)
}

/// Encodes a head as the value of its key.
#[must_use]
pub fn encode_head(head: &Head) -> Vec<u8> {
    serde_json::to_vec(head).unwrap_or_default()
}

/// Decodes a section; `None` for a key that is no section of this version.
///
/// # Errors
///
/// Fails if the value is no generation followed by text.
///
/// ```
/// use tanagerford_node::config_feed::store::{decode_section, encode_section, section_key};
/// use tanagerford_core::config::section::{Section, SectionName};
///
/// let section = Section { name: SectionName::Tiers, generation: 7, json: "[]".to_owned() };
/// let key = section_key(section.name);
/// assert_eq!(decode_section(&key, &encode_section(&section)).unwrap(), Some(section));
/// ```
pub fn decode_section(key: &str, value: &[u8]) -> Result<Option<Section>, Report<ReadError>> {
    let name = key.strip_prefix(SECTION_PREFIX);
    let Some(name) = name.and_then(|name| name.parse::<SectionName>().ok()) else {
        return Ok(None);
    };
    let malformed = || Report::new(ReadError::Malformed).attach(name);
    if value.len() > MAX_SECTION_BYTES {
        return Err(malformed());
    }
    let text = std::str::from_utf8(value).map_err(|_| malformed())?;
    let (generation, json) = text.split_once('\n').ok_or_else(malformed)?;
    Ok(Some(Section {
        name,
        generation: generation.parse().map_err(|_| malformed())?,
        json: json.to_owned(),
    }))
}

/// Encodes a section as the value of its key.
#[must_use]
pub fn encode_section(section: &Section) -> Vec<u8> {
    format!("{}\n{}", section.generation, section.json).into_bytes()
}

/// Returns the key of a section.
#[must_use]
pub fn section_key(name: SectionName) -> String {
    format!("{SECTION_PREFIX}{name}")
}

fn head_read(entry: &KeyValue) -> Result<HeadRead, Report<ReadError>> {
    Ok(HeadRead {
        head: decode_head(&entry.value)?,
        revision: entry.mod_revision,
    })
}

fn answered<T>(call: Call<T>) -> Result<T, Report<ReadError>> {
    match call {
        Call::Done(value) => Ok(value),
        Call::Refused(refusal) => {
            Err(Report::new(ReadError::Unavailable).attach(format!("{refusal:?}")))
        }
        Call::Unknown => Err(Report::new(ReadError::Unavailable).attach("no answer in time")),
    }
}
