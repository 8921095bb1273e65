//! Interface of the platform's key-value service.

use std::time::Duration;

/// Revision of a key or of the whole store. Each write increases the store's revision; 0 precedes the first write.
pub type Revision = u64;

/// Identifier of a lease, assigned by the service.
pub type LeaseId = i64;

/// Result of one call to the key-value service.
///
/// After [`Call::Unknown`], a caller that needs to know whether its write took effect reads back a value that only this
/// write can have produced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call<T> {
    /// The service processed the call and returned this result.
    Done(T),
    /// The call had no effect.
    Refused(Refusal),
    /// The call may or may not have taken effect: it was sent, but no valid response arrived before the timeout.
    Unknown,
}

/// Reason why a call had no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// No connection could be established, so nothing was sent.
    Unreachable,
    /// The service rejected the call, for example because of its rate limit. The text is the service's message.
    Rejected(String),
    /// The lease has expired, was revoked or never existed.
    LeaseExpired,
}

/// Key-value pair as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Full key, including any prefix of a range read.
    pub key: String,
    /// At most 1 MB.
    pub value: Vec<u8>,
    /// Revision of the last write to the key.
    pub mod_revision: Revision,
}

/// Condition of a transaction on the revision of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// Key whose revision is compared; it need not exist.
    pub key: String,
    /// Expected revision of the last write to the key; 0 means that the key must not exist.
    pub mod_revision: Revision,
}

/// Single write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Creates a key or replaces its value.
    Put {
        /// Key to create or replace.
        key: String,
        /// At most 1 MB.
        value: Vec<u8>,
        /// Lease whose end deletes the key; `None` for a key that does not expire.
        lease: Option<LeaseId>,
    },
    /// Deletes a key; no effect if it does not exist.
    Delete {
        /// Key to delete.
        key: String,
    },
}

/// Atomic transaction: applies all writes if all conditions hold, and none otherwise.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Transaction {
    /// All of these must hold; an empty list always holds.
    pub compares: Vec<Compare>,
    /// Applied in order at one revision; at most 128, as in etcd's default settings.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// All conditions held and the writes were applied at this revision.
    Applied(Revision),
    /// At least one condition did not hold; nothing was written.
    Conflict,
}

/// Change of a watched key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchEvent {
    /// Full key, including the watched prefix.
    pub key: String,
    /// New value; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision at which the change was made.
    pub mod_revision: Revision,
}

/// Client of the key-value service. Calls block, and each call returns within its `timeout`.
pub trait Kv: Send + Sync {
    /// Reads one key; returns `None` if it does not exist.
    fn get(&self, key: &str, timeout: Duration) -> Call<Option<KeyValue>>;

    /// Reads all keys that begin with `prefix`, in key order.
    fn list(&self, prefix: &str, timeout: Duration) -> Call<Vec<KeyValue>>;

    /// Executes a transaction once: the client does not retry it after an unknown outcome.
    fn commit(&self, transaction: &Transaction, timeout: Duration) -> Call<Commit>;

    /// Grants a lease that expires `ttl` after the grant or the last renewal.
    fn grant_lease(&self, ttl: Duration, timeout: Duration) -> Call<LeaseId>;

    /// Renews a lease and returns its remaining time to live.
    fn renew_lease(&self, lease: LeaseId, timeout: Duration) -> Call<Duration>;

    /// Revokes a lease and deletes the keys attached to it.
    fn revoke_lease(&self, lease: LeaseId, timeout: Duration) -> Call<()>;

    /// Waits for changes at or after revision `from` of keys that begin with `prefix`. Returns an empty list if there
    /// is no change before `timeout`. If `from` is 0, the watch starts at the next write.
    fn watch(&self, prefix: &str, from: Revision, timeout: Duration) -> Call<Vec<WatchEvent>>;
}
