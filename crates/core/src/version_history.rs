//! Software versions at which streams of a pool may have begun that their callers can still resume.
//!
//! What an entry observes ends with its process. So the versions are also kept in a record of the key-value service: a
//! version is added before streams begin at its servers, and removed once no server of it has been registered for as long as
//! a stream and the tries of its caller can last. After a restart of all entries the record still names every version
//! that a resumed stream can have begun at.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::exchange::EntryNumber;
use crate::ids::PoolId;
use crate::store_position::StorePosition;

/// Shortest time for which a version counts as recent after its last server left. It exceeds the longest time for which
/// callers of short streams try.
pub const MIN_RETENTION: Duration = Duration::from_mins(1);

/// Time between an entry learning of a version, or that it is recorded, and its first call to a server of it, while streams may
/// have begun at other versions. Meanwhile the other entries learn of the version, or know that they are out of step.
pub const ACTIVATION_DELAY: Duration = Duration::from_secs(2);

/// Age of an entry's view of the registry up to which it may take a version for the only one. The difference to
/// [`ACTIVATION_DELAY`] allows for the delay of the fastest message between two entries (see
/// [`store_view`](crate::store_view)).
pub const MAX_VIEW_AGE: Duration = Duration::from_millis(1_500);

/// Software version of a server.
pub type Version = String;

/// Versions by pool.
pub type VersionsByPool = BTreeMap<PoolId, BTreeSet<Version>>;

/// Content of the record in the key-value service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionRecord {
    /// Versions at which streams may have begun.
    pub versions: VersionsByPool,
    /// Those of them that every entry knows of, or knows that it is out of step. A process that starts may use them at once.
    pub propagated: VersionsByPool,
}

impl VersionRecord {
    fn names(&self, pool: &str, version: &str) -> bool {
        names(&self.versions, pool, version)
    }

    fn is_propagated(&self, pool: &str, version: &str) -> bool {
        names(&self.propagated, pool, version)
    }
}

fn names(versions: &VersionsByPool, pool: &str, version: &str) -> bool {
    versions
        .get(pool)
        .is_some_and(|versions| versions.contains(version))
}

/// Origin of the record that a process reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordOrigin {
    /// First read of a process while the whole system starts for the first time: no stream began before.
    FirstStart,
    /// First read of a process that starts while the system is in service.
    Restart,
    /// An entry wrote it.
    Written,
    /// The key-value service was restored from a backup, so that the last writes may be missing.
    Restored,
}

/// Registered server, as far as its version matters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredVersion {
    /// Pool of the server.
    pub pool: PoolId,
    /// Version of the server's software.
    pub version: Version,
    /// Whether the server is registered and accepts new calls.
    pub is_ready: bool,
}

/// Change of the record that has not been written yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingRecord {
    /// New content of the record.
    pub record: VersionRecord,
    /// Whether a pool has no ready server left until the record is written.
    pub is_urgent: bool,
}

/// Returns how many of the `others` are to write a change of the record before `entry`. The order follows from the record's
/// revision, so that an entry which cannot write does not delay every change.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeSet;
/// use tanagerford_core::version_history::writer_rank;
///
/// let ranks = [writer_rank(1, &BTreeSet::from([2]), 40), writer_rank(2, &BTreeSet::from([1]), 40)];
/// assert!(ranks == [0, 1] || ranks == [1, 0]);
/// ```
#[must_use]
pub fn writer_rank(entry: EntryNumber, others: &BTreeSet<EntryNumber>, revision: u64) -> usize {
    let weight =
        |entry: EntryNumber| xxhash_rust::xxh3::xxh3_64_with_seed(&entry.to_be_bytes(), revision);
    let earlier = others
        .iter()
        .filter(|other| weight(**other) > weight(entry));
    earlier.count()
}

/// Time in which the other entries learn of a version, while streams may have begun at others.
#[derive(Debug)]
struct Propagation {
    /// Time from which all entries know of the version, or know that they are out of step.
    until: Duration,
    /// Position of the key-value service at which this entry learned of the version.
    position: StorePosition,
}

/// Versions of one pool.
#[derive(Debug, Default)]
struct PoolVersions {
    /// Versions of servers that are registered or left a short time ago, with the time at which the last server left; `None`
    /// while one is registered.
    recent: BTreeMap<Version, Option<Duration>>,
    /// Versions of servers that accept new calls.
    ready: BTreeSet<Version>,
    /// Recent versions that other entries may not know of yet.
    propagations: BTreeMap<Version, Propagation>,
    /// Time for which a version stays recent.
    retention: Duration,
    /// Time until which callers may resume streams that began before this process started, at versions it cannot know.
    unknown_until: Duration,
}

