//! Sections of the configuration, each with the generation that last changed it.
//!
//! The daily tier sheet changes only a few workspaces. The workspaces are therefore distributed over 64 buckets by the
//! hash of their name, and processes transfer only the changed buckets.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use error_stack::{Report, ResultExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64};

use super::{Configuration, Workspace};
use crate::ids::Generation;

/// Number of buckets over which the workspaces are distributed.
pub const WORKSPACE_BUCKETS: u8 = 64;

/// Maximum length of a section's JSON text, in bytes; the limit for a value in the key-value service.
pub const MAX_SECTION_BYTES: usize = 1_000_000;

/// Name of a section; its text form is part of keys in the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SectionName {
    /// [`Configuration::tiers`].
    Tiers,
    /// [`Configuration::classes`].
    Classes,
    /// [`Configuration::models`].
    Models,
    /// [`Configuration::services`].
    Services,
    /// One bucket of the workspaces, numbered from 0 to [`WORKSPACE_BUCKETS`] - 1.
    Workspaces(u8),
}

/// Part of the configuration as JSON text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// Determines which part of the configuration the JSON text holds.
    pub name: SectionName,
    /// Generation that last changed the section.
    pub generation: Generation,
    /// JSON array of the items; workspaces are sorted by name.
    pub json: String,
}

/// Changed sections that one process sends to another.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SectionUpdate {
    /// Generation of the configuration after the update.
    pub generation: Generation,
    /// [`digest`] over all sections after the update, not only the changed ones.
    pub digest: u64,
    /// Sections that changed after the generation that the receiver reported.
    pub sections: Vec<Section>,
}

/// Complete set of sections of one generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sections {
    generation: Generation,
    digest: u64,
    by_name: BTreeMap<SectionName, Section>,
}

/// Reason why sections cannot be combined into a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SectionError {
    /// The text is not the name of a section.
    UnknownName,
    /// A section is neither in the update nor in the previous sections.
    Missing,
    /// The update contains a section twice.
    Duplicate,
    /// A section is longer than [`MAX_SECTION_BYTES`] or is not a JSON array of its items.
    Malformed,
    /// A section has a higher generation than the update that contains it.
    NewerThanUpdate,
    /// A workspace is not in the bucket that the hash of its name selects.
    WrongBucket,
    /// The current sections belong to another history than the update, so that all sections must be transferred.
    Diverged,
}

impl fmt::Display for SectionError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::UnknownName => "unknown section name",
            Self::Missing => "section is missing",
            Self::Duplicate => "section occurs twice",
            Self::Malformed => "section is too long or malformed",
            Self::NewerThanUpdate => "section is newer than the update that contains it",
            Self::WrongBucket => "workspace is in the wrong bucket",
            Self::Diverged => "current sections belong to another history than the update",
        })
    }
}

impl std::error::Error for SectionError {}

impl fmt::Display for SectionName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tiers => formatter.write_str("tiers"),
            Self::Classes => formatter.write_str("classes"),
            Self::Models => formatter.write_str("models"),
            Self::Services => formatter.write_str("services"),
            Self::Workspaces(bucket) => write!(formatter, "workspaces-{bucket:02}"),
        }
    }
}

impl FromStr for SectionName {
    type Err = SectionError;

    fn from_str(text: &str) -> Result<Self, SectionError> {
        let known = Self::all().find(|name| name.to_string() == text);
        known.ok_or(SectionError::UnknownName)
    }
}

impl SectionName {
    /// Returns all section names in ascending order.
    ///
    /// ```
    /// use tanagerford_core::config::section::SectionName;
    ///
    /// assert_eq!(SectionName::all().count(), 68);
    /// assert_eq!("workspaces-07".parse(), Ok(SectionName::Workspaces(7)));
    /// ```
    pub fn all() -> impl Iterator<Item = Self> {
        let fixed = [Self::Tiers, Self::Classes, Self::Models, Self::Services];
        let buckets = (0..WORKSPACE_BUCKETS).map(Self::Workspaces);
        fixed.into_iter().chain(buckets)
    }

