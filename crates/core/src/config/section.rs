//! Sections of the configuration, each with the generation that last changed it.
//!
//! The sheet of one morning touches a few workspaces, so the workspaces are spread over 64 buckets by the hash of their
//! name and only the changed buckets travel between processes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use error_stack::{Report, ResultExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64};

use super::{Configuration, Workspace};
use crate::ids::Generation;

/// Count of the buckets of workspaces.
pub const WORKSPACE_BUCKETS: u8 = 64;

/// Longest JSON text of one section, in bytes; the limit of a value of the key-value service.
pub const MAX_SECTION_BYTES: usize = 1_000_000;

/// Name of a section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SectionName {
    /// The tiers.
    Tiers,
    /// The classes.
    Classes,
    /// The models.
    Models,
    /// The services.
    Services,
    /// One bucket of workspaces, below [`WORKSPACE_BUCKETS`].
    Workspaces(u8),
}

/// Part of the configuration as JSON text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// Name.
    pub name: SectionName,
    /// Generation that last changed it.
    pub generation: Generation,
    /// JSON array of the section's items.
    pub json: String,
}

/// Sections that a process gives to another one.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SectionUpdate {
    /// Generation that the receiver has after the update.
    pub generation: Generation,
    /// [`digest`] of all sections that the receiver has after the update.
    pub digest: u64,
    /// Sections that changed since the receiver's generation.
    pub sections: Vec<Section>,
}

/// All sections of one generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sections {
    generation: Generation,
    digest: u64,
    by_name: BTreeMap<SectionName, Section>,
}

/// Why sections do not make a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SectionError {
    /// A section's name is not known.
    UnknownName,
    /// A section is missing.
    Missing,
    /// A section occurs twice.
    Duplicate,
    /// A section is longer than [`MAX_SECTION_BYTES`] or not the JSON of its items.
    Malformed,
    /// A section is newer than the generation it came with.
    FromTheFuture,
    /// A workspace is in the bucket of another name.
    WrongBucket,
    /// The sections in force do not belong to the history of the update, so that only all sections make a whole.
    Diverged,
}

impl fmt::Display for SectionError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::UnknownName => "unknown section name",
            Self::Missing => "section is missing",
            Self::Duplicate => "section occurs twice",
            Self::Malformed => "section is too long or malformed",
            Self::FromTheFuture => "section is newer than its configuration",
            Self::WrongBucket => "workspace is in a wrong bucket",
            Self::Diverged => "sections in force belong to another history",
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
    /// Returns all section names.
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

    /// Returns the section of a workspace.
    #[must_use]
    pub fn of_workspace(name: &str) -> Self {
        let bucket = xxh3_64(name.as_bytes()) % u64::from(WORKSPACE_BUCKETS);
        Self::Workspaces(u8::try_from(bucket).unwrap_or_default())
    }
}

impl Sections {
    /// Cuts a configuration; a section that is equal in `previous` keeps its generation.
    ///
    /// ```
    /// use tanagerford_core::config::Configuration;
    /// use tanagerford_core::config::section::Sections;
    ///
    /// let text = r#"{"generation": 4, "tiers": [], "classes": [], "workspaces": [
    ///     {"name": "b", "key_sha256": [], "tier": "t"}, {"name": "a", "key_sha256": [], "tier": "t"}
    /// ], "models": [], "services": []}"#;
    /// let configuration: Configuration = serde_json::from_str(text).unwrap();
    /// let sections = Sections::cut(&configuration, None);
    /// assert_eq!(sections.since(3).sections.len(), 68);
    /// let merged = sections.merge().unwrap();
    /// assert_eq!(merged.workspaces[0].name, "a");
    /// ```
    #[must_use]
    pub fn cut(configuration: &Configuration, previous: Option<&Self>) -> Self {
        let mut buckets: BTreeMap<SectionName, Vec<&Workspace>> = BTreeMap::new();
        for workspace in &configuration.workspaces {
            let section = SectionName::of_workspace(&workspace.name);
            buckets.entry(section).or_default().push(workspace);
        }
        // The order of a bucket does not change the configuration, so it must not change the section either.
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
        Self::whole(generation, sections.collect())
    }

    fn whole(generation: Generation, by_name: BTreeMap<SectionName, Section>) -> Self {
        Self {
            generation,
            digest: digest(by_name.values()),
            by_name,
        }
    }

    /// Returns the generation of the configuration.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the sections that changed after `generation`.
    #[must_use]
    pub fn since(&self, generation: Generation) -> SectionUpdate {
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

    /// Merges an update into the sections in force, or builds the first sections from a whole one.
    ///
    /// The update must hold all sections that changed since `current`; its generation is the new one. Whether that
    /// generation may be used at all is decided by [`crate::generation`].
    ///
    /// # Errors
    ///
    /// Fails if a section is unknown, twice, missing, too long or newer than the update, or if the result is not what
    /// the sender has.
    pub fn updated(
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
        let sections = Self::whole(update.generation, by_name);
        if sections.digest != update.digest {
            return Err(Report::new(SectionError::Diverged).attach(update.generation));
        }
        Ok(sections)
    }

    /// Returns the configuration, with its workspaces in the order of their names.
    ///
    /// # Errors
    ///
    /// Fails if a section is not the JSON of its items or a workspace is in a wrong bucket.
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

/// Returns the digest of all sections, given in the order of their names.
///
/// After the key-value service was restored from a backup, equal generations can stand for different sections. The
/// digest shows it when the changed sections of one history are merged into the other.
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
        // The decimal generation and the line feeds separate the fields; neither a name nor JSON holds a line feed.
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
    let fault = if !seen.insert(section.name) {
        SectionError::Duplicate
    } else if section.json.len() > MAX_SECTION_BYTES {
        SectionError::Malformed
    } else if section.generation > generation {
        SectionError::FromTheFuture
    } else {
        return Ok(());
    };
    Err(Report::new(fault).attach(section.name))
}

/// A workspace in two buckets would have two tiers, and the one in force would depend on the order of merging.
fn check_bucket(name: SectionName, workspaces: &[Workspace]) -> Result<(), Report<SectionError>> {
    let misplaced = |w: &&Workspace| SectionName::of_workspace(&w.name) != name;
    if workspaces.iter().any(|workspace| misplaced(&workspace)) {
        return Err(Report::new(SectionError::WrongBucket).attach(name));
    }
    Ok(())
}

/// The configuration's types have string keys and finite numbers only, so writing them as JSON cannot fail.
fn to_json(items: &Vec<impl Serialize>) -> String {
    serde_json::to_string(items).unwrap_or_default()
}
