//! Storage of the configuration in the key-value service: a key for the head, one for the digest and one for each
//! section.
//!
//! A write replaces the head and the changed sections in one transaction, whose only condition is the revision of the
//! head. A list of the prefix therefore always returns one complete generation. The value of a section is its
//! generation in decimal, a line feed, and its JSON.

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

/// Key of the head, whose value is JSON.
pub const HEAD_KEY: &str = "tanagerford/config/head";

/// Key of the digest of all sections, whose value is a decimal number.
pub const DIGEST_KEY: &str = "tanagerford/config/digest";

/// Prefix of the keys of the sections.
const SECTION_PREFIX: &str = "tanagerford/config/section/";

/// Configuration as stored in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoredConfiguration {
    /// Head; the default if no configuration was ever published.
    pub head: HeadRead,
    /// Sections; `None` if no configuration was ever published.
    pub sections: Option<Sections>,
    /// Revision of the latest write to the configuration.
    pub revision: Revision,
}

/// Why the configuration could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// The key-value service gave no response or refused the call.
    Unavailable,
    /// A stored value is not a valid part of a configuration.
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

/// Reads the complete configuration in one call.
///
/// # Errors
///
/// Fails if the call fails or takes longer than `timeout`, or if the stored configuration is invalid.
///
/// ```
/// use std::time::Duration;
/// use tanagerford_node::config_feed::store::{StoredConfiguration, read};
/// use tanagerford_kv::memory::Memory;
///
/// assert_eq!(read(&Memory::new(), Duration::from_secs(1)).unwrap(), StoredConfiguration::default());
/// ```
pub fn read(kv: &dyn Kv, timeout: Duration) -> Result<StoredConfiguration, Report<ReadError>> {
    let entries = into_result(kv.list(PREFIX, timeout))?;
    let mut stored = StoredConfiguration::default();
    let mut update = SectionUpdate::default();
    for entry in &entries {
        stored.revision = stored.revision.max(entry.mod_revision);
        if entry.key == HEAD_KEY {
            stored.head = decode_head_entry(entry)?;
            update.generation = stored.head.head.generation;
        } else {
            decode_entry(&entry.key, &entry.value, &mut update)?;
        }
    }
    if stored.head.revision > 0 {
        let sections = Sections::with_update(None, &update);
        stored.sections = Some(sections.change_context(ReadError::Malformed)?);
    }
    Ok(stored)
}

/// Reads the head; the default if no configuration was ever published.
///
/// # Errors
///
/// Fails if the call fails or takes longer than `timeout`, or if the stored head is invalid.
pub fn read_head(kv: &dyn Kv, timeout: Duration) -> Result<HeadRead, Report<ReadError>> {
    let entry = into_result(kv.get(HEAD_KEY, timeout))?;
    entry
        .as_ref()
        .map_or_else(|| Ok(HeadRead::default()), decode_head_entry)
}

/// Decodes the events of one revision. Returns `None` if they do not replace the head.
///
/// The key-value service never splits a revision over several responses, so the changed sections are complete.
///
/// # Errors
///
/// Fails if the value of a head, a digest or a section is invalid.
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
            decode_entry(&event.key, value, &mut update)?;
        }
    }
    Ok(head.map(|head| {
        update.generation = head.generation;
        (head, update)
    }))
}

/// Adds the digest or a section to an update; other keys are ignored.
fn decode_entry(
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
/// Fails if the value is not the JSON of a head.
pub fn decode_head(value: &[u8]) -> Result<Head, Report<ReadError>> {
    serde_json::from_slice(value).change_context(ReadError::Malformed)
}

/// Encodes a head as the value of its key.
#[must_use]
pub fn encode_head(head: &Head) -> Vec<u8> {
    serde_json::to_vec(head).unwrap_or_default()
}

/// Decodes a section. Returns `None` for the key of anything else, such as a section of a newer version.
///
/// # Errors
///
/// Fails if the value is too long or is not a generation followed by text.
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

fn decode_head_entry(entry: &KeyValue) -> Result<HeadRead, Report<ReadError>> {
    Ok(HeadRead {
        head: decode_head(&entry.value)?,
        revision: entry.mod_revision,
    })
}

fn into_result<T>(call: Call<T>) -> Result<T, Report<ReadError>> {
    match call {
        Call::Done(value) => Ok(value),
        Call::Refused(refusal) => {
            Err(Report::new(ReadError::Unavailable).attach(format!("{refusal:?}")))
        }
        Call::Unknown => {
            Err(Report::new(ReadError::Unavailable).attach("no response before the timeout"))
        }
    }
}
