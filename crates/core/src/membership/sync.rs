//! Joining, anti-entropy and attempts to contact members that were declared dead.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;

use super::detector::{Membership, jitter};
use super::member::MemberKey;
use super::message::{Body, Packer};
use super::table::{Record, SYNC_BUCKETS, bucket_of, digest};

/// Number of seeds contacted at once while no live member is known.
const JOIN_FANOUT: usize = 3;

/// Maximum mean time between attempts to join, in probe periods.
const MAX_JOIN_PERIODS: u32 = 10;

/// Part of the anti-entropy budget that is reserved for requests for profiles and their responses.
const PROFILE_RESERVE_BYTES: u32 = 8 * 1_200;

impl Membership {
    /// Requests the members from seeds while no live member is known, with jittered exponential backoff.
    pub(super) fn join(&mut self, now: Duration) {
        if now < self.join_at || !self.table.live().is_empty() || self.seeds.is_empty() {
            return;
        }
        let periods = (1 << self.join_attempts.min(4)).min(MAX_JOIN_PERIODS);
        self.join_attempts += 1;
        self.join_at = now + jitter(&mut self.rng, self.params.probe_period * periods);
        let seeds: Vec<SocketAddr> = self
            .seeds
            .sample(&mut self.rng, JOIN_FANOUT)
            .copied()
            .collect();
        for seed in seeds {
            self.send_sync(seed);
        }
    }

    pub(super) fn run_sync(&mut self, now: Duration) {
        if now < self.sync_at {
            return;
        }
        self.sync_at = now + jitter(&mut self.rng, self.params.sync_period);
        if !self.sync_budget.is_available() {
            self.counters.throttled += 1;
            return;
        }
        for peer in self.table.pick(&mut self.rng, 1, None) {
            if let Some(record) = self.table.get(peer) {
                self.send_sync(record.profile.gossip_address);
            }
        }
    }

    /// Contacts a member that was declared dead and a seed that is not a live member, so that the two sides of a healed
    /// partition find each other again.
    pub(super) fn run_reconnect(&mut self, now: Duration) {
        if now < self.reconnect_at {
            return;
        }
        self.reconnect_at = now + jitter(&mut self.rng, self.params.reconnect_period);
        if !self.sync_budget.is_available() || self.table.live().is_empty() {
            return;
        }
        let is_unreachable = |record: &Record| record.is_dead() && !record.is_departed;
        let unreachable: Vec<MemberKey> = self
            .table
            .iter()
            .filter(|(_, record)| is_unreachable(record))
            .map(|(key, _)| key)
            .collect();
        if let Some(key) = unreachable.choose(&mut self.rng).copied() {
            let number = self.rng.random();
            self.ping(key, number);
        }
        let live_addresses: BTreeSet<SocketAddr> = self
            .table
            .iter()
            .filter(|(_, record)| !record.is_dead())
            .map(|(_, record)| record.profile.gossip_address)
            .collect();
        let own_address = self.profile.gossip_address;
        let unknown_seeds = self
            .seeds
            .iter()
            .filter(|seed| **seed != own_address && !live_addresses.contains(*seed));
        let unknown_seeds: Vec<SocketAddr> = unknown_seeds.copied().collect();
        if let Some(seed) = unknown_seeds.choose(&mut self.rng).copied() {
            self.send_sync(seed);
        }
    }

