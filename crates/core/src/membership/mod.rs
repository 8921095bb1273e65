//! Membership of processes: a SWIM-style failure detector with dissemination.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala 2002): randomised round-robin probes, indirect probes, suspicion that
//! the suspected member refutes, and updates piggybacked on every datagram with a bounded count of retransmissions. It
//! adds the refinements of Lifeguard (Dadgar, Phillips, Currey 2018): local health, suspicion timeouts that shrink with
//! independent confirmations, and telling a suspected member about its suspicion with every probe. Periodic
//! anti-entropy compares digests of the member table, so that lost updates and healed partitions converge.
//!
//! [`Membership`] does no I/O: datagrams and time go in, [`Action`]s come out.

mod budget;
mod detector;
mod health;
mod item;
mod member;
mod merge;
mod message;
mod output;
mod params;
mod probe;
mod queue;
mod spread;
mod suspicion;
mod sync;
mod table;

pub use detector::Membership;
pub use item::{Item, ItemError};
pub use member::{Member, MemberKey, MemberState, MemberStatus, Profile, Role, member_key};
pub use message::{
    Body, DATAGRAM_BYTES, ENVELOPE_BYTES, Header, MAX_REQUESTED_KEYS, Message, Update,
};
pub use output::{Action, Counters, Event, StateDump};
pub use params::Params;
pub use table::SYNC_BUCKETS;
