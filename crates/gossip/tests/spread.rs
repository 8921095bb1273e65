//! Membership and generations in a fleet on a virtual clock. The bounds are the targets of the design.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, zone};
use tanagerford_core::membership::{MemberState, Params};

const SIZE: usize = 160;

/// Time within which a configuration must be in force everywhere.
const CONFIGURATION_TARGET: Duration = Duration::from_secs(13);

/// Time within which a leaving server must be known.
const LEAVING_TARGET: Duration = Duration::from_secs(3);

/// Sent and received bytes per second that a member may use.
const BYTES_TARGET: f64 = 6_000.0;

/// Time over which traffic is averaged when bursts are allowed: after a lost zone, a partition or a restart.
const BURST_WINDOW: Duration = Duration::from_mins(5);

/// Datagrams lost in the tests with loss.
const LOSS: f64 = 0.2;

fn settled(seed: u64) -> Fleet {
    let mut fleet = Fleet::start_settled(SIZE, seed, &Params::default());
    fleet.reset_traffic();
    fleet
}

/// Runs until [`BURST_WINDOW`] has passed since `started_at` and checks the traffic of the busiest member.
fn check_traffic(fleet: &mut Fleet, started_at: Duration) {
    let end = started_at + BURST_WINDOW;
    fleet.run_for(end.saturating_sub(fleet.now));
    let elapsed = fleet.now.saturating_sub(started_at);
    let bytes_per_second = fleet.highest_bytes_per_second(elapsed);
    assert!(
        bytes_per_second <= BYTES_TARGET,
        "a member uses {bytes_per_second} B/s"
    );
}

/// Guards against a generation that reaches some members late or never when datagrams are lost, and against traffic
/// above the target while configurations change.
#[test]
fn a_generation_reaches_all_members_in_time_with_loss() {
    let mut fleet = settled(1);
    fleet.loss = LOSS;
    for generation in 1..=3 {
        fleet.set_generation(7, generation);
        let is_everywhere =
            |fleet: &Fleet| fleet.nodes.iter().all(|node| node.generation == generation);
        assert!(
            fleet
                .run_until(CONFIGURATION_TARGET, is_everywhere)
                .is_some(),
            "generation {generation} is late"
        );
    }
    let time = Duration::from_mins(1);
    fleet.reset_traffic();
    fleet.run_for(time);
    let bytes_per_second = fleet.highest_bytes_per_second(time);
    assert!(
        bytes_per_second <= BYTES_TARGET,
        "a member uses {bytes_per_second} B/s"
    );
}

/// Guards against a server that gets new work although it leaves.
#[test]
fn a_leaving_member_is_known_in_time_with_loss() {
    let mut fleet = settled(2);
    fleet.loss = LOSS;
    for subject in [3, 50, 88, 101, 119] {
        fleet.leave(subject);
        let knows = |state: Option<MemberState>| state == Some(MemberState::Leaving);
        let time = fleet.run_until(LEAVING_TARGET, |fleet| fleet.all_see(subject, knows));
        assert!(
            time.is_some(),
            "member {subject} is not known to leave after 3 s"
        );
        fleet.run_for(Duration::from_secs(5));
    }
}

/// Guards against leaving members that are known late because those before them used up the bytes of dissemination.
#[test]
fn many_leaving_members_are_known_in_time_with_loss() {
    let params = Params {
        gossip_burst_bytes: 4 * 1_024,
        ..Params::default()
    };
    let mut fleet = Fleet::start_settled(SIZE, 8, &params);
    fleet.loss = LOSS;
    for subject in 0..60 {
        fleet.leave(subject);
        let knows = |state: Option<MemberState>| state == Some(MemberState::Leaving);
        let time = fleet.run_until(LEAVING_TARGET, |fleet| fleet.all_see(subject, knows));
        assert!(
            time.is_some(),
            "member {subject} is not known to leave after 3 s"
        );
        fleet.run_for(Duration::from_millis(1_500));
    }
}

