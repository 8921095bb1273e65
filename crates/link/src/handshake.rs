//! Handshake of a link: version check and mutual authentication with the fleet key.

use std::fmt;
use std::io::Write;

use bytes::BytesMut;
use error_stack::{Report, ResultExt, ensure};
use hmac::{Hmac, KeyInit, Mac};
use rand::RngExt;
use sha2::Sha256;
use tanagerford_core::ids::Incarnation;

use crate::codec::{FrameReader, encode};
use crate::error::LinkError;
use crate::message::{Frame, Hello, Proof, frame};

const PROTOCOL_VERSION: u32 = 1;

const NONCE_BYTES: usize = 32;

/// Secret shared by all processes of a fleet. Its `Debug` output does not contain the key.
#[derive(Clone)]
pub struct FleetKey(Vec<u8>);

impl FleetKey {
    /// Creates a key from its bytes; every length is accepted.
    #[must_use]
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Returns the secret bytes, which must not be logged.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FleetKey(..)")
    }
}

/// Identity that a process sends to its peers in the handshake.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name that is unique in the fleet and stays the same across restarts.
    pub process_id: String,
    /// Number of this start of the process; higher than that of any earlier start.
    pub incarnation: Incarnation,
    /// Availability zone in which the process runs.
    pub availability_zone: String,
}

/// Identity of a peer, authenticated by the handshake.
pub type Peer = Identity;

/// Side of a link: the client opened the connection, the server accepted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Client,
    Server,
}

impl Role {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Client => b"client",
            Self::Server => b"server",
        }
    }

    fn opposite(self) -> Self {
        match self {
            Self::Client => Self::Server,
            Self::Server => Self::Client,
        }
    }
}

/// Runs the handshake and returns the authenticated peer.
///
/// # Errors
///
/// Returns [`LinkError::Version`] or [`LinkError::Authentication`] if the peer is not accepted,
/// [`LinkError::Malformed`] if it violates the protocol, and [`LinkError::Lost`] if the connection fails.
pub(crate) fn run<R: std::io::Read>(
    reader: &mut FrameReader<R>,
    writer: &mut impl Write,
    identity: &Identity,
    key: &FleetKey,
    role: Role,
) -> Result<Peer, Report<LinkError>> {
    let own_hello = new_hello(identity);
    write_frame(writer, frame::Body::Hello(own_hello.clone()))?;
    let Some(frame::Body::Hello(peer_hello)) = reader.read()?.body else {
        return Err(Report::new(LinkError::Malformed));
    };
    ensure!(peer_hello.version == PROTOCOL_VERSION, LinkError::Version);
    ensure!(peer_hello.nonce.len() == NONCE_BYTES, LinkError::Malformed);
    let proof = authentication_code(key, role, &own_hello, &peer_hello)
        .finalize()
        .into_bytes()
        .to_vec();
    write_frame(writer, frame::Body::Proof(Proof { mac: proof }))?;
    let Some(frame::Body::Proof(peer_proof)) = reader.read()?.body else {
        return Err(Report::new(LinkError::Malformed));
    };
    // `verify_slice` compares in constant time, so the comparison reveals nothing about the expected code.
    authentication_code(key, role.opposite(), &peer_hello, &own_hello)
        .verify_slice(&peer_proof.mac)
        .change_context(LinkError::Authentication)?;
    reader.accept_large_frames();
    Ok(Peer {
        process_id: peer_hello.process_id,
        incarnation: peer_hello.incarnation,
        availability_zone: peer_hello.availability_zone,
    })
}

fn new_hello(identity: &Identity) -> Hello {
    let mut nonce = vec![0; NONCE_BYTES];
    rand::rng().fill(&mut nonce[..]);
    Hello {
        version: PROTOCOL_VERSION,
        process_id: identity.process_id.clone(),
        incarnation: identity.incarnation,
        availability_zone: identity.availability_zone.clone(),
        nonce,
    }
}

fn write_frame(writer: &mut impl Write, body: frame::Body) -> Result<(), Report<LinkError>> {
    let frame = Frame {
        generation: 0,
        body: Some(body),
    };
    let mut buffer = BytesMut::new();
    encode(&frame, &mut buffer)?;
    writer.write_all(&buffer).change_context(LinkError::Lost)
}

/// Returns the authentication code of `prover`. It covers the role, so that a reflected proof is rejected, the nonces of
/// both sides, so that a replayed proof is rejected, and the prover's identity. Each part is preceded by its length.
fn authentication_code(
    key: &FleetKey,
    role: Role,
    prover: &Hello,
    verifier: &Hello,
) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.0).expect("HMAC accepts keys of any length");
    for part in [
        role.label(),
        &verifier.nonce,
        &prover.nonce,
        prover.process_id.as_bytes(),
        &prover.incarnation.to_be_bytes(),
        prover.availability_zone.as_bytes(),
    ] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}
