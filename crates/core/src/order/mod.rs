//! At-most-once orders: the sidecar's order gate, claim pages and the claim writer.
//!
//! A sidecar claims an order by compare-and-swap in the key-value service before it sends anything to its backend
//! server. Claims are stored in pages: a [`Shard`] holds the pages of one shard, [`Shard::stage`] computes the pages
//! that a group of changes would write, and [`Shard::commit`] applies written pages to the local view. The [`Gate`]
//! starts an order at most once per claim, and blocks an order before it reports it as not run. The [`Pacer`]
//! determines when the next group of changes is written, and [`resolve_write`] determines whether a write whose
//! response was lost has been applied.
//!
//! All functions are transition functions without I/O. They use two clocks: `now` counts from an arbitrary start, and
//! `unix_now` counts from the Unix epoch because records outlive the process that wrote them.

mod gate;
mod key;
mod lookup;
mod pacer;
mod page;
mod shard;
mod step;

pub use gate::{BeginOutcome, Gate, GateAnswer, GateLimits};
pub use key::{BodyDigest, ClaimId, OrderKey, Owner, ParseOrderKey, body_digest, shard_owner};
pub use lookup::{LookupOutcome, lookup};
pub use pacer::{Pacer, PacerLimits};
pub use page::{DecodeError, MAX_PAGE_BYTES, Page, Record, RecordState, WriteId};
pub use shard::{
    Change, ChangeOutcome, LatestClaim, PageDelete, PageLimits, PageNumber, PagePut, Revision,
    Settlement, Shard, Staged, StoredPage, WriteOutcome, resolve_write,
};
pub use step::OrderStep;