    /// Returns the bucket of a workspace, selected by the hash of its name.
    #[must_use]
    pub fn of_workspace(name: &str) -> Self {
        let bucket = xxh3_64(name.as_bytes()) % u64::from(WORKSPACE_BUCKETS);
        Self::Workspaces(u8::try_from(bucket).unwrap_or_default())
    }
}

impl Sections {
    /// Splits a configuration into sections. A section whose JSON text is the same in `previous` keeps its generation.
    ///
    /// ```
    /// use tanagerford_core::config::Configuration;
    /// use tanagerford_core::config::section::Sections;
    ///
    /// let text = r#"{"generation": 4, "tiers": [], "classes": [], "workspaces": [
    ///     {"name": "b", "key_sha256": [], "tier": "t"}, {"name": "a", "key_sha256": [], "tier": "t"}
    /// ], "models": [], "services": []}"#;
    /// let configuration: Configuration = serde_json::from_str(text).unwrap();
    /// let sections = Sections::split(&configuration, None);
    /// assert_eq!(sections.changed_since(3).sections.len(), 68);
    /// let merged = sections.merge().unwrap();
    /// assert_eq!(merged.workspaces[0].name, "a");
    /// ```
    #[must_use]
    pub fn split(configuration: &Configuration, previous: Option<&Self>) -> Self {
        let mut buckets: BTreeMap<SectionName, Vec<&Workspace>> = BTreeMap::new();
        for workspace in &configuration.workspaces {
            let section = SectionName::of_workspace(&workspace.name);
            buckets.entry(section).or_default().push(workspace);
        }
        // The order of workspaces has no meaning, so a different order must not count as a change of the section.
        for bucket in buckets.values_mut() {
            bucket.sort_by(|left, right| left.name.cmp(&right.name));
        }
        let json = |name| match name {
            SectionName::Tiers => to_json(&configuration.tiers),
            SectionName::Classes => to_json(&configuration.classes),
            SectionName::Models => to_json(&configuration.models),
            SectionName::Services => to_json(&configuration.services),
            SectionName::Workspaces(_) => buckets.get(&name).map_or("[]".to_owned(), to_json),
        };
        let generation = configuration.generation;
        let sections = SectionName::all().map(|name| {
            let json = json(name);
            let old = previous.and_then(|previous| previous.by_name.get(&name));
            let unchanged = old.filter(|old| old.json == json);
            let generation = unchanged.map_or(generation, |old| old.generation);
            let section = Section {
                name,
                generation,
                json,
            };
            (name, section)
        });
        Self::from_sections(generation, sections.collect())
    }

    fn from_sections(generation: Generation, by_name: BTreeMap<SectionName, Section>) -> Self {
        Self {
            generation,
            digest: digest(by_name.values()),
            by_name,
        }
    }

    /// Returns the generation of the configuration that the sections make up.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the update that a receiver at `generation` needs; 0 selects all sections.
    #[must_use]
    pub fn changed_since(&self, generation: Generation) -> SectionUpdate {
        let newer = self
            .by_name
            .values()
            .filter(|section| section.generation > generation);
        SectionUpdate {
            generation: self.generation,
            digest: self.digest,
            sections: newer.cloned().collect(),
        }
    }

    /// Returns the sections that result from applying an update to `current`. Without `current`, the update must
    /// contain all sections.
    ///
    /// The update must contain all sections that changed since `current`. Whether its generation may be used at all is
    /// decided by [`crate::generation`].
    ///
    /// # Errors
    ///
    /// Fails if a section is duplicate, missing, too long or newer than the update, or if the digest of the result
    /// differs from the sender's.
    pub fn with_update(
        current: Option<&Self>,
        update: &SectionUpdate,
    ) -> Result<Self, Report<SectionError>> {
        let mut by_name = current
            .map(|sections| sections.by_name.clone())
            .unwrap_or_default();
        let mut seen = BTreeSet::new();
        for section in &update.sections {
            check_section(section, update.generation, &mut seen)?;
            by_name.insert(section.name, section.clone());
        }
        if let Some(name) = SectionName::all().find(|name| !by_name.contains_key(name)) {
            return Err(Report::new(SectionError::Missing).attach(name));
        }
        let sections = Self::from_sections(update.generation, by_name);
        if sections.digest != update.digest {
            return Err(Report::new(SectionError::Diverged).attach(update.generation));
        }
        Ok(sections)
    }