impl PoolVersions {
    /// Lets the other entries learn of versions that this entry has just learned of. There is no need to wait for the first
    /// version of a pool whose earlier ones are known: no stream began at another one.
    fn propagate(
        &mut self,
        now: Duration,
        position: StorePosition,
        versions: impl IntoIterator<Item = Version>,
    ) {
        if self.recent.len() == 1 && now >= self.unknown_until {
            return;
        }
        let until = now + ACTIVATION_DELAY;
        let propagations = versions
            .into_iter()
            .map(|version| (version, Propagation { until, position }));
        self.propagations.extend(propagations);
    }
}

/// Versions of all pools whose streams can be resumed.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
/// use std::time::Duration;
/// use tanagerford_core::version_history::{
///     RecordOrigin, RegisteredVersion, VersionHistory, VersionRecord,
/// };
///
/// let mut history = VersionHistory::default();
/// let now = Duration::ZERO;
/// // A process starts after the servers of v1 have left.
/// let versions = BTreeMap::from([("engines".to_owned(), ["v1".to_owned()].into())]);
/// let record = VersionRecord { versions, ..VersionRecord::default() };
/// history.set_record(now, Some(record), RecordOrigin::Restart);
/// let server = RegisteredVersion { pool: "engines".into(), version: "v2".into(), is_ready: true };
/// history.observe(now, &BTreeMap::from([("engines".into(), Duration::from_mins(1))]), &[server]);
/// assert_eq!(history.only_version(now, "engines", Duration::ZERO), None);
/// ```
#[derive(Debug, Default)]
pub struct VersionHistory {
    pools: BTreeMap<PoolId, PoolVersions>,
    /// Content of the record; `None` before the first read, and without a key-value service.
    record: Option<VersionRecord>,
    /// Times at which versions may receive their first calls that joined a recorded pool, unless the record says that they have
    /// propagated.
    activations: BTreeMap<(PoolId, Version), Duration>,
    /// Time of the first read of the record by a process that starts while the system is in service.
    restarted_at: Option<Duration>,
    /// Position of the key-value service that the next record or servers stem from.
    position: StorePosition,
    /// Position that all other registered entries have reached.
    known_by_others: StorePosition,
}

impl VersionHistory {
    /// Sets the position of the key-value service that the next record or servers stem from.
    pub fn set_position(&mut self, position: StorePosition) {
        self.position = position;
    }

    /// Sets the position that all other registered entries have reached; returns whether servers may receive their first calls now.
    pub fn set_known_by_others(&mut self, position: StorePosition) -> bool {
        let before = std::mem::replace(&mut self.known_by_others, position);
        let mut propagations = self.propagations();
        propagations.any(|version| before < version.position && version.position <= position)
    }

    fn propagations(&self) -> impl Iterator<Item = &Propagation> {
        let pools = self.pools.values();
        pools.flat_map(|state| state.propagations.values())
    }

    /// Sets the content of the record; `None` if it is missing or unreadable. The versions that it names count as recent,
    /// since streams may have begun there. A version that another entry removed counts no longer, unless a server of it is
    /// registered.
    pub fn set_record(
        &mut self,
        now: Duration,
        record: Option<VersionRecord>,
        origin: RecordOrigin,
    ) {
        if origin == RecordOrigin::Restart {
            self.restarted_at = Some(now);
        }
        let is_removal_known = record.is_some() && origin == RecordOrigin::Written;
        let mut record = record.unwrap_or_default();
        let before = self.record.take().unwrap_or_default();
        if origin == RecordOrigin::Restored {
            // A version that the backup names may have left and come back since.
            let is_known = |pool: &str, version: &Version| before.is_propagated(pool, version);
            for (pool, versions) in &mut record.propagated {
                versions.retain(|version| is_known(pool, version));
            }
        }
        self.record = Some(record.clone());
        for (pool, versions) in &record.versions {
            let state = self.pools.entry(pool.clone()).or_default();
            // Only an entry that knows the earlier versions of a pool records it.
            state.unknown_until = Duration::ZERO;
            let mut new = Vec::new();
            for version in versions {
                state.recent.entry(version.clone()).or_insert_with(|| {
                    // A process that starts takes all for new that have not propagated.
                    if !record.is_propagated(pool, version) {
                        new.push(version.clone());
                    }
                    Some(now)
                });
            }
            state.propagate(now, self.position, new);
        }
        self.set_activations(now, &before, &record, origin);
        if is_removal_known {
            for (pool, state) in &mut self.pools {
                state.recent.retain(|version, left_at| {
                    left_at.is_none() || !before.names(pool, version) || record.names(pool, version)
                });
            }
        }
    }

