//! Rendezvous hashing over a set of servers in logarithmic time.
//!
//! Plain rendezvous hashing (Thaler, Ravishankar: Using Name-Based Mappings to Increase Hit Rates, 1998) compares all
//! servers for each key. Here the servers are the leaves of the binary trie of their hashes, and at each node the key
//! goes to one of both sides with a probability in proportion to the servers of that side. The trie's shape depends
//! only on the servers' names. When a server joins or leaves, the shares at its ancestors change by little, so few
//! keys move.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const HASH_BITS: u32 = u64::BITS;

#[derive(Debug, Clone, Copy)]
struct Point {
    hash: u64,
    slot: usize,
}

/// Servers sorted by the hash of their name.
#[derive(Debug, Default)]
pub(super) struct Ring {
    points: Vec<Point>,
}

impl Ring {
    pub(super) fn new<'a>(servers: impl IntoIterator<Item = (&'a str, usize)>) -> Self {
        let mut points: Vec<Point> = servers
            .into_iter()
            .map(|(id, slot)| Point {
                hash: xxh3_64(id.as_bytes()),
                slot,
            })
            .collect();
        points.sort_unstable_by_key(|point| point.hash);
        Self { points }
    }

    pub(super) fn len(&self) -> usize {
        self.points.len()
    }

    /// Slot at a position, for sampling.
    pub(super) fn slot(&self, position: usize) -> usize {
        self.points[position].slot
    }

    /// Slot that the key maps to. Different salts give independent mappings.
    pub(super) fn pick(&self, key: u64, salt: u64) -> Option<usize> {
        let mut points = self.points.as_slice();
        let key = key ^ salt.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        for depth in 0..HASH_BITS {
            if points.len() <= 1 {
                break;
            }
            let bit = 1 << (HASH_BITS - 1 - depth);
            let left_count = points.partition_point(|point| point.hash & bit == 0);
            if left_count == 0 || left_count == points.len() {
                continue;
            }
            let draw = xxh3_64_with_seed(&node_number(points[0].hash, depth).to_le_bytes(), key);
            let (left, right) = points.split_at(left_count);
            points = if scale(draw, points.len()) < left_count {
                left
            } else {
                right
            };
        }
        points.first().map(|point| point.slot)
    }
}

/// Number of the trie node at `depth` on the path of `hash`: the path with a leading 1, so that no two nodes share it.
fn node_number(hash: u64, depth: u32) -> u64 {
    let path = hash.checked_shr(HASH_BITS - depth).unwrap_or(0);
    path | (1 << depth)
}

/// Maps a uniform 64-bit number to `0..count`.
pub(super) fn scale(draw: u64, count: usize) -> usize {
    let product = u128::from(draw) * count as u128;
    usize::try_from(product >> u64::BITS).expect("the result is below count")
}
