//! Tests of single rules of the failure detector. The tests of `tanagerford-gossip` run whole fleets.

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

/// Guards against a replayed or delayed datagram that restores an older claim.
#[test]
fn older_claim_does_not_replace_newer_one() {
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

/// Guards against a live process that accepts a claim of its death, or changes its incarnation to refute it.
#[test]
fn process_refutes_its_death_and_keeps_its_incarnation() {
    let mut membership = own();
    receive(&mut membership, vec![claim("own", 5, 3, MemberState::Dead)]);
    let status = membership.own().status;
    assert_eq!(
        (status.incarnation, status.refutation, status.state),
        (5, 4, MemberState::Alive)
    );
}

/// Guards against two processes with the same id that both continue to run.
#[test]
fn newer_process_with_the_same_id_is_reported_once() {
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

/// Guards against a replaced process that continues to run because no member sends to its old address any more. A
/// member that receives a datagram from it must notify it.
#[test]
fn replaced_process_is_notified_of_its_successor() {
    let mut membership = own();
    receive(
        &mut membership,
        vec![claim("peer", 7, 0, MemberState::Alive)],
    );
    // After enough rounds the claim is no longer disseminated. Messages of the newer process keep it alive in the
    // table.
    for round in 0..200 {
        let now = Duration::from_secs(1) + Duration::from_millis(100) * round;
        let mut alive = gossip(vec![], vec![]);
        alive.header.incarnation = 7;
        membership.on_message(now, address(2), alive);
        membership.tick(now);
    }
    // The ping has an older incarnation and comes from an address that is not in the table.
    let ping = Message {
        body: Body::Ping {
            probe: 1,
            target: member_key("own"),
        },
        ..gossip(vec![], vec![])
    };
    let actions = membership.on_message(Duration::from_secs(22), address(9), ping);
    let is_notified = actions.iter().any(|action| {
        let Action::Send { to, message } = action else {
            return false;
        };
        let newer =
            |update: &Update| update.key == member_key("peer") && update.status.incarnation == 7;
        *to == address(9) && message.updates.iter().any(newer)
    });
    assert!(is_notified, "{actions:?}");
}

/// Guards against unbounded growth of the member table.
#[test]
fn member_table_is_bounded() {
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

/// Guards against accepting items that are too long, too many or outdated.
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