    /// Delays the first calls to versions that joined those of a pool and may be unknown to other entries.
    fn set_activations(
        &mut self,
        now: Duration,
        before: &VersionRecord,
        record: &VersionRecord,
        origin: RecordOrigin,
    ) {
        self.activations.retain(|(pool, version), at| {
            *at > now && record.names(pool, version) && !record.is_propagated(pool, version)
        });
        for (pool, versions) in &record.versions {
            let before_pool = before.versions.get(pool);
            // After a restoration the entries have used the versions that they knew before.
            let has_others = origin == RecordOrigin::Written
                && before_pool.is_some_and(|versions| !versions.is_empty());
            let state = self.pools.get(pool);
            let propagates = |version: &str| {
                let propagation = state.and_then(|state| state.propagations.get(version));
                propagation.is_some_and(|propagation| propagation.until > now)
            };
            let is_new = |version: &&Version| {
                !before.names(pool, version)
                    && !record.is_propagated(pool, version)
                    && (has_others || propagates(version))
            };
            for version in versions.iter().filter(is_new) {
                let key = (pool.clone(), version.clone());
                self.activations.insert(key, now + ACTIVATION_DELAY);
            }
        }
    }

    /// Returns the time at which the next version may receive its first calls.
    #[must_use]
    pub fn next_activation(&self) -> Option<Duration> {
        let propagations = self.propagations().map(|version| version.until);
        propagations.chain(self.activations.values().copied()).min()
    }

    /// Returns whether versions may receive their first calls since the last call of this function.
    pub fn take_activated(&mut self, now: Duration) -> bool {
        let count = |history: &Self| history.activations.len() + history.propagations().count();
        let before = count(self);
        self.activations.retain(|_, at| *at > now);
        for state in self.pools.values_mut() {
            state.propagations.retain(|_, version| version.until > now);
        }
        count(self) < before
    }

    /// Takes over the registered servers of the pools whose streams can be resumed. `retentions` names these pools with the
    /// time for which a version stays recent after its last server left.
    pub fn observe(
        &mut self,
        now: Duration,
        retentions: &BTreeMap<PoolId, Duration>,
        servers: &[RegisteredVersion],
    ) {
        for state in self.pools.values_mut() {
            state.ready.clear();
            for left_at in state.recent.values_mut() {
                left_at.get_or_insert(now);
            }
        }
        // The versions of a pool that is new here, by a first read or a change of the configuration, are not new themselves.
        let known_pools: BTreeSet<PoolId> = self.pools.keys().cloned().collect();
        let mut new: BTreeMap<&PoolId, Vec<Version>> = BTreeMap::new();
        for (pool, retention) in retentions {
            // The record of a restarted process names the versions of all pools that had any.
            let unknown_until = self.restarted_at.map_or(now, |at| at + *retention);
            let state = self
                .pools
                .entry(pool.clone())
                .or_insert_with(|| PoolVersions {
                    unknown_until,
                    ..PoolVersions::default()
                });
            state.retention = *retention;
        }
        for server in servers {
            let Some(state) = self.pools.get_mut(&server.pool) else {
                continue;
            };
            if known_pools.contains(&server.pool) && !state.recent.contains_key(&server.version) {
                new.entry(&server.pool)
                    .or_default()
                    .push(server.version.clone());
            }
            state.recent.insert(server.version.clone(), None);
            if server.is_ready {
                state.ready.insert(server.version.clone());
            }
        }
        for (pool, versions) in new {
            if let Some(state) = self.pools.get_mut(pool) {
                state.propagate(now, self.position, versions);
            }
        }
        self.pools.retain(|pool, state| {
            let retention = state.retention.max(MIN_RETENTION);
            state.recent.retain(|_, left_at| {
                left_at.is_none_or(|left_at| now.saturating_sub(left_at) < retention)
            });
            let recent = &state.recent;
            state
                .propagations
                .retain(|version, _| recent.contains_key(version));
            retentions.contains_key(pool) || !state.recent.is_empty()
        });
    }

    /// Returns the recent versions of a pool.
    #[must_use]
    pub fn recent(&self, pool: &str) -> BTreeSet<Version> {
        let state = self.pools.get(pool);
        let versions = state.into_iter().flat_map(|state| state.recent.keys());
        versions.cloned().collect()
    }

    /// Returns whether some pool has several recent versions.
    #[must_use]
    pub fn has_several(&self) -> bool {
        self.pools.values().any(|state| state.recent.len() > 1)
    }

    /// Returns the version at which every stream of a pool began that can still be resumed; `None` if several come into
    /// question, or if this entry may be out of step. `view_age` is the time for which changes of the registry can be unknown here.
    #[must_use]
    pub fn only_version(&self, now: Duration, pool: &str, view_age: Duration) -> Option<&Version> {
        if view_age > MAX_VIEW_AGE {
            return None;
        }
        let state = self.pools.get(pool)?;
        let mut versions = state.recent.keys();
        let version = versions.next()?;
        (versions.next().is_none() && now >= state.unknown_until).then_some(version)
    }

