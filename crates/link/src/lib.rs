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

/// Bytes that a chunk of a body takes in the window of its attempt at least, because of the memory that it takes besides its
/// data.
const MIN_WINDOW_BYTES: u64 = 256;

/// Returns the bytes that a chunk of a body takes in the window of its attempt.
///
/// # Examples
///
/// ```
/// use tanagerford_link::window_bytes;
///
/// assert_eq!(window_bytes(&[0; 4_000]), 4_000);
/// assert_eq!(window_bytes(b"data: a\n\n"), 256);
/// ```
#[must_use]
pub fn window_bytes(data: &[u8]) -> u64 {
    MIN_WINDOW_BYTES.max(data.len() as u64)
}