/// Guards against members that are declared dead because datagrams are lost.
#[test]
fn loss_alone_kills_nobody() {
    let mut fleet = settled(3);
    fleet.loss = LOSS;
    fleet.run_for(Duration::from_mins(2));
    assert_eq!(fleet.total(|member| member.counters().declared_dead), 0);
    assert_eq!(fleet.wrong_pairs(), 0);
}

/// Guards against a lost zone that stays in the tables, takes other members along, or makes a storm.
#[test]
fn a_lost_zone_is_noticed_and_takes_nobody_along() {
    let mut fleet = settled(4);
    let lost_at = fleet.now;
    let lost: Vec<usize> = (0..SIZE).filter(|index| zone(*index) == 2).collect();
    for index in &lost {
        fleet.crash(*index);
    }
    let is_noticed = |fleet: &Fleet| {
        lost.iter()
            .all(|index| fleet.all_see(*index, |state| state == Some(MemberState::Dead)))
    };
    assert!(
        fleet
            .run_until_every(Duration::from_secs(1), Duration::from_mins(5), is_noticed)
            .is_some()
    );
    assert_eq!(fleet.wrong_pairs(), 0);
    check_traffic(&mut fleet, lost_at);
}

/// Guards against the two sides of a healed partition that stay apart or declare each other dead again and again.
#[test]
fn a_healed_partition_merges() {
    let mut fleet = settled(5);
    fleet.is_partitioned = true;
    let is_split = |fleet: &Fleet| fleet.wrong_pairs() == SIZE * SIZE / 2;
    let split = fleet.run_until_every(Duration::from_secs(1), Duration::from_mins(10), is_split);
    assert!(
        split.is_some(),
        "each side should have declared the other dead"
    );
    fleet.is_partitioned = false;
    fleet.reset_traffic();
    let healed_at = fleet.now;
    let is_whole = |fleet: &Fleet| fleet.wrong_pairs() == 0;
    assert!(
        fleet
            .run_until_every(Duration::from_secs(1), Duration::from_mins(2), is_whole)
            .is_some()
    );
    check_traffic(&mut fleet, healed_at);
    assert_eq!(fleet.wrong_pairs(), 0);
}

/// Guards against old incarnations that survive a restart of the whole fleet, and against a storm of joins.
#[test]
fn a_restart_of_everything_settles() {
    let mut fleet = settled(6);
    for index in 0..SIZE {
        fleet.crash(index);
    }
    fleet.run_for(Duration::from_secs(5));
    for index in 0..SIZE {
        fleet.restart(index);
    }
    fleet.reset_traffic();
    let restarted_at = fleet.now;
    let is_whole = |fleet: &Fleet| fleet.wrong_pairs() == 0;
    assert!(fleet.run_until(Duration::from_mins(1), is_whole).is_some());
    let is_new = |member: Option<tanagerford_core::membership::Member>| {
        member.is_some_and(|member| member.status.incarnation == 2)
    };
    assert!((1..SIZE).all(|subject| is_new(fleet.member(0, subject))));
    check_traffic(&mut fleet, restarted_at);
}

/// Guards against a process that restarts under its id while the fleet still holds its earlier start.
#[test]
fn a_restarted_member_replaces_its_earlier_start() {
    let mut fleet = settled(7);
    fleet.crash(9);
    fleet.run_for(Duration::from_secs(2));
    fleet.restart(9);
    let is_new = |fleet: &Fleet| {
        let others = (0..SIZE).filter(|observer| *observer != 9);
        let members: Vec<_> = others
            .filter_map(|observer| fleet.member(observer, 9))
            .collect();
        members.len() == SIZE - 1
            && members
                .iter()
                .all(|member| member.status.incarnation == 2 && member.takes_work())
    };
    assert!(fleet.run_until(Duration::from_secs(10), is_new).is_some());
}