    /// Combines the sections into a configuration, with its workspaces sorted by name.
    ///
    /// # Errors
    ///
    /// Fails if a section is not a JSON array of its items or a workspace is in the wrong bucket.
    pub fn merge(&self) -> Result<Configuration, Report<SectionError>> {
        let mut workspaces = Vec::new();
        for bucket in (0..WORKSPACE_BUCKETS).map(SectionName::Workspaces) {
            let bucket_items: Vec<Workspace> = self.items(bucket)?;
            check_bucket(bucket, &bucket_items)?;
            workspaces.extend(bucket_items);
        }
        workspaces.sort_by(|left, right| left.name.cmp(&right.name));
        Ok(Configuration {
            generation: self.generation,
            tiers: self.items(SectionName::Tiers)?,
            classes: self.items(SectionName::Classes)?,
            workspaces,
            models: self.items(SectionName::Models)?,
            services: self.items(SectionName::Services)?,
        })
    }

    fn items<T: DeserializeOwned>(
        &self,
        name: SectionName,
    ) -> Result<Vec<T>, Report<SectionError>> {
        let section = self.by_name.get(&name);
        let section = section.ok_or_else(|| Report::new(SectionError::Missing).attach(name))?;
        let items = serde_json::from_str(&section.json);
        items.change_context(SectionError::Malformed).attach(name)
    }
}

/// Returns the digest of all sections, which must be in ascending order of name.
///
/// After the key-value service was restored from a backup, the same generation can denote different sections. The
/// digest detects this when the changed sections of one history are applied to another.
///
/// ```
/// use tanagerford_core::config::section::{Section, SectionName, digest};
///
/// let section = |json: &str| Section { name: SectionName::Tiers, generation: 1, json: json.to_owned() };
/// assert_ne!(digest([&section("[]")]), digest([&section("[1]")]));
/// ```
#[must_use]
pub fn digest<'a>(sections: impl IntoIterator<Item = &'a Section>) -> u64 {
    let mut hash = Xxh3Default::new();
    for section in sections {
        // The line feeds separate the fields unambiguously: neither a name nor the JSON text contains one.
        hash.update(format!("{}\n{}\n", section.name, section.generation).as_bytes());
        hash.update(section.json.as_bytes());
        hash.update(b"\n");
    }
    hash.digest()
}

fn check_section(
    section: &Section,
    generation: Generation,
    seen: &mut BTreeSet<SectionName>,
) -> Result<(), Report<SectionError>> {
    let error = if !seen.insert(section.name) {
        SectionError::Duplicate
    } else if section.json.len() > MAX_SECTION_BYTES {
        SectionError::Malformed
    } else if section.generation > generation {
        SectionError::NewerThanUpdate
    } else {
        return Ok(());
    };
    Err(Report::new(error).attach(section.name))
}

/// Checks that all workspaces belong to the bucket. A workspace in two buckets could have two tiers, and the order of
/// merging would determine which one applies.
fn check_bucket(name: SectionName, workspaces: &[Workspace]) -> Result<(), Report<SectionError>> {
    let is_misplaced = |workspace: &Workspace| SectionName::of_workspace(&workspace.name) != name;
    if workspaces.iter().any(is_misplaced) {
        return Err(Report::new(SectionError::WrongBucket).attach(name));
    }
    Ok(())
}

/// Serializes items as JSON. This cannot fail, since the configuration has only string keys and finite numbers.
fn to_json(items: &Vec<impl Serialize>) -> String {
    serde_json::to_string(items).unwrap_or_default()
}
