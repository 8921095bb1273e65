//! Table of known members, with digests for anti-entropy.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64;

use super::member::{Member, MemberKey, MemberState, MemberStatus, Profile};
use super::message::{Update, short_key};
use super::suspicion::Suspicion;
use crate::ids::Generation;

/// Number of key ranges for which anti-entropy compares digests.
pub const SYNC_BUCKETS: usize = 128;

const BUCKET_SHIFT: u32 = 64 - SYNC_BUCKETS.ilog2();

/// Known member of the fleet.
#[derive(Debug)]
pub(super) struct Record {
    pub profile: Arc<Profile>,
    pub status: MemberStatus,
    pub generation: Generation,
    /// Time of the last status change.
    pub changed_at: Duration,
    /// Whether the member itself announced that it stopped.
    pub is_departed: bool,
    pub suspicion: Option<Suspicion>,
}

impl Record {
    pub fn is_dead(&self) -> bool {
        self.status.state == MemberState::Dead
    }

    pub fn to_member(&self) -> Member {
        Member {
            profile: Arc::clone(&self.profile),
            status: self.status,
            generation: self.generation,
        }
    }

    /// Returns the claim about the member, with its profile if `with_profile`.
    pub fn to_update(&self, key: MemberKey, with_profile: bool) -> Update {
        Update {
            key,
            status: self.status,
            reporter: 0,
            profile: with_profile.then(|| Arc::clone(&self.profile)),
        }
    }
}

/// All known members except this process.
#[derive(Debug)]
pub(super) struct Table {
    records: BTreeMap<MemberKey, Record>,
    /// Keys of all members that are not dead.
    live: Vec<MemberKey>,
    digests: [u32; SYNC_BUCKETS],
    /// Number of members that are suspected, or dead without having announced it.
    failing: usize,
    /// Keys of all members with a running suspicion timeout.
    with_suspicion: BTreeSet<MemberKey>,
}

impl Table {
    pub fn new() -> Self {
        Self {
            records: BTreeMap::new(),
            live: Vec::new(),
            digests: [0; SYNC_BUCKETS],
            failing: 0,
            with_suspicion: BTreeSet::new(),
        }
    }

    pub fn get(&self, key: MemberKey) -> Option<&Record> {
        self.records.get(&key)
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn live(&self) -> &[MemberKey] {
        &self.live
    }

    pub fn failing(&self) -> usize {
        self.failing
    }

    /// Returns the members with a running suspicion timeout.
    pub fn with_suspicion(&self) -> impl Iterator<Item = (MemberKey, &Record)> {
        self.with_suspicion
            .iter()
            .filter_map(|key| Some((*key, self.records.get(key)?)))
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &Record)> {
        self.records.iter().map(|(key, record)| (*key, record))
    }

    pub fn in_bucket(&self, bucket: usize) -> impl Iterator<Item = (MemberKey, &Record)> {
        let first = (bucket as u64) << BUCKET_SHIFT;
        let last = first | ((1 << BUCKET_SHIFT) - 1);
        self.records
            .range(first..=last)
            .map(|(key, record)| (*key, record))
    }

    pub fn digests(&self) -> &[u32; SYNC_BUCKETS] {
        &self.digests
    }

    /// Adds or replaces a member.
    pub fn insert(&mut self, key: MemberKey, record: Record) {
        self.remove(key);
        self.add_to_indexes(key, &record);
        self.records.insert(key, record);
    }

    pub fn remove(&mut self, key: MemberKey) {
        if let Some(record) = self.records.remove(&key) {
            self.remove_from_indexes(key, &record);
        }
    }

    /// Changes a member and updates the digests and other derived data.
    pub fn update(&mut self, key: MemberKey, change: impl FnOnce(&mut Record)) {
        let Some(mut record) = self.records.remove(&key) else {
            return;
        };
        self.remove_from_indexes(key, &record);
        change(&mut record);
        self.add_to_indexes(key, &record);
        self.records.insert(key, record);
    }

    /// Changes fields of a member from which no digest or other data is derived.
    pub fn update_unindexed(&mut self, key: MemberKey, change: impl FnOnce(&mut Record)) {
        if let Some(record) = self.records.get_mut(&key) {
            change(record);
        }
    }

    /// Returns up to `count` distinct random members that are not dead and not `except`.
    pub fn pick(
        &self,
        rng: &mut Pcg64Mcg,
        count: usize,
        except: Option<MemberKey>,
    ) -> Vec<MemberKey> {
        let mut picked = Vec::with_capacity(count);
        for _ in 0..count * 3 {
            if picked.len() == count || self.live.is_empty() {
                break;
            }
            let key = self.live[rng.random_range(0..self.live.len())];
            if Some(key) != except && !picked.contains(&key) {
                picked.push(key);
            }
        }
        picked
    }

    fn add_to_indexes(&mut self, key: MemberKey, record: &Record) {
        if is_failing(record) {
            self.failing += 1;
        }
        if record.suspicion.is_some() {
            self.with_suspicion.insert(key);
        }
        if record.is_dead() {
            return;
        }
        self.digests[bucket_of(key)] ^= digest(key, record.status);
        self.live.push(key);
    }

    fn remove_from_indexes(&mut self, key: MemberKey, record: &Record) {
        if is_failing(record) {
            self.failing -= 1;
        }
        self.with_suspicion.remove(&key);
        if record.is_dead() {
            return;
        }
        self.digests[bucket_of(key)] ^= digest(key, record.status);
        if let Some(index) = self.live.iter().position(|live| *live == key) {
            self.live.swap_remove(index);
        }
    }
}

fn is_failing(record: &Record) -> bool {
    match record.status.state {
        MemberState::Suspect => true,
        MemberState::Dead => !record.is_departed,
        MemberState::Alive | MemberState::Leaving => false,
    }
}

/// Returns the bucket of a key, which is its highest bits, so that a bucket is a contiguous range of the table.
pub(super) fn bucket_of(key: MemberKey) -> usize {
    usize::try_from(key >> BUCKET_SHIFT).unwrap_or(0)
}

/// Returns the digest of a member that is not dead. It does not cover suspicion, which is short-lived.
pub(super) fn digest(key: MemberKey, status: MemberStatus) -> u32 {
    let mut bytes = [0; 21];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..16].copy_from_slice(&status.incarnation.to_le_bytes());
    bytes[16..20].copy_from_slice(&status.refutation.to_le_bytes());
    bytes[20] = u8::from(status.state == MemberState::Leaving);
    short_key(xxh3_64(&bytes))
}
