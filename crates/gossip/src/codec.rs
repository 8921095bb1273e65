//! Conversion between typed membership messages and authenticated datagrams.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;

use hmac::{Hmac, KeyInit, Mac};
use prost::Message as _;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tanagerford_core::membership::{
    Body, DATAGRAM_BYTES, Header, Item, MAX_REQUESTED_KEYS, MemberState, MemberStatus, Message,
    Profile, Role, SYNC_BUCKETS, Update,
};

use crate::message as wire;

/// Version of the datagram format, which is the first byte of a datagram.
const FORMAT_VERSION: u8 = 1;

const MAC_BYTES: usize = 32;

/// Prefix of the authenticated data that separates these codes from other uses of the fleet key.
const MAC_CONTEXT: &[u8] = b"tanagerford gossip datagram";

/// Maximum length of a process, pool, zone or region name.
const MAX_NAME_BYTES: usize = 128;

/// Reason why a datagram is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// The datagram is too short, too long or of another format version.
    Envelope,
    /// The authentication code does not match the content and the fleet key.
    Unauthenticated,
    /// The content is authenticated but cannot be decoded.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Envelope => "datagram has an invalid length or version",
            Self::Unauthenticated => "datagram has an invalid authentication code",
            Self::Malformed => "datagram content is malformed",
        })
    }
}

impl std::error::Error for DecodeError {}

/// Encodes and decodes datagrams authenticated with a fleet key.
#[derive(Clone)]
pub struct Codec {
    mac: Hmac<Sha256>,
}

impl fmt::Debug for Codec {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Codec")
    }
}

impl Codec {
    /// Creates the codec for a fleet key of any length.
    ///
    /// # Panics
    ///
    /// Never, because HMAC accepts keys of any length.
    #[must_use]
    pub fn new(fleet_key: &[u8]) -> Self {
        let mac = Hmac::new_from_slice(fleet_key).expect("HMAC accepts keys of any length");
        Self { mac }
    }

    /// Encodes a message as a datagram: format version, authentication code and content.
    ///
    /// ```
    /// use tanagerford_core::membership::{Body, Header, Message};
    /// use tanagerford_gossip::{Codec, DecodeError};
    /// let header = Header { sender: 7, incarnation: 1, refutation: 0, is_leaving: false, generation: 3 };
    /// let message = Message { header, body: Body::Ack { probe: 9 }, updates: vec![], items: vec![] };
    /// let datagram = Codec::new(b"fleet key").encode(&message);
    /// assert_eq!(Codec::new(b"fleet key").decode(&datagram), Ok(message));
    /// assert_eq!(Codec::new(b"other key").decode(&datagram), Err(DecodeError::Unauthenticated));
    /// ```
    #[must_use]
    pub fn encode(&self, message: &Message) -> Vec<u8> {
        let content = to_wire(message).encode_to_vec();
        let mut datagram = Vec::with_capacity(1 + MAC_BYTES + content.len());
        datagram.push(FORMAT_VERSION);
        datagram.extend_from_slice(&self.authentication_code(&content));
        datagram.extend_from_slice(&content);
        datagram
    }

    /// Returns the length of the datagram that [`encode`](Self::encode) produces for a message. It does not compute the
    /// authentication code, which makes it cheaper for simulations.
    ///
    /// ```
    /// use tanagerford_core::membership::{Body, Header, Message};
    /// use tanagerford_gossip::Codec;
    /// let header = Header { sender: 7, incarnation: 1, refutation: 0, is_leaving: false, generation: 3 };
    /// let message = Message { header, body: Body::Gossip, updates: vec![], items: vec![] };
    /// let codec = Codec::new(b"fleet key");
    /// assert_eq!(codec.datagram_bytes(&message), codec.encode(&message).len());
    /// ```
    #[must_use]
    pub fn datagram_bytes(&self, message: &Message) -> usize {
        1 + MAC_BYTES + to_wire(message).encoded_len()
    }

    /// Verifies the authentication code of a datagram and decodes its content.
    ///
    /// # Errors
    ///
    /// Returns the reason why the datagram must be dropped.
    pub fn decode(&self, datagram: &[u8]) -> Result<Message, DecodeError> {
        let is_length_valid = datagram.len() > MAC_BYTES && datagram.len() <= DATAGRAM_BYTES;
        if !is_length_valid || datagram[0] != FORMAT_VERSION {
            return Err(DecodeError::Envelope);
        }
        let (code, content) = datagram[1..].split_at(MAC_BYTES);
        if !bool::from(self.authentication_code(content).ct_eq(code)) {
            return Err(DecodeError::Unauthenticated);
        }
        decode_content(content).ok_or(DecodeError::Malformed)
    }

