//! Deterministic subsetting: the servers of a pool that each entry links to, and the watchers of the configuration.
//!
//! [`assign`] assigns a subset of the servers of one pool to each entry. It uses rendezvous hashing (Thaler, Ravishankar
//! 1998) with a bound on the load of each server (after Mirrokni, Thorup, Zadimoghaddam 2018): the hash keeps the number
//! of moved links small when the membership changes, and the bound keeps the coverage even. Every process computes the
//! same assignment from the same members.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{ServerId, ZoneId};

/// A process that is considered in an assignment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Participant<'a> {
    /// Unique name of the process, which is hashed.
    pub process_id: &'a str,
    /// Availability zone in which the process runs.
    pub availability_zone: &'a str,
}

/// Lower bounds on the number of links of entries and servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubsetSize {
    /// Number of servers that each entry links to, limited by the size of the pool.
    pub servers_per_entry: usize,
    /// Least number of entries that link to each server, limited by the number of entries. Takes precedence over
    /// `servers_per_entry`.
    pub entries_per_server: usize,
}

impl Default for SubsetSize {
    /// At the documented scale a pool has about 8 servers in each availability zone, so that an entry links to
    /// those of its own zone; 4 entries keep a server reachable while entries restart.
    fn default() -> Self {
        Self {
            servers_per_entry: 8,
            entries_per_server: 4,
        }
    }
}

/// Returns the servers of one pool that each entry links to.
///
/// Servers in the entry's own availability zone are preferred; servers of other zones are added if they do not suffice.
/// At least `entries_per_server` entries link to each server, and the numbers are nearly equal within a zone. All
/// entries link to all servers of a pool of at most `servers_per_entry` servers.
///
/// ```
/// use tanagerford_core::subset::{Participant, SubsetSize, assign};
/// let member = |process_id| Participant { process_id, availability_zone: "a" };
/// let entries = [member("entry-1"), member("entry-2")];
/// let servers = [member("server-1"), member("server-2"), member("server-3")];
/// let subsets = assign(&entries, &servers, SubsetSize { servers_per_entry: 2, entries_per_server: 1 });
/// assert_eq!(subsets["entry-1"].len(), 2);
/// ```
#[must_use]
pub fn assign<'a>(
    entries: &[Participant<'a>],
    servers: &[Participant<'a>],
    size: SubsetSize,
) -> BTreeMap<&'a str, BTreeSet<&'a str>> {
    let mut assignment = Assignment::new(entries, servers);
    if entries.is_empty() || servers.is_empty() {
        return assignment.subsets;
    }
    let requested = size.servers_per_entry.min(servers.len());
    let required_for_coverage =
        (size.entries_per_server.min(entries.len()) * servers.len()).div_ceil(entries.len());
    let per_entry = requested.max(required_for_coverage).min(servers.len());
    assignment.fill_own_zones(per_entry);
    assignment.fill_other_zones(per_entry);
    assignment.ensure_coverage(size.entries_per_server.min(entries.len()));
    assignment.subsets
}

/// Returns the members that watch the configuration in the key-value service, which are the `per_zone` members with the
/// highest rendezvous hash in each availability zone.
///
/// ```
/// use tanagerford_core::subset::{Participant, watchers};
/// let names = ["p1", "p2", "p3", "p4"];
/// let members = names.map(|process_id| Participant { process_id, availability_zone: "a" });
/// assert_eq!(watchers(&members, 3).len(), 3);
/// ```
#[must_use]
pub fn watchers<'a>(live: &[Participant<'a>], per_zone: usize) -> BTreeSet<&'a str> {
    let mut zones: BTreeMap<&str, Vec<(u64, &'a str)>> = BTreeMap::new();
    for member in live {
        let rank = score("watcher", member.process_id);
        zones
            .entry(member.availability_zone)
            .or_default()
            .push((rank, member.process_id));
    }
    let mut watchers = BTreeSet::new();
    for ranked in zones.values_mut() {
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        watchers.extend(
            ranked
                .iter()
                .take(per_zone)
                .map(|(_, process_id)| *process_id),
        );
    }
    watchers
}

