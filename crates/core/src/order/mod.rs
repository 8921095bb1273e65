//! At-most-once orders: the sidecar's order gate, claim pages and the claim writer.
//!
//! A sidecar claims an order by compare-and-swap in the key-value service before it sends anything to its backend
//! server. Claims are kept in pages: a [`Shard`] holds the pages of one shard, [`Shard::stage`] computes the pages that a
//! group of changes would write, and [`Shard::commit`] takes over the pages that were written. The [`Gate`] runs a key
//! at most once per claim and refuses a key for good before it answers a query with not-run. [`Pacer`] decides when
//! the next group of changes is written, and [`resolve`] what became of a write whose answer was lost.
//!
//! All functions are transition functions without I/O. Two kinds of time enter: `now` counts from an arbitrary start,
//! and `unix_now` counts from the Unix epoch because records outlive the process that wrote them.

mod gate;
mod key;
mod look;
mod pacer;
mod page;
mod shard;
mod step;

pub use gate::{Begin, Gate, GateAnswer, GateLimits};
pub use key::{BodyDigest, ClaimId, OrderKey, Owner, ParseOrderKey, body_digest, shard_owner};
pub use look::{Look, look};
pub use pacer::{Pacer, PacerLimits};
pub use page::{DecodeError, MAX_PAGE_BYTES, Page, Record, RecordState, WriteId};
pub use shard::{
    Change, Found, PageDelete, PageLimits, PageNumber, PagePut, Revision, Settlement, Shard,
    Staged, StoredPage, Verdict, Wrote, resolve,
};
pub use step::OrderStep;