    fn authentication_code(&self, content: &[u8]) -> [u8; MAC_BYTES] {
        let mut mac = self.mac.clone();
        mac.update(MAC_CONTEXT);
        mac.update(&[FORMAT_VERSION]);
        mac.update(content);
        mac.finalize().into_bytes().into()
    }
}

/// Decodes the content of an authenticated datagram. Returns `None` if it is malformed.
///
/// ```
/// assert!(tanagerford_gossip::decode_content(&[255; 20]).is_none());
/// ```
#[must_use]
pub fn decode_content(content: &[u8]) -> Option<Message> {
    let datagram = wire::Datagram::decode(content).ok()?;
    from_wire(datagram)
}

fn to_wire(message: &Message) -> wire::Datagram {
    let mut names = Vec::new();
    let updates = message
        .updates
        .iter()
        .map(|update| update_to_wire(update, &mut names))
        .collect();
    let header = message.header;
    wire::Datagram {
        sender: header.sender,
        incarnation: header.incarnation,
        refutation: header.refutation,
        is_leaving: header.is_leaving,
        generation: header.generation,
        body: Some(body_to_wire(&message.body)),
        updates,
        names,
        items: message.items.iter().map(item_to_wire).collect(),
    }
}

fn body_to_wire(body: &Body) -> wire::datagram::Body {
    use wire::datagram::Body as WireBody;
    match body {
        Body::Ping { probe, target } => WireBody::Ping(wire::Ping {
            probe: *probe,
            target: *target,
        }),
        Body::Ack { probe } => WireBody::Ack(*probe),
        Body::Nack { probe } => WireBody::Nack(*probe),
        Body::PingRequest {
            probe,
            target,
            address,
        } => WireBody::PingRequest(wire::PingRequest {
            probe: *probe,
            target: *target,
            address: address_to_wire(*address),
        }),
        Body::Gossip => WireBody::Gossip(wire::Gossip {}),
        Body::Sync { digests } => WireBody::Sync(wire::Sync {
            digests: digests.clone(),
        }),
        Body::Entries => WireBody::Entries(wire::Entries {}),
        Body::Request { keys } => WireBody::Request(wire::Request { keys: keys.clone() }),
    }
}

fn item_to_wire(item: &Item) -> wire::Item {
    wire::Item {
        key: item.key,
        version: item.version,
        value: item.value.to_vec(),
    }
}

fn update_to_wire(update: &Update, names: &mut Vec<String>) -> wire::Update {
    let state = match update.status.state {
        MemberState::Alive => wire::State::Alive,
        MemberState::Suspect => wire::State::Suspect,
        MemberState::Leaving => wire::State::Leaving,
        MemberState::Dead => wire::State::Dead,
    };
    wire::Update {
        key: update.key,
        incarnation: update.status.incarnation,
        refutation: update.status.refutation,
        state: state.into(),
        reporter: update.reporter,
        profile: update
            .profile
            .as_ref()
            .map(|profile| profile_to_wire(profile, names)),
    }
}

/// Encodes a profile. The gossip address is encoded as a port alone if its IP address equals that of the link address.
fn profile_to_wire(profile: &Profile, names: &mut Vec<String>) -> wire::Profile {
    let role = match profile.role {
        Role::Entry => wire::Role::Entry,
        Role::Sidecar => wire::Role::Sidecar,
    };
    let gossip = profile.gossip_address;
    let gossip_address = if gossip.ip() == profile.link_address.ip() {
        gossip.port().to_be_bytes().to_vec()
    } else {
        address_to_wire(gossip)
    };
    wire::Profile {
        process_id: profile.process_id.clone(),
        role: role.into(),
        pool: name_index(&profile.pool, names),
        availability_zone: name_index(&profile.availability_zone, names),
        region: name_index(&profile.region, names),
        link_address: address_to_wire(profile.link_address),
        gossip_address,
    }
}

/// Returns the index of `name` in the names of the datagram and appends it if it is missing.
fn name_index(name: &str, names: &mut Vec<String>) -> u32 {
    let index = names
        .iter()
        .position(|known| known == name)
        .unwrap_or_else(|| {
            names.push(name.to_owned());
            names.len() - 1
        });
    u32::try_from(index).unwrap_or(u32::MAX)
}

