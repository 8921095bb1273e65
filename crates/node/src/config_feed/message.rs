//! Encoding of configuration sections in messages between processes.

use error_stack::{Report, ResultExt};
use tanagerford_core::config::section::{Section, SectionError, SectionName, SectionUpdate};
use tanagerford_link::message::{ConfigSection, ConfigSections};

/// Encodes sections as the response to the query `query_id`.
///
/// ```
/// use tanagerford_core::config::section::SectionUpdate;
/// use tanagerford_node::config_feed::message::{decode, encode};
///
/// let update = SectionUpdate { generation: 3, digest: 7, sections: vec![] };
/// assert_eq!(decode(&encode(1, &update)).unwrap(), update);
/// ```
#[must_use]
pub fn encode(query_id: u64, update: &SectionUpdate) -> ConfigSections {
    let sections = update.sections.iter().map(|section| ConfigSection {
        name: section.name.to_string(),
        generation: section.generation,
        json: section.json.clone().into_bytes(),
    });
    ConfigSections {
        query_id,
        generation: update.generation,
        sections: sections.collect(),
        digest: update.digest,
    }
}

/// Decodes sections without checking that they form a valid configuration.
///
/// # Errors
///
/// Fails if the name of a section is unknown or its JSON is not UTF-8.
pub fn decode(message: &ConfigSections) -> Result<SectionUpdate, Report<SectionError>> {
    let sections = message.sections.iter().map(decode_section);
    Ok(SectionUpdate {
        generation: message.generation,
        digest: message.digest,
        sections: sections.collect::<Result<_, _>>()?,
    })
}

fn decode_section(section: &ConfigSection) -> Result<Section, Report<SectionError>> {
    let name: SectionName = section.name.parse()?;
    let json = std::str::from_utf8(&section.json);
    Ok(Section {
        name,
        generation: section.generation,
        json: json.change_context(SectionError::Malformed)?.to_owned(),
    })
}
