//! Rendezvous hashing over a set of servers in logarithmic time.
//!
//! Plain rendezvous hashing (Thaler, Ravishankar: Using Name-Based Mappings to Increase Hit Rates, 1998) compares all
//! servers for each key. Here the servers are the leaves of the binary trie of their hashes, and at each node the key
//! is assigned to one of the two sides with a probability proportional to the number of servers on that side. The
//! trie's shape depends only on the servers' ids. When a server joins or leaves, the shares at its ancestors change
//! only slightly, so few keys move.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const HASH_BITS: u32 = u64::BITS;

#[derive(Debug, Clone, Copy)]
struct Leaf {
    hash: u64,
    slot: usize,
}

/// Servers sorted by the hash of their id, which represents the trie.
#[derive(Debug, Default)]
pub(super) struct RendezvousTrie {
    leaves: Vec<Leaf>,
}

impl RendezvousTrie {
    pub(super) fn new<'a>(servers: impl IntoIterator<Item = (&'a str, usize)>) -> Self {
        let mut leaves: Vec<Leaf> = servers
            .into_iter()
            .map(|(id, slot)| Leaf {
                hash: xxh3_64(id.as_bytes()),
                slot,
            })
            .collect();
        leaves.sort_unstable_by_key(|leaf| leaf.hash);
        Self { leaves }
    }

    pub(super) fn len(&self) -> usize {
        self.leaves.len()
    }

    /// Returns the slot at a position, for sampling.
    pub(super) fn slot(&self, position: usize) -> usize {
        self.leaves[position].slot
    }

    /// Returns the slot that the key maps to, or `None` without servers. Different salts give independent mappings.
    pub(super) fn pick(&self, key: u64, salt: u64) -> Option<usize> {
        let mut leaves = self.leaves.as_slice();
        let key = key ^ salt.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        for depth in 0..HASH_BITS {
            if leaves.len() <= 1 {
                break;
            }
            let bit = 1 << (HASH_BITS - 1 - depth);
            let left_count = leaves.partition_point(|leaf| leaf.hash & bit == 0);
            if left_count == 0 || left_count == leaves.len() {
                continue;
            }
            let draw = xxh3_64_with_seed(&node_number(leaves[0].hash, depth).to_le_bytes(), key);
            let (left, right) = leaves.split_at(left_count);
            leaves = if scale(draw, leaves.len()) < left_count {
                left
            } else {
                right
            };
        }
        leaves.first().map(|leaf| leaf.slot)
    }
}

/// Returns a unique number of the trie node at `depth` on the path of `hash`: the bits of the path with a leading 1.
fn node_number(hash: u64, depth: u32) -> u64 {
    let path = hash.checked_shr(HASH_BITS - depth).unwrap_or(0);
    path | (1 << depth)
}

/// Maps a uniformly distributed 64-bit number to `0..count`.
pub(super) fn scale(draw: u64, count: usize) -> usize {
    let product = u128::from(draw) * count as u128;
    usize::try_from(product >> u64::BITS).expect("the result is below count")
}
