//! Membership runtime over loopback sockets.

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use tanagerford_core::membership::{Event, Item, MemberState, Params, Profile, Role};
use tanagerford_gossip::{Gossip, Settings};

/// Limit of every wait, so that a failing test ends.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

fn params() -> Params {
    Params {
        probe_period: Duration::from_millis(200),
        ping_repeat_after: Duration::from_millis(50),
        indirect_after: Duration::from_millis(100),
        gossip_period: Duration::from_millis(40),
        ..Params::default()
    }
}

fn start(name: &str, incarnation: u64, seeds: &[&Gossip]) -> Gossip {
    let profile = Profile {
        process_id: name.into(),
        role: Role::Sidecar,
        pool: "large".into(),
        availability_zone: "a".into(),
        region: "north".into(),
        link_address: "127.0.0.1:9".parse().unwrap(),
        gossip_address: "127.0.0.1:0".parse().unwrap(),
    };
    let settings = Settings {
        profile,
        incarnation,
        fleet_key: b"fleet key".to_vec(),
        seeds: seeds.iter().map(|seed| seed.local_address()).collect(),
        params: params(),
    };
    Gossip::start(settings).unwrap()
}

fn wait_until(condition: &str, is_done: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !is_done() {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {condition}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn has_member(gossip: &Gossip, name: &str, state: MemberState, incarnation: u64) -> bool {
    let snapshot = gossip.members();
    let member = snapshot
        .members
        .iter()
        .find(|member| member.profile.process_id == name);
    member.is_some_and(|member| {
        member.status.state == state && member.status.incarnation == incarnation
    })
}

/// Guards against members that do not discover each other, and against lost announcements of a leaving, stopped or
/// restarted process.
#[test]
fn members_join_leave_stop_and_restart() {
    let one = start("one", 1, &[]);
    let two = start("two", 1, &[&one]);
    let three = start("three", 1, &[&one]);
    wait_until("two and three know each other", || {
        has_member(&two, "three", MemberState::Alive, 1)
            && has_member(&three, "two", MemberState::Alive, 1)
    });
    three.leave();
    wait_until("two knows that three is leaving", || {
        has_member(&two, "three", MemberState::Leaving, 1)
    });
    three.stop();
    wait_until("two knows that three stopped", || {
        has_member(&two, "three", MemberState::Dead, 1)
    });
    let restarted = start("three", 2, &[&one]);
    wait_until("two knows the new incarnation of three", || {
        has_member(&two, "three", MemberState::Alive, 2)
    });
    assert!(
        serde_json::to_string(&restarted.dump())
            .unwrap()
            .contains("process_id")
    );
}

/// Guards against a newer configuration generation or an item that does not reach a peer.
#[test]
fn generations_and_items_reach_the_peers() {
    let one = start("one", 1, &[]);
    let two = start("two", 1, &[&one]);
    wait_until("one knows two", || {
        has_member(&one, "two", MemberState::Alive, 1)
    });
    let events = two.subscribe();
    one.set_generation(5);
    let item = Item {
        key: 3,
        version: 1,
        value: b"summary"[..].into(),
    };
    one.publish(item.clone()).unwrap();
    let (mut has_generation, mut has_item) = (false, false);
    while !(has_generation && has_item) {
        match events.recv_timeout(WAIT_TIMEOUT).expect("no event arrived") {
            Event::GenerationAhead { generation, peer } => {
                has_generation |= generation == 5 && peer.process_id == "one";
            }
            Event::Item(received) => has_item |= received == item,
            _ => {}
        }
    }
}

/// Guards against a crashed process that remains a live member.
#[test]
fn a_crashed_member_is_declared_dead() {
    let one = start("one", 1, &[]);
    let two = start("two", 1, &[&one]);
    let three = start("three", 1, &[&one]);
    wait_until("one knows two and three", || {
        has_member(&one, "two", MemberState::Alive, 1)
            && has_member(&one, "three", MemberState::Alive, 1)
    });
    two.abort();
    wait_until("one and three know that two is dead", || {
        has_member(&one, "two", MemberState::Dead, 1)
            && has_member(&three, "two", MemberState::Dead, 1)
    });
}

/// Guards against invalid datagrams that stop the receiving thread or are not counted.
#[test]
fn invalid_datagrams_are_counted_and_dropped() {
    let one = start("one", 1, &[]);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(b"", one.local_address()).unwrap();
    socket.send_to(&[1; 100], one.local_address()).unwrap();
    socket.send_to(&[1; 1_400], one.local_address()).unwrap();
    wait_until("the invalid datagrams are counted", || {
        let counters = one.transport_counters();
        counters.envelope_errors == 2 && counters.unauthenticated == 1
    });
    let _two = start("two", 1, &[&one]);
    wait_until("one knows two", || {
        has_member(&one, "two", MemberState::Alive, 1)
    });
}
