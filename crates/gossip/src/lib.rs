//! UDP transport of the membership protocol, which also announces newer configuration generations.
//!
//! [`Gossip`] runs the failure detector of [`tanagerford_core::membership`] over authenticated datagrams.

mod codec;
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod message;
mod runtime;

pub use codec::{Codec, DecodeError, decode_content};
pub use runtime::{Gossip, Settings, Snapshot, StartError, TransportCounters};
