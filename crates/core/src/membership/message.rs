//! Messages between members and their encoded size.

use std::net::SocketAddr;
use std::sync::Arc;

use super::item::Item;
use super::member::{MemberKey, MemberState, MemberStatus, Profile};
use crate::ids::{Generation, Incarnation};

/// Maximum datagram payload. With tunnel headers it fits in the usual MTU of 1,500 bytes.
pub const DATAGRAM_BYTES: usize = 1_200;

/// Size of the IP and UDP headers, and of the version and authentication code, which precede an encoded message.
pub(crate) const ENVELOPE_BYTES: usize = 28 + 33;

/// Maximum number of keys in one [`Body::Request`].
pub const MAX_REQUESTED_KEYS: usize = 64;

/// Size that is assumed for the header and the fixed fields of the body.
const FIXED_BYTES: usize = 80;

/// Content of one datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// Describes the sender.
    pub header: Header,
    /// Request or response that the datagram carries.
    pub body: Body,
    /// Claims about members, which are piggybacked on any body.
    pub updates: Vec<Update>,
    /// Opaque items, which are piggybacked on any body.
    pub items: Vec<Item>,
}

/// Identity and current status of a datagram's sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// Member key of the sender.
    pub sender: MemberKey,
    /// Increases with each restart of the sender.
    pub incarnation: Incarnation,
    /// Number of suspicions that the sender has refuted in this incarnation.
    pub refutation: u32,
    /// Whether the sender is leaving and accepts no new work.
    pub is_leaving: bool,
    /// Configuration generation that the sender uses.
    pub generation: Generation,
}

/// Request or response in a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Requests an [`Ack`](Self::Ack) with the same `probe` from `target`.
    Ping {
        /// Random number that identifies the probe.
        probe: u64,
        /// Member to probe; another process on the same address does not respond.
        target: MemberKey,
    },
    /// Response to a ping, or to a ping request whose target responded.
    Ack {
        /// Number from the ping or ping request.
        probe: u64,
    },
    /// Response to a ping request whose target did not respond. It shows that the helper itself works.
    Nack {
        /// Number from the ping or ping request.
        probe: u64,
    },
    /// Requests an indirect probe: the receiver pings `target` and reports the result.
    PingRequest {
        /// Random number that identifies the probe.
        probe: u64,
        /// Member to ping.
        target: MemberKey,
        /// Address on which `target` receives datagrams.
        address: SocketAddr,
    },
    /// Only carries updates and items.
    Gossip,
    /// Requests the members of the buckets whose digests differ, or all members if there are no digests.
    Sync {
        /// Digests of the [`SYNC_BUCKETS`](super::SYNC_BUCKETS) buckets of the member table, or empty.
        digests: Vec<u32>,
    },
    /// Response to a sync or a request; the content is in the updates.
    Entries,
    /// Requests the profiles of members.
    Request {
        /// Members whose profiles are requested, at most [`MAX_REQUESTED_KEYS`].
        keys: Vec<MemberKey>,
    },
}

/// Claim about a member, as disseminated between processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// Member that the claim is about.
    pub key: MemberKey,
    /// Status that the claim asserts.
    pub status: MemberStatus,
    /// Lower half of the key of the member that suspected the member or declared it dead; 0 if not given. If a member
    /// reports itself as dead, it stopped gracefully.
    pub reporter: u32,
    /// Profile of the member; present if the receiver may not know it.
    pub profile: Option<Arc<Profile>>,
}

impl Update {
    /// Returns whether the member itself announced that it stopped.
    pub(crate) fn is_departure(&self) -> bool {
        self.status.state == MemberState::Dead && self.reporter == short_key(self.key)
    }
}

/// Returns the lower half of a key, by which reporters are distinguished.
pub(super) fn short_key(key: MemberKey) -> u32 {
    u32::try_from(key & u64::from(u32::MAX)).unwrap_or(0)
}

/// Fills one datagram up to a size limit. The estimated size is an upper bound of the encoded size.
#[derive(Debug)]
pub(super) struct Packer {
    remaining_bytes: usize,
    used_bytes: usize,
    names: Vec<String>,
    pub updates: Vec<Update>,
    pub items: Vec<Item>,
}

impl Packer {
    /// Creates a datagram with `body` and room for at most `limit_bytes` of piggybacked data.
    pub fn new(body: &Body, limit_bytes: usize) -> Self {
        let body_bytes = match body {
            Body::Sync { digests } => digests.len() * 4,
            Body::Request { keys } => keys.len() * 8,
            _ => 0,
        };
        let fixed_bytes = FIXED_BYTES + body_bytes;
        let room_bytes = (DATAGRAM_BYTES - 33).saturating_sub(fixed_bytes);
        Self {
            remaining_bytes: room_bytes.min(limit_bytes),
            used_bytes: fixed_bytes,
            names: Vec::new(),
            updates: Vec::new(),
            items: Vec::new(),
        }
    }

    /// Adds an update if it fits; returns whether it did.
    pub fn add_update(&mut self, update: &Update) -> bool {
        let new_names = self.new_names(update);
        let bytes =
            update_bytes(update) + new_names.iter().map(|name| name.len() + 2).sum::<usize>();
        if !self.reserve(bytes) {
            return false;
        }
        self.names.extend(new_names);
        self.updates.push(update.clone());
        true
    }

    /// Adds an item if it fits; returns whether it did.
    pub fn add_item(&mut self, item: &Item) -> bool {
        let bytes = 9 + 11 + item.value.len() + 6;
        if !self.reserve(bytes) {
            return false;
        }
        self.items.push(item.clone());
        true
    }

    /// Returns the estimated size on the wire, including IP and UDP headers.
    pub fn wire_bytes(&self) -> usize {
        self.used_bytes + ENVELOPE_BYTES
    }

    fn reserve(&mut self, bytes: usize) -> bool {
        if bytes > self.remaining_bytes {
            return false;
        }
        self.remaining_bytes -= bytes;
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

/// Estimates the encoded size of an update without the names of its pool, zone and region, which the updates of a
/// datagram share.
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
