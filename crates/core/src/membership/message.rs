//! Messages between members and their size on the wire.

use std::net::SocketAddr;
use std::sync::Arc;

use super::item::Item;
use super::member::{MemberKey, MemberState, MemberStatus, Profile};
use crate::ids::{Generation, Incarnation};

/// Largest datagram payload in bytes; fits the usual MTU of 1,500 bytes with tunnel headers.
pub const DATAGRAM_BYTES: usize = 1_200;

/// Bytes that IP and UDP headers, version and authentication code add to an encoded message.
pub const ENVELOPE_BYTES: usize = 28 + 33;

/// Most keys in one [`Body::Request`].
pub const MAX_REQUESTED_KEYS: usize = 64;

/// Bytes kept free for the header and the fixed fields of the body in the size estimate.
const FIXED_BYTES: usize = 80;

/// One datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// Sender.
    pub header: Header,
    /// Purpose of the datagram.
    pub body: Body,
    /// Claims about members.
    pub updates: Vec<Update>,
    /// Opaque items.
    pub items: Vec<Item>,
}

/// Sender of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// Key of the sender.
    pub sender: MemberKey,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Count of refutations of the sender.
    pub refutation: u32,
    /// Whether the sender is leaving.
    pub is_leaving: bool,
    /// Configuration generation that the sender uses.
    pub generation: Generation,
}

/// Purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks `target` to answer with the same `probe`.
    Ping {
        /// Random number of the probe.
        probe: u64,
        /// Member that is probed; another process on the same address does not answer.
        target: MemberKey,
    },
    /// Answers a ping, or reports that an indirect ping was answered.
    Ack {
        /// Number of the probe.
        probe: u64,
    },
    /// Reports that an indirect ping was not answered; shows that the helper itself works.
    Nack {
        /// Number of the probe.
        probe: u64,
    },
    /// Asks the receiver to ping `target`.
    PingRequest {
        /// Random number of the probe.
        probe: u64,
        /// Member to ping.
        target: MemberKey,
        /// Its address.
        address: SocketAddr,
    },
    /// Carries updates and items only.
    Gossip,
    /// Asks for the members whose digests differ; no digest asks for all members.
    Sync {
        /// Digest of each bucket of the member table.
        digests: Vec<u32>,
    },
    /// Answers a sync or a request with updates.
    Entries,
    /// Asks for the profiles of members.
    Request {
        /// Keys, at most [`MAX_REQUESTED_KEYS`].
        keys: Vec<MemberKey>,
    },
}

/// Claim about a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// Member.
    pub key: MemberKey,
    /// Claim.
    pub status: MemberStatus,
    /// Lower half of the key of the member that began the suspicion or declared the death; 0 if not stated. A death
    /// reported by the member itself is a graceful stop.
    pub reporter: u32,
    /// Data of the member, if the receiver may not have them.
    pub profile: Option<Arc<Profile>>,
}

impl Update {
    /// Returns whether the member itself announced its end.
    #[must_use]
    pub fn is_departure(&self) -> bool {
        self.status.state == MemberState::Dead && self.reporter == short_key(self.key)
    }
}

/// Returns the lower half of a key, which tells reporters apart.
pub(super) fn short_key(key: MemberKey) -> u32 {
    u32::try_from(key & u64::from(u32::MAX)).unwrap_or(0)
}

/// Fills one datagram and estimates its encoded size, never below the true size.
#[derive(Debug)]
pub(super) struct Packer {
    left_bytes: usize,
    used_bytes: usize,
    names: Vec<String>,
    pub updates: Vec<Update>,
    pub items: Vec<Item>,
}

impl Packer {
    /// Starts a datagram with `body`; piggybacked data take at most `limit_bytes` in all.
    pub fn new(body: &Body, limit_bytes: usize) -> Self {
        let body_bytes = match body {
            Body::Sync { digests } => digests.len() * 4,
            Body::Request { keys } => keys.len() * 8,
            _ => 0,
        };
        let fixed_bytes = FIXED_BYTES + body_bytes;
        let room_bytes = (DATAGRAM_BYTES - 33).saturating_sub(fixed_bytes);
        Self {
            left_bytes: room_bytes.min(limit_bytes),
            used_bytes: fixed_bytes,
            names: Vec::new(),
            updates: Vec::new(),
            items: Vec::new(),
        }
    }

    /// Adds an update if it fits.
    pub fn add_update(&mut self, update: &Update) -> bool {
        let new_names = self.new_names(update);
        let bytes =
            update_bytes(update) + new_names.iter().map(|name| name.len() + 2).sum::<usize>();
        if !self.take(bytes) {
            return false;
        }
        self.names.extend(new_names);
        self.updates.push(update.clone());
        true
    }

    /// Adds an item if it fits.
    pub fn add_item(&mut self, item: &Item) -> bool {
        let bytes = 9 + 11 + item.value.len() + 6;
        if !self.take(bytes) {
            return false;
        }
        self.items.push(item.clone());
        true
    }

    /// Returns the estimated bytes on the wire, headers included.
    pub fn wire_bytes(&self) -> usize {
        self.used_bytes + ENVELOPE_BYTES
    }

    fn take(&mut self, bytes: usize) -> bool {
        if bytes > self.left_bytes {
            return false;
        }
        self.left_bytes -= bytes;
        self.used_bytes += bytes;
        true
    }

    fn new_names(&self, update: &Update) -> Vec<String> {
        let Some(profile) = &update.profile else {
            return Vec::new();
        };
        let mut new_names: Vec<String> = Vec::new();
        for name in [&profile.pool, &profile.availability_zone, &profile.region] {
            if !self.names.contains(name) && !new_names.contains(name) {
                new_names.push(name.clone());
            }
        }
        new_names
    }
}

/// Estimates the encoded bytes of an update without the names that it shares with others.
fn update_bytes(update: &Update) -> usize {
    let claim_bytes = 9 + 1 + varint_bytes(update.status.incarnation) + 6 + 2 + 5 + 3;
    let profile_bytes = update.profile.as_ref().map_or(0, |profile| {
        let address_bytes = if profile.link_address.is_ipv4() {
            2 * 8
        } else {
            2 * 20
        };
        profile.process_id.len() + 3 + 2 + 3 * 3 + address_bytes + 3
    });
    claim_bytes + profile_bytes
}

fn varint_bytes(value: u64) -> usize {
    let bits = 64 - (value | 1).leading_zeros();
    bits.div_ceil(7) as usize
}
