//! Links between the processes of the router: framing, handshake and multiplexing.
//!
//! A link is one TCP connection. Both sides first authenticate with the fleet key; then each side sends
//! length-delimited [`message::Frame`]s encoded with `prost`. Attempts of many requests are multiplexed over one link.

mod codec;
mod connection;
mod error;
mod handshake;
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod message;
mod server;

pub use codec::{FrameReader, MAX_FRAME_BYTES, encode};
pub use connection::{Link, LinkHandler, LinkOptions, connect};
pub use error::LinkError;
pub use handshake::{FleetKey, Identity, Peer};
pub use server::{LinkServer, LinkServerHandle};
