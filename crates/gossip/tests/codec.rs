//! Datagram codec: round trips and malformed input.

use std::net::SocketAddr;
use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use tanagerford_core::membership::{
    Body, Header, Item, MemberState, MemberStatus, Message, Profile, Role, Update, member_key,
};
use tanagerford_gossip::{Codec, DecodeError};

fn address() -> impl Strategy<Value = SocketAddr> {
    let v4 = (any::<[u8; 4]>(), any::<u16>()).prop_map(SocketAddr::from);
    let v6 = (any::<[u8; 16]>(), any::<u16>()).prop_map(SocketAddr::from);
    prop_oneof![v4, v6]
}

fn profile() -> impl Strategy<Value = Profile> {
    let names = ("[a-z0-9-]{1,40}", "[a-z]{0,8}", "[a-z]{1,3}", "[a-z]{1,8}");
    (names, any::<bool>(), address(), address()).prop_map(
        |(names, is_entry, link_address, gossip_address)| Profile {
            process_id: names.0,
            role: if is_entry { Role::Entry } else { Role::Sidecar },
            pool: names.1,
            availability_zone: names.2,
            region: names.3,
            link_address,
            gossip_address,
        },
    )
}

fn update() -> impl Strategy<Value = Update> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Leaving),
        Just(MemberState::Dead),
    ];
    let status = (any::<u64>(), any::<u32>(), state);
    (status, any::<u32>(), proptest::option::of(profile())).prop_map(
        |(status, reporter, profile)| Update {
            key: profile
                .as_ref()
                .map_or(7, |profile| member_key(&profile.process_id)),
            status: MemberStatus {
                incarnation: status.0,
                refutation: status.1,
                state: status.2,
            },
            reporter,
            profile: profile.map(Arc::new),
        },
    )
}

fn body() -> impl Strategy<Value = Body> {
    prop_oneof![
        any::<(u64, u64)>().prop_map(|(probe, target)| Body::Ping { probe, target }),
        any::<u64>().prop_map(|probe| Body::Ack { probe }),
        any::<u64>().prop_map(|probe| Body::Nack { probe }),
        (any::<(u64, u64)>(), address()).prop_map(|((probe, target), address)| Body::PingRequest {
            probe,
            target,
            address
        }),
        Just(Body::Gossip),
        Just(Body::Entries),
        vec(any::<u32>(), 128).prop_map(|digests| Body::Sync { digests }),
        vec(any::<u64>(), 0..=64).prop_map(|keys| Body::Request { keys }),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    let item = (any::<u64>(), any::<u64>(), vec(any::<u8>(), 0..64));
    let items = vec(item, 0..3).prop_map(|items| {
        let item = |(key, version, value): (u64, u64, Vec<u8>)| Item {
            key,
            version,
            value: value.into(),
        };
        items.into_iter().map(item).collect::<Vec<_>>()
    });
    let header = any::<(u64, u64, u32, bool, u64)>().prop_map(|fields| Header {
        sender: fields.0,
        incarnation: fields.1,
        refutation: fields.2,
        is_leaving: fields.3,
        generation: fields.4,
    });
    (header, body(), vec(update(), 0..3), items).prop_map(|(header, body, updates, items)| {
        Message {
            header,
            body,
            updates,
            items,
        }
    })
}

proptest! {
    #![proptest_config(Config { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..Config::default() })]

    /// Guards against fields that are lost or exchanged by encoding and decoding.
    #[test]
    fn messages_round_trip(message in message()) {
        let codec = Codec::new(b"key");
        let datagram = codec.encode(&message);
        prop_assume!(datagram.len() <= 1_200);
        prop_assert_eq!(codec.decode(&datagram), Ok(message));
    }

    /// Guards against a panic or a large allocation on authenticated but invalid content, for example from a newer version.
    #[test]
    fn decoding_arbitrary_content_does_not_panic(content in vec(any::<u8>(), 0..1_160)) {
        let _ = tanagerford_gossip::decode_content(&content);
    }

    /// Guards against accepting a datagram that was modified in transit.
    #[test]
    fn a_datagram_with_a_flipped_bit_is_rejected(message in message(), position in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let codec = Codec::new(b"key");
        let mut datagram = codec.encode(&message);
        let index = position.index(datagram.len());
        datagram[index] ^= 1 << bit;
        prop_assert!(codec.decode(&datagram).is_err());
    }

    /// Guards against a panic on arbitrary datagrams from the network.
    #[test]
    fn arbitrary_datagrams_are_rejected(datagram in vec(any::<u8>(), 0..1_400)) {
        prop_assert!(Codec::new(b"key").decode(&datagram).is_err());
    }
}

/// Guards against decoding a datagram of another format version as the current one.
#[test]
fn another_version_is_rejected() {
    let header = Header {
        sender: 1,
        incarnation: 1,
        refutation: 0,
        is_leaving: false,
        generation: 0,
    };
    let message = Message {
        header,
        body: Body::Gossip,
        updates: vec![],
        items: vec![],
    };
    let codec = Codec::new(b"key");
    let mut datagram = codec.encode(&message);
    datagram[0] += 1;
    assert_eq!(codec.decode(&datagram), Err(DecodeError::Envelope));
}
