//! Links between the processes of the router: framing, handshake and multiplexing.
//!
//! A link is one TCP connection. Both sides first prove that they hold the fleet key; after that each side sends
//! [`message::Frame`]s, length-delimited and encoded with `prost`. Attempts of many requests share one link.

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
pub use handshake::{FleetKey, Identity, Peer, Role};
pub use server::{LinkServer, LinkServerHandle};
