//! Typed interface of the platform's key-value service.

use std::time::Duration;

/// Revision of a key or of the whole store; rises with each write.
pub type Revision = u64;

/// Number of a lease.
pub type LeaseId = i64;

/// Result of one call to the key-value service.
///
/// `Unknown` means that the call may or may not have taken effect; a caller that needs to know reads back a value that
/// only its own write could have produced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call<T> {
    /// The service answered.
    Done(T),
    /// The call certainly had no effect.
    Refused(Refusal),
    /// The answer was lost or the deadline passed after the call was sent.
    Unknown,
}

/// Why a call had no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The service could not be reached before anything was sent.
    Unreachable,
    /// The service refused the call, for example because of its rate limit.
    Rejected(String),
    /// The lease does not exist any more.
    LeaseExpired,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Value, at most 1 MB.
    pub value: Vec<u8>,
    /// Revision of the last write to the key.
    pub mod_revision: Revision,
}

/// Condition of a transaction: the key was last written at `mod_revision`; 0 means that the key does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// Key.
    pub key: String,
    /// Expected revision of the last write.
    pub mod_revision: Revision,
}

/// Write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Sets a key.
    Put {
        /// Key.
        key: String,
        /// Value, at most 1 MB.
        value: Vec<u8>,
        /// Lease that deletes the key when it ends.
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// Key.
        key: String,
    },
}

/// Transaction: all writes are done if all conditions hold, else none.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Transaction {
    /// Conditions.
    pub compares: Vec<Compare>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// Answer to a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// All conditions held; the writes have this revision.
    Applied(Revision),
    /// A condition did not hold; nothing was written.
    Conflict,
}

/// Change of a watched key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchEvent {
    /// Key.
    pub key: String,
    /// New value; `None` after a delete.
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    pub mod_revision: Revision,
}

/// Client of the key-value service. Every call ends within its `timeout`.
pub trait Kv: Send + Sync {
    /// Reads one key.
    fn get(&self, key: &str, timeout: Duration) -> Call<Option<KeyValue>>;

    /// Reads all keys that begin with `prefix`, in the order of their keys.
    fn list(&self, prefix: &str, timeout: Duration) -> Call<Vec<KeyValue>>;

    /// Runs a transaction.
    fn commit(&self, transaction: &Transaction, timeout: Duration) -> Call<Commit>;

    /// Grants a lease that ends `ttl` after its last renewal.
    fn grant_lease(&self, ttl: Duration, timeout: Duration) -> Call<LeaseId>;

    /// Renews a lease and returns the time it then has left.
    fn renew_lease(&self, lease: LeaseId, timeout: Duration) -> Call<Duration>;

    /// Ends a lease and deletes its keys.
    fn revoke_lease(&self, lease: LeaseId, timeout: Duration) -> Call<()>;

    /// Waits for changes of keys that begin with `prefix` at or after revision `from`; returns an empty list when
    /// `timeout` passes without one.
    fn watch(&self, prefix: &str, from: Revision, timeout: Duration) -> Call<Vec<WatchEvent>>;
}