    /// Returns whether the servers of a version receive no calls yet: another entry may still send resumed streams of that
    /// version to servers of an earlier one.
    ///
    /// While the pool has ready servers of a version in use, one that the record does not name, or has named for less than
    /// [`ACTIVATION_DELAY`] without saying that it has propagated, waits. Without such servers it waits only until all registered
    /// entries know of it, and for at most that delay: an entry that still does not know of it is out of step by then, and takes
    /// no version for the only one.
    #[must_use]
    pub fn is_withheld(&self, now: Duration, pool: &str, version: &str) -> bool {
        let Some(state) = self.pools.get(pool) else {
            return false;
        };
        if self.record.is_none() || self.is_active(now, pool, version) {
            return false;
        }
        let mut ready = state.ready.iter();
        ready.any(|ready| self.is_active(now, pool, ready))
            || self.propagated_by(now, pool, version).is_some()
    }

    /// Returns the time by which all entries know of a version, or are out of step; `None` if they do already.
    fn propagated_by(&self, now: Duration, pool: &str, version: &str) -> Option<Duration> {
        let state = self.pools.get(pool)?;
        let propagation = state.propagations.get(version)?;
        // After a restart of all entries only the record tells of streams that began at servers that have left.
        let is_restart_safe = self.is_recorded(pool, version) || now < state.unknown_until;
        let is_known = self.known_by_others >= propagation.position && is_restart_safe;
        (!is_known && now < propagation.until).then_some(propagation.until)
    }

    /// Returns the time by which a pool has servers that receive calls again, if all of its ready ones wait until the other
    /// entries know of their versions.
    #[must_use]
    pub fn withheld_until(&self, now: Duration, pool: &str) -> Option<Duration> {
        let ready = self.pools.get(pool)?.ready.iter();
        let ends = ready.map(|version| {
            let is_withheld = self.is_withheld(now, pool, version);
            let until = self.propagated_by(now, pool, version);
            until.filter(|_| is_withheld)
        });
        ends.min()?
    }

    fn is_active(&self, now: Duration, pool: &str, version: &str) -> bool {
        let key = (pool.to_owned(), version.to_owned());
        let activation = self.activations.get(&key);
        self.is_recorded(pool, version) && activation.is_none_or(|at| *at <= now)
    }

    fn is_recorded(&self, pool: &str, version: &str) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| record.names(pool, version))
    }

    /// Returns whether every entry knows of a version, or knows that it is out of step.
    fn is_propagated(&self, now: Duration, pool: &str, version: &str) -> bool {
        let Some(record) = &self.record else {
            return false;
        };
        if record.is_propagated(pool, version) {
            return true;
        }
        let state = self.pools.get(pool);
        let propagation = state.and_then(|state| state.propagations.get(version));
        // The first version of a pool needs no propagation.
        let is_activated =
            !record.versions.contains_key(pool) || self.is_active(now, pool, version);
        is_activated && propagation.is_none_or(|propagation| propagation.until <= now)
    }

    /// Returns the change of the record that is due; `None` if it names what it should. A pool whose earlier versions are
    /// unknown is not recorded, since processes that start later would take its record for complete.
    #[must_use]
    pub fn pending(&self, now: Duration) -> Option<PendingRecord> {
        let recorded = self.record.as_ref()?;
        let known = self
            .pools
            .iter()
            .filter(|(_, state)| now >= state.unknown_until && !state.recent.is_empty());
        let versions = |(pool, state): (&PoolId, &PoolVersions)| {
            (pool.clone(), state.recent.keys().cloned().collect())
        };
        let versions: VersionsByPool = known.map(versions).collect();
        let propagated = versions.iter().map(|(pool, versions)| {
            let propagated = versions.iter();
            let propagated = propagated.filter(|version| self.is_propagated(now, pool, version));
            (pool.clone(), propagated.cloned().collect::<BTreeSet<_>>())
        });
        let propagated = propagated.filter(|(_, versions)| !versions.is_empty());
        let record = VersionRecord {
            propagated: propagated.collect(),
            versions,
        };
        if *recorded == record {
            return None;
        }
        let is_urgent = self.pools.iter().any(|(pool, state)| {
            let is_recorded = |version: &Version| self.is_recorded(pool, version);
            recorded.versions.contains_key(pool)
                && !state.ready.is_empty()
                && !state.ready.iter().any(is_recorded)
        });
        Some(PendingRecord { record, is_urgent })
    }

    /// Returns the time at which the next version stops being recent.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        let ends = self.pools.values().flat_map(|state| {
            let left = state.recent.values().flatten();
            left.map(|left_at| *left_at + state.retention.max(MIN_RETENTION))
        });
        ends.min()
    }
}