/// Returns the subset of one entry, empty if `entries` does not contain it. See [`assign`].
///
/// ```
/// use tanagerford_core::subset::{Participant, SubsetSize, subset_of};
/// let entry = Participant { process_id: "entry-1", availability_zone: "a" };
/// let server = Participant { process_id: "server-1", availability_zone: "b" };
/// let subset = subset_of("entry-1", &[entry], &[server], SubsetSize::default());
/// assert!(subset.contains("server-1"));
/// ```
#[must_use]
pub fn subset_of(
    entry_id: &str,
    entries: &[Participant<'_>],
    servers: &[Participant<'_>],
    size: SubsetSize,
) -> BTreeSet<ServerId> {
    let mut subsets = assign(entries, servers, size);
    let subset = subsets.remove(entry_id).unwrap_or_default();
    subset.into_iter().map(ServerId::from).collect()
}

struct Assignment<'a> {
    entries: Vec<Participant<'a>>,
    servers: Vec<Participant<'a>>,
    subsets: BTreeMap<&'a str, BTreeSet<&'a str>>,
    /// Number of entries that link to each server.
    links: BTreeMap<&'a str, usize>,
}

impl<'a> Assignment<'a> {
    fn new(entries: &[Participant<'a>], servers: &[Participant<'a>]) -> Self {
        let mut entries = entries.to_vec();
        let mut servers = servers.to_vec();
        entries.sort_unstable();
        servers.sort_unstable();
        let subsets = entries
            .iter()
            .map(|entry| (entry.process_id, BTreeSet::new()))
            .collect();
        let links = servers
            .iter()
            .map(|server| (server.process_id, 0))
            .collect();
        Self {
            entries,
            servers,
            subsets,
            links,
        }
    }

    /// Links the entries of each zone to the servers of the same zone.
    fn fill_own_zones(&mut self, per_entry: usize) {
        let zones: BTreeSet<ZoneId> = self
            .entries
            .iter()
            .map(|entry| entry.availability_zone.to_owned())
            .collect();
        for zone in zones {
            let is_in_zone = |member: &&Participant<'a>| member.availability_zone == zone;
            let entries: Vec<Participant<'a>> =
                self.entries.iter().filter(is_in_zone).copied().collect();
            let servers: Vec<Participant<'a>> =
                self.servers.iter().filter(is_in_zone).copied().collect();
            self.fill(&entries, &servers, per_entry);
        }
    }

    /// Links entries whose zone has too few servers to servers of other zones.
    fn fill_other_zones(&mut self, per_entry: usize) {
        let has_too_few =
            |entry: &&Participant<'a>| self.subsets[entry.process_id].len() < per_entry;
        let entries: Vec<Participant<'a>> =
            self.entries.iter().filter(has_too_few).copied().collect();
        let servers = self.servers.clone();
        self.fill(&entries, &servers, per_entry);
    }

    /// Adds links until each of `entries` has `per_entry`, in order of the rendezvous hash. The first pass skips servers
    /// that have reached the mean number of links; the second pass adds the remaining links without this bound.
    fn fill(&mut self, entries: &[Participant<'a>], servers: &[Participant<'a>], per_entry: usize) {
        if servers.is_empty() {
            return;
        }
        let ranked: Vec<Vec<&'a str>> = entries
            .iter()
            .map(|entry| ranking(entry, servers))
            .collect();
        let existing: usize = servers
            .iter()
            .map(|server| self.links[server.process_id])
            .sum();
        let missing: usize = entries
            .iter()
            .map(|entry| per_entry - self.subsets[entry.process_id].len())
            .sum();
        let mean_links = (existing + missing).div_ceil(servers.len());
        for (entry, ranking) in entries.iter().zip(&ranked) {
            self.link_ranked(entry.process_id, ranking, per_entry, mean_links);
        }
        for (entry, ranking) in entries.iter().zip(&ranked) {
            self.link_ranked(entry.process_id, ranking, per_entry, usize::MAX);
        }
    }

    fn link_ranked(&mut self, entry: &'a str, ranking: &[&'a str], per_entry: usize, bound: usize) {
        let Some(subset) = self.subsets.get_mut(entry) else {
            return;
        };
        for server in ranking {
            if subset.len() >= per_entry {
                return;
            }
            let Some(links) = self.links.get_mut(server) else {
                continue;
            };
            if *links < bound && subset.insert(server) {
                *links += 1;
            }
        }
    }

    /// Adds links to servers with too few entries, preferring entries in the zone of the server and then those with the
    /// highest rendezvous hash.
    fn ensure_coverage(&mut self, entries_per_server: usize) {
        for server in self.servers.clone() {
            let missing = entries_per_server.saturating_sub(self.links[server.process_id]);
            if missing == 0 {
                continue;
            }
            let mut ranked: Vec<(bool, u64, &'a str)> = self
                .entries
                .iter()
                .map(|entry| {
                    let is_same_zone = entry.availability_zone == server.availability_zone;
                    (
                        is_same_zone,
                        score(entry.process_id, server.process_id),
                        entry.process_id,
                    )
                })
                .collect();
            ranked.sort_unstable_by(|left, right| right.cmp(left));
            let mut added = 0;
            for (_, _, entry) in ranked {
                let is_new = self
                    .subsets
                    .get_mut(entry)
                    .is_some_and(|subset| subset.insert(server.process_id));
                added += usize::from(is_new);
                if added == missing {
                    break;
                }
            }
            *self.links.entry(server.process_id).or_default() += added;
        }
    }
}

/// Returns the servers by descending rendezvous hash with `entry`.
fn ranking<'a>(entry: &Participant<'a>, servers: &[Participant<'a>]) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &'a str)> = servers
        .iter()
        .map(|server| {
            (
                score(entry.process_id, server.process_id),
                server.process_id,
            )
        })
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, server)| server).collect()
}

/// Returns the rendezvous hash of a pair.
fn score(left: &str, right: &str) -> u64 {
    xxh3_64_with_seed(right.as_bytes(), xxh3_64_with_seed(left.as_bytes(), 0))
}
