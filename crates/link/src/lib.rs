//! Links between the processes of the router: framing, handshake and multiplexing.

#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod message;
