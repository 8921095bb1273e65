//! Keys, body digests and owners of orders.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{Incarnation, ServerId};

/// Digest by which calls with the same key but different content are distinguished.
pub type BodyDigest = u64;

/// Identifier of an order: a hash of the workspace and its idempotency key.
///
/// With 128 bits accidental collisions are negligible. A workspace cannot address the keys of another workspace because
/// the hash covers the workspace name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey([u8; 16]);

impl OrderKey {
    /// Length of the binary form in bytes.
    pub(crate) const BYTES: usize = 16;

    /// Returns the key of the order with this idempotency key in `workspace`.
    ///
    /// ```
    /// use tanagerford_core::order::OrderKey;
    ///
    /// let key = OrderKey::new("north", "burn-17");
    /// assert_eq!(key, OrderKey::new("north", "burn-17"));
    /// assert_ne!(key, OrderKey::new("nort", "hburn-17"));
    /// assert_eq!(key.to_string().parse(), Ok(key));
    /// ```
    #[must_use]
    pub fn new(workspace: &str, idempotency_key: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update((workspace.len() as u64).to_le_bytes());
        hash.update(workspace);
        hash.update(idempotency_key);
        Self(first_bytes(&hash.finalize()))
    }

    /// Returns the key with this binary form, or `None` if it is not 16 bytes long.
    ///
    /// ```
    /// use tanagerford_core::order::OrderKey;
    ///
    /// let key = OrderKey::new("north", "burn-17");
    /// assert_eq!(OrderKey::from_bytes(key.as_bytes()), Some(key));
    /// assert_eq!(OrderKey::from_bytes(b"short"), None);
    /// ```
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the binary form, in which the key is stored and sent.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the shard of the key among `shards` shards.
    ///
    /// ```
    /// use tanagerford_core::order::OrderKey;
    ///
    /// assert!(OrderKey::new("north", "burn-17").shard(16) < 16);
    /// ```
    #[must_use]
    pub fn shard(&self, shards: u32) -> u32 {
        let [a, b, c, d, ..] = self.0;
        u32::from_le_bytes([a, b, c, d]) % shards.max(1)
    }
}

impl fmt::Display for OrderKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// Error for a text that is not an order key of 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseOrderKey;

impl fmt::Display for ParseOrderKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an order key has 32 hexadecimal digits")
    }
}

impl std::error::Error for ParseOrderKey {}

impl FromStr for OrderKey {
    type Err = ParseOrderKey;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 2 * Self::BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseOrderKey);
        }
        let value = u128::from_str_radix(text, 16).map_err(|_| ParseOrderKey)?;
        Ok(Self(value.to_be_bytes()))
    }
}

/// Returns the digest of a call, which is compared when a key is reused.
///
/// ```
/// use tanagerford_core::order::body_digest;
///
/// assert_ne!(body_digest("POST", "/burn", b"plate 1"), body_digest("POST", "/burn", b"plate 2"));
/// ```
#[must_use]
pub fn body_digest(method: &str, path: &str, body: &[u8]) -> BodyDigest {
    let mut hash = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    u64::from_le_bytes(first_bytes(&hash.finalize()))
}

fn first_bytes<const N: usize>(bytes: &[u8]) -> [u8; N] {
    std::array::from_fn(|index| bytes[index])
}

/// Incarnation of a sidecar process, which owns the claims it writes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner {
    /// Backend server of the sidecar.
    pub server: ServerId,
    /// Distinguishes restarts of the sidecar.
    pub incarnation: Incarnation,
}

/// Identifies a claim of an order. Each new claim of a key has a higher attempt.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId {
    /// Sidecar that claimed the order.
    pub owner: Owner,
    /// Sequence number among the claims of the key, starting at 1.
    pub attempt: u32,
}

/// Returns the sidecar that owns `shard` of `pool` by rendezvous hashing, or `None` if there are no sidecars.
///
/// Processes with the same list of sidecars determine the same owner. If the lists differ, compare-and-swap keeps the
/// shard consistent.
///
/// ```
/// use tanagerford_core::order::shard_owner;
///
/// let owner = shard_owner("plates", 3, ["a", "b", "c"]);
/// assert_eq!(owner, shard_owner("plates", 3, ["c", "a", "b"]));
/// ```
pub fn shard_owner<'a>(
    pool: &str,
    shard: u32,
    sidecars: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let seed = xxh3_64_with_seed(pool.as_bytes(), u64::from(shard));
    sidecars
        .into_iter()
        .max_by_key(|server| (xxh3_64_with_seed(server.as_bytes(), seed), *server))
}