    /// Responds with the members of the buckets whose digests differ, from a random bucket on and as far as the byte
    /// budget allows. The peer repeats its request if it needs more.
    pub(super) fn on_sync(&mut self, from: SocketAddr, sender: MemberKey, digests: &[u32]) {
        // The claims sent here lead to requests for profiles, for which the rest of the budget is reserved.
        if !self.sync_budget.has_more_than(PROFILE_RESERVE_BYTES) {
            self.counters.throttled += 1;
            return;
        }
        let own_digests = self.own_digests();
        let is_new_member = digests.len() != SYNC_BUCKETS;
        if is_new_member {
            self.send_items(from);
        }
        let first = self.rng.random_range(0..SYNC_BUCKETS);
        let mut updates = Vec::new();
        for offset in 0..SYNC_BUCKETS {
            let bucket = (first + offset) % SYNC_BUCKETS;
            let peer_digest = digests.get(bucket).copied().unwrap_or(0);
            if !is_new_member && peer_digest == own_digests[bucket] {
                continue;
            }
            let with_profiles = is_new_member || peer_digest == 0;
            if bucket == bucket_of(self.key) {
                updates.push(self.own_update(with_profiles));
            }
            for (key, record) in self.table.in_bucket(bucket) {
                let is_useful = key != sender && !(with_profiles && record.is_dead());
                if is_useful {
                    updates.push(record.to_update(key, with_profiles));
                }
            }
        }
        let max_datagrams = if is_new_member {
            self.params.profile_datagrams
        } else {
            self.params.claim_datagrams
        };
        self.send_entries(from, &updates, max_datagrams);
    }

    /// Responds to a request for profiles.
    pub(super) fn on_request(&mut self, from: SocketAddr, keys: &[MemberKey]) {
        let mut updates = Vec::new();
        for key in keys {
            if *key == self.key {
                updates.push(self.own_update(true));
            } else if let Some(record) = self.table.get(*key).filter(|record| !record.is_dead()) {
                updates.push(record.to_update(*key, true));
            }
        }
        self.send_entries(from, &updates, self.params.profile_datagrams);
    }

    /// Schedules the next exchange earlier if this one brought changes.
    pub(super) fn on_entries(&mut self, now: Duration, changes: usize) {
        if changes > 0 {
            let soon = now + jitter(&mut self.rng, self.params.fast_sync_period);
            self.sync_at = self.sync_at.min(soon);
        }
    }

    /// Responds to outdated claims of an exchange with the newer ones of this process.
    pub(super) fn send_newer(&mut self, to: SocketAddr, keys: &[MemberKey]) {
        let records = keys
            .iter()
            .filter_map(|key| Some((*key, self.table.get(*key)?)));
        let updates: Vec<_> = records
            .map(|(key, record)| record.to_update(key, false))
            .collect();
        self.send_entries(to, &updates, self.params.claim_datagrams);
    }

    fn send_sync(&mut self, to: SocketAddr) {
        let digests = if self.table.len() == 0 {
            Vec::new()
        } else {
            self.own_digests().to_vec()
        };
        let own_update = self.own_update(digests.is_empty());
        self.send(to, Body::Sync { digests }, Some(&own_update));
    }

    /// Returns the digests of the table with this process included, as in the tables of its peers.
    fn own_digests(&self) -> [u32; SYNC_BUCKETS] {
        let mut digests = *self.table.digests();
        digests[bucket_of(self.key)] ^= digest(self.key, self.status);
        digests
    }

    fn send_entries(&mut self, to: SocketAddr, updates: &[super::Update], max_datagrams: usize) {
        let mut updates = updates.iter().peekable();
        for _ in 0..max_datagrams {
            if updates.peek().is_none() {
                return;
            }
            if !self.sync_budget.is_available() {
                self.counters.throttled += 1;
                return;
            }
            let mut packer = Packer::new(&Body::Entries, usize::MAX);
            while updates
                .next_if(|update| packer.add_update(update))
                .is_some()
            {}
            self.send_packed(to, Body::Entries, packer);
        }
    }

    /// Sends all stored items to a process that has just started.
    fn send_items(&mut self, to: SocketAddr) {
        let mut items = self
            .items
            .iter()
            .cloned()
            .collect::<Vec<_>>()
            .into_iter()
            .peekable();
        while items.peek().is_some() && self.sync_budget.is_available() {
            let mut packer = Packer::new(&Body::Gossip, usize::MAX);
            while items.next_if(|item| packer.add_item(item)).is_some() {}
            self.send_packed(to, Body::Gossip, packer);
        }
    }
}
