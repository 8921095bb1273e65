//! Table of known members with digests for anti-entropy.

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

/// Count of buckets whose digests anti-entropy compares.
pub const SYNC_BUCKETS: usize = 128;

const BUCKET_SHIFT: u32 = 64 - SYNC_BUCKETS.ilog2();

/// What is known of a member.
#[derive(Debug)]
pub(super) struct Record {
    pub profile: Arc<Profile>,
    pub status: MemberStatus,
    pub generation: Generation,
    /// When the state last changed.
    pub changed_at: Duration,
    /// Whether the member announced its end itself.
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

    /// Returns the claim about the member, with its data if `with_profile`.
    pub fn to_update(&self, key: MemberKey, with_profile: bool) -> Update {
        Update {
            key,
            status: self.status,
            reporter: 0,
            profile: with_profile.then(|| Arc::clone(&self.profile)),
        }
    }
}

/// Known members other than this process.
#[derive(Debug)]
pub(super) struct Table {
    records: BTreeMap<MemberKey, Record>,
    /// Keys of all members that are not dead.
    live: Vec<MemberKey>,
    digests: [u32; SYNC_BUCKETS],
    /// Count of members that are suspected, or dead without having announced it.
    failing: usize,
    /// Keys of all members with a suspicion timer.
    timed: BTreeSet<MemberKey>,
}

impl Table {
    pub fn new() -> Self {
        Self {
            records: BTreeMap::new(),
            live: Vec::new(),
            digests: [0; SYNC_BUCKETS],
            failing: 0,
            timed: BTreeSet::new(),
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

    /// Returns the members with a suspicion timer.
    pub fn timed(&self) -> impl Iterator<Item = (MemberKey, &Record)> {
        self.timed
            .iter()
            .filter_map(|key| Some((*key, self.records.get(key)?)))
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &Record)> {
        self.records.iter().map(|(key, record)| (*key, record))
    }

    pub fn bucket(&self, bucket: usize) -> impl Iterator<Item = (MemberKey, &Record)> {
        let first = (bucket as u64) << BUCKET_SHIFT;
        let last = first | ((1 << BUCKET_SHIFT) - 1);
        self.records
            .range(first..=last)
            .map(|(key, record)| (*key, record))
    }

    pub fn digests(&self) -> &[u32; SYNC_BUCKETS] {
        &self.digests
    }

    /// Adds a member.
    pub fn insert(&mut self, key: MemberKey, record: Record) {
        self.remove(key);
        self.count_in(key, &record);
        self.records.insert(key, record);
    }

    /// Removes a member.
    pub fn remove(&mut self, key: MemberKey) {
        if let Some(record) = self.records.remove(&key) {
            self.count_out(key, &record);
        }
    }

    /// Changes a member and keeps digests and counts right.
    pub fn change(&mut self, key: MemberKey, change: impl FnOnce(&mut Record)) {
        let Some(mut record) = self.records.remove(&key) else {
            return;
        };
        self.count_out(key, &record);
        change(&mut record);
        self.count_in(key, &record);
        self.records.insert(key, record);
    }

    /// Changes data of a member that neither digests nor counts depend on.
    pub fn touch(&mut self, key: MemberKey, change: impl FnOnce(&mut Record)) {
        if let Some(record) = self.records.get_mut(&key) {
            change(record);
        }
    }

    /// Picks up to `count` distinct members that are not dead and not `except`.
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

    fn count_in(&mut self, key: MemberKey, record: &Record) {
        if is_failing(record) {
            self.failing += 1;
        }
        if record.suspicion.is_some() {
            self.timed.insert(key);
        }
        if record.is_dead() {
            return;
        }
        self.digests[bucket_of(key)] ^= digest(key, record.status);
        self.live.push(key);
    }

    fn count_out(&mut self, key: MemberKey, record: &Record) {
        if is_failing(record) {
            self.failing -= 1;
        }
        self.timed.remove(&key);
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

/// Returns the bucket of a key: its highest bits, so that a bucket is a range of the table.
pub(super) fn bucket_of(key: MemberKey) -> usize {
    usize::try_from(key >> BUCKET_SHIFT).unwrap_or(0)
}

/// Digest of a member that is not dead. Suspicion is left out because it is short-lived.
pub(super) fn digest(key: MemberKey, status: MemberStatus) -> u32 {
    let mut bytes = [0; 21];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..16].copy_from_slice(&status.incarnation.to_le_bytes());
    bytes[16..20].copy_from_slice(&status.refutation.to_le_bytes());
    bytes[20] = u8::from(status.state == MemberState::Leaving);
    short_key(xxh3_64(&bytes))
}
