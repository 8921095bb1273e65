//! Membership of processes: a SWIM-style failure detector with dissemination.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala 2002): randomized round-robin probes, indirect probes, suspicions
//! that the suspected member can refute, and updates piggybacked on every datagram with a bounded number of
//! retransmissions. It adds the extensions of Lifeguard (Dadgar, Phillips, Currey 2018): local health awareness,
//! suspicion timeouts that shrink with independent confirmations, and notifying a suspected member of the suspicion
//! with every probe. Periodic anti-entropy compares digests of the member table, so that the tables converge after lost
//! updates and partitions.
//!
//! [`Membership`] does no I/O: its inputs are datagrams and the current time, its outputs are [`Action`]s.

mod budget;
mod detector;
mod dissemination;
mod health;
mod item;
mod member;
mod merge;
mod message;
mod output;
mod params;
mod probe;
mod queue;
mod suspicion;
mod sync;
mod table;

pub use detector::Membership;
pub use item::{Item, ItemError};
pub use member::{Member, MemberKey, MemberState, MemberStatus, Profile, Role, member_key};
pub use message::{Body, DATAGRAM_BYTES, Header, MAX_REQUESTED_KEYS, Message, Update};
pub use output::{Action, Counters, Event, StateDump};
pub use params::Params;
pub use table::SYNC_BUCKETS;
