//! Handshake of a link: version check and proof of the fleet key by both sides.

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

/// Version of the link protocol.
const VERSION: u32 = 1;

/// Length of a nonce.
const NONCE_BYTES: usize = 32;

/// Secret that all processes of one fleet share.
#[derive(Clone)]
pub struct FleetKey(Vec<u8>);

impl FleetKey {
    /// Wraps the bytes of a key.
    #[must_use]
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Returns the bytes of the key.
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

/// What a process tells its peers about itself.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the process, unique in the fleet.
    pub process_id: String,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Availability zone of the process.
    pub availability_zone: String,
}

/// What a peer told about itself.
pub type Peer = Identity;

/// Side of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The side that opened the connection.
    Client,
    /// The side that accepted the connection.
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
/// [`LinkError::Version`], [`LinkError::Authentication`], [`LinkError::Malformed`] or [`LinkError::Lost`].
pub(crate) fn run<R: std::io::Read>(
    reader: &mut FrameReader<R>,
    writer: &mut impl Write,
    identity: &Identity,
    key: &FleetKey,
    role: Role,
) -> Result<Peer, Report<LinkError>> {
    let own = hello(identity);
    send(writer, frame::Body::Hello(own.clone()))?;
    let Some(frame::Body::Hello(theirs)) = reader.read()?.body else {
        return Err(Report::new(LinkError::Malformed));
    };
    ensure!(theirs.version == VERSION, LinkError::Version);
    ensure!(theirs.nonce.len() == NONCE_BYTES, LinkError::Malformed);
    let proof = mac(key, role, &own, &theirs)
        .finalize()
        .into_bytes()
        .to_vec();
    send(writer, frame::Body::Proof(Proof { mac: proof }))?;
    let Some(frame::Body::Proof(their_proof)) = reader.read()?.body else {
        return Err(Report::new(LinkError::Malformed));
    };
    // verify_slice compares in constant time.
    mac(key, role.opposite(), &theirs, &own)
        .verify_slice(&their_proof.mac)
        .change_context(LinkError::Authentication)?;
    reader.accept_large_frames();
    Ok(Peer {
        process_id: theirs.process_id,
        incarnation: theirs.incarnation,
        availability_zone: theirs.availability_zone,
    })
}

fn hello(identity: &Identity) -> Hello {
    let mut nonce = vec![0; NONCE_BYTES];
    rand::rng().fill(&mut nonce[..]);
    Hello {
        version: VERSION,
        process_id: identity.process_id.clone(),
        incarnation: identity.incarnation,
        availability_zone: identity.availability_zone.clone(),
        nonce,
    }
}

fn send(writer: &mut impl Write, body: frame::Body) -> Result<(), Report<LinkError>> {
    let frame = Frame {
        generation: 0,
        body: Some(body),
    };
    let mut buffer = BytesMut::new();
    encode(&frame, &mut buffer)?;
    writer.write_all(&buffer).change_context(LinkError::Lost)
}

/// Authentication code of the side that proves: its role, the peer's nonce, and everything it said about itself.
fn mac(key: &FleetKey, role: Role, prover: &Hello, verifier: &Hello) -> Hmac<Sha256> {
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
