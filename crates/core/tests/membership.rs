//! Rules of the failure detector that a whole fleet does not show by itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tanagerford_core::membership::{
    Action, Body, Event, Header, Item, ItemError, MemberState, MemberStatus, Membership, Message,
    Params, Profile, Role, Update, member_key,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn profile(name: &str, port: u16) -> Profile {
    Profile {
        process_id: name.into(),
        role: Role::Sidecar,
        pool: "large".into(),
        availability_zone: "a".into(),
        region: "north".into(),
        link_address: address(port),
        gossip_address: address(port),
    }
}

fn claim(name: &str, incarnation: u64, refutation: u32, state: MemberState) -> Update {
    Update {
        key: member_key(name),
        status: MemberStatus {
            incarnation,
            refutation,
            state,
        },
        reporter: 1,
        profile: Some(Arc::new(profile(name, 2))),
    }
}

fn gossip(updates: Vec<Update>, items: Vec<Item>) -> Message {
    let header = Header {
        sender: member_key("peer"),
        incarnation: 1,
        refutation: 0,
        is_leaving: false,
        generation: 0,
    };
    Message {
        header,
        body: Body::Gossip,
        updates,
        items,
    }
}

fn receive(membership: &mut Membership, updates: Vec<Update>) -> Vec<Action> {
    membership.on_message(Duration::from_secs(1), address(2), gossip(updates, vec![]))
}

fn own() -> Membership {
    Membership::new(Duration::ZERO, profile("own", 1), 5, Params::default(), 1)
}

fn state(membership: &Membership, name: &str) -> Option<MemberState> {
    membership
        .member(member_key(name))
        .map(|member| member.status.state)
}

/// Guards against a replayed or delayed datagram that brings an older claim back.
#[test]
fn older_claims_do_not_replace_newer_ones() {
    let mut membership = own();
    receive(
        &mut membership,
        vec![claim("other", 2, 1, MemberState::Leaving)],
    );
    for old in [
        claim("other", 2, 0, MemberState::Dead),
        claim("other", 2, 1, MemberState::Alive),
        claim("other", 1, 9, MemberState::Dead),
    ] {
        receive(&mut membership, vec![old]);
        assert_eq!(state(&membership, "other"), Some(MemberState::Leaving));
    }
}

/// Guards against a live process that accepts its own death, or changes its incarnation to refute it.
#[test]
fn a_process_refutes_its_death_and_keeps_its_incarnation() {
    let mut membership = own();
    receive(&mut membership, vec![claim("own", 5, 3, MemberState::Dead)]);
    let status = membership.own().status;
    assert_eq!(
        (status.incarnation, status.refutation, status.state),
        (5, 4, MemberState::Alive)
    );
}

/// Guards against two processes with one id that both go on working.
#[test]
fn a_newer_process_with_the_same_id_is_reported_once() {
    let mut membership = own();
    let newer = || vec![claim("own", 6, 0, MemberState::Alive)];
    let count = |actions: &[Action]| {
        let is_superseded = |action: &&Action| {
            matches!(action, Action::Notify(Event::Superseded { incarnation: 6 }))
        };
        actions.iter().filter(is_superseded).count()
    };
    assert_eq!(count(&receive(&mut membership, newer())), 1);
    assert_eq!(count(&receive(&mut membership, newer())), 0);
}

/// Guards against a replaced process that goes on working because nobody sends to its old address any more: whoever hears
/// from it has to tell it.
#[test]
fn a_replaced_process_is_told_of_its_successor() {
    let mut membership = own();
    receive(
        &mut membership,
        vec![claim("peer", 7, 0, MemberState::Alive)],
    );
    // Enough rounds that the claim is not disseminated any more, with signs of life of the newer process.
    for round in 0..200 {
        let now = Duration::from_secs(1) + Duration::from_millis(100) * round;
        let mut alive = gossip(vec![], vec![]);
        alive.header.incarnation = 7;
        membership.on_message(now, address(2), alive);
        membership.tick(now);
    }
    // The ping comes from an address that the table does not know, with an older incarnation.
    let ping = Message {
        body: Body::Ping {
            probe: 1,
            target: member_key("own"),
        },
        ..gossip(vec![], vec![])
    };
    let actions = membership.on_message(Duration::from_secs(22), address(9), ping);
    let told = actions.iter().any(|action| {
        let Action::Send { to, message } = action else {
            return false;
        };
        let newer =
            |update: &Update| update.key == member_key("peer") && update.status.incarnation == 7;
        *to == address(9) && message.updates.iter().any(newer)
    });
    assert!(told, "{actions:?}");
}

/// Guards against a table that grows without bound.
#[test]
fn the_table_is_bounded() {
    let params = Params {
        max_members: 2,
        ..Params::default()
    };
    let mut membership = Membership::new(Duration::ZERO, profile("own", 1), 5, params, 1);
    for name in ["one", "two", "three"] {
        receive(&mut membership, vec![claim(name, 1, 0, MemberState::Alive)]);
    }
    assert_eq!(membership.live_count(), 2);
    assert_eq!(membership.counters().refused, 1);
}

/// Guards against items that are too long, too many or replaced by older versions.
#[test]
fn items_are_bounded_and_versioned() {
    let params = Params {
        max_items: 1,
        item_bytes: 4,
        ..Params::default()
    };
    let mut membership = Membership::new(Duration::ZERO, profile("own", 1), 5, params, 1);
    let item = |key, version, bytes| Item {
        key,
        version,
        value: vec![0; bytes].into(),
    };
    let now = Duration::ZERO;
    assert_eq!(
        membership.publish(now, item(1, 2, 5)),
        Err(ItemError::TooLong)
    );
    assert_eq!(membership.publish(now, item(1, 2, 4)), Ok(()));
    assert_eq!(
        membership.publish(now, item(1, 1, 4)),
        Err(ItemError::Outdated)
    );
    assert_eq!(membership.publish(now, item(2, 1, 4)), Err(ItemError::Full));
}