/// Encodes an address as 4 or 16 bytes of IP address and 2 bytes of port, big endian.
fn address_to_wire(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend_from_slice(&address.port().to_be_bytes());
    bytes
}

fn from_wire(datagram: wire::Datagram) -> Option<Message> {
    let header = Header {
        sender: datagram.sender,
        incarnation: datagram.incarnation,
        refutation: datagram.refutation,
        is_leaving: datagram.is_leaving,
        generation: datagram.generation,
    };
    let names = &datagram.names;
    if names.iter().any(|name| name.len() > MAX_NAME_BYTES) {
        return None;
    }
    let updates: Option<Vec<Update>> = datagram
        .updates
        .into_iter()
        .map(|update| update_from_wire(update, names))
        .collect();
    Some(Message {
        header,
        body: body_from_wire(datagram.body?)?,
        updates: updates?,
        items: datagram.items.into_iter().map(item_from_wire).collect(),
    })
}

fn body_from_wire(body: wire::datagram::Body) -> Option<Body> {
    use wire::datagram::Body as WireBody;
    let body = match body {
        WireBody::Ping(ping) => Body::Ping {
            probe: ping.probe,
            target: ping.target,
        },
        WireBody::Ack(probe) => Body::Ack { probe },
        WireBody::Nack(probe) => Body::Nack { probe },
        WireBody::PingRequest(request) => Body::PingRequest {
            probe: request.probe,
            target: request.target,
            address: address_from_wire(&request.address)?,
        },
        WireBody::Gossip(wire::Gossip {}) => Body::Gossip,
        WireBody::Sync(sync) if sync.digests.is_empty() || sync.digests.len() == SYNC_BUCKETS => {
            Body::Sync {
                digests: sync.digests,
            }
        }
        WireBody::Entries(wire::Entries {}) => Body::Entries,
        WireBody::Request(request) if request.keys.len() <= MAX_REQUESTED_KEYS => {
            Body::Request { keys: request.keys }
        }
        WireBody::Sync(_) | WireBody::Request(_) => return None,
    };
    Some(body)
}

fn item_from_wire(item: wire::Item) -> Item {
    Item {
        key: item.key,
        version: item.version,
        value: item.value.into(),
    }
}

fn update_from_wire(update: wire::Update, names: &[String]) -> Option<Update> {
    let state = match wire::State::try_from(update.state).ok()? {
        wire::State::Alive => MemberState::Alive,
        wire::State::Suspect => MemberState::Suspect,
        wire::State::Leaving => MemberState::Leaving,
        wire::State::Dead => MemberState::Dead,
    };
    let status = MemberStatus {
        incarnation: update.incarnation,
        refutation: update.refutation,
        state,
    };
    let profile = match update.profile {
        Some(profile) => Some(Arc::new(profile_from_wire(profile, names)?)),
        None => None,
    };
    Some(Update {
        key: update.key,
        status,
        reporter: update.reporter,
        profile,
    })
}

fn profile_from_wire(profile: wire::Profile, names: &[String]) -> Option<Profile> {
    let role = match wire::Role::try_from(profile.role).ok()? {
        wire::Role::Unspecified => return None,
        wire::Role::Entry => Role::Entry,
        wire::Role::Sidecar => Role::Sidecar,
    };
    let name = |index: u32| names.get(usize::try_from(index).ok()?).cloned();
    let link_address = address_from_wire(&profile.link_address)?;
    let gossip_address = match *profile.gossip_address.as_slice() {
        [high, low] => SocketAddr::new(link_address.ip(), u16::from_be_bytes([high, low])),
        _ => address_from_wire(&profile.gossip_address)?,
    };
    if profile.process_id.is_empty() || profile.process_id.len() > MAX_NAME_BYTES {
        return None;
    }
    Some(Profile {
        process_id: profile.process_id,
        role,
        pool: name(profile.pool)?,
        availability_zone: name(profile.availability_zone)?,
        region: name(profile.region)?,
        link_address,
        gossip_address,
    })
}

fn address_from_wire(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_last_chunk::<2>()?;
    let port = u16::from_be_bytes(*port);
    if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        return Some(SocketAddr::new(Ipv4Addr::from(octets).into(), port));
    }
    let octets = <[u8; 16]>::try_from(ip).ok()?;
    Some(SocketAddr::new(Ipv6Addr::from(octets).into(), port))
}
