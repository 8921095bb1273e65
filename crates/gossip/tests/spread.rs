//! Dissemination of membership and configuration generations in a simulated fleet. The limits are design targets.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, zone};
use tanagerford_core::membership::{MemberState, Params};

const MEMBER_COUNT: usize = 160;

/// Time within which all members must use a new configuration.
const CONFIGURATION_TIME_LIMIT: Duration = Duration::from_secs(13);

/// Time within which all members must know that a member is leaving.
const LEAVING_TIME_LIMIT: Duration = Duration::from_secs(3);

/// Maximum traffic of a member, sent and received.
const MAX_BYTES_PER_SECOND: f64 = 6_000.0;

/// Time over which traffic is averaged after a lost zone, a partition or a restart, which cause bursts.
const BURST_WINDOW: Duration = Duration::from_mins(5);

/// Probability of datagram loss in the tests with loss.
const LOSS_RATE: f64 = 0.2;

fn settled_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::start_settled(MEMBER_COUNT, seed, &Params::default());
    fleet.reset_traffic();
    fleet
}

/// Runs until [`BURST_WINDOW`] has passed since `started_at` and checks the traffic of the busiest member.
fn check_traffic(fleet: &mut Fleet, started_at: Duration) {
    let end = started_at + BURST_WINDOW;
    fleet.run_for(end.saturating_sub(fleet.now));
    let elapsed = fleet.now.saturating_sub(started_at);
    let bytes_per_second = fleet.max_bytes_per_second(elapsed);
    assert!(
        bytes_per_second <= MAX_BYTES_PER_SECOND,
        "a member uses {bytes_per_second} B/s"
    );
}

/// Guards against a generation that reaches some members late or never when datagrams are lost, and against excessive
/// traffic after configuration changes.
#[test]
fn a_generation_reaches_all_members_in_time_with_loss() {
    let mut fleet = settled_fleet(1);
    fleet.loss = LOSS_RATE;
    for generation in 1..=3 {
        fleet.set_generation(7, generation);
        let is_everywhere =
            |fleet: &Fleet| fleet.nodes.iter().all(|node| node.generation == generation);
        assert!(
            fleet
                .run_until(CONFIGURATION_TIME_LIMIT, is_everywhere)
                .is_some(),
            "generation {generation} did not reach all members in time"
        );
    }
    let time = Duration::from_mins(1);
    fleet.reset_traffic();
    fleet.run_for(time);
    let bytes_per_second = fleet.max_bytes_per_second(time);
    assert!(
        bytes_per_second <= MAX_BYTES_PER_SECOND,
        "a member uses {bytes_per_second} B/s"
    );
}

/// Guards against new work for a server that is leaving, because members learn of it too late.
#[test]
fn a_leaving_member_is_known_in_time_with_loss() {
    let mut fleet = settled_fleet(2);
    fleet.loss = LOSS_RATE;
    for subject in [3, 50, 88, 101, 119] {
        fleet.leave(subject);
        let is_leaving = |state: Option<MemberState>| state == Some(MemberState::Leaving);
        let time = fleet.run_until(LEAVING_TIME_LIMIT, |fleet| {
            fleet.all_see(subject, is_leaving)
        });
        assert!(
            time.is_some(),
            "not all members know after 3 s that member {subject} is leaving"
        );
        fleet.run_for(Duration::from_secs(5));
    }
}

/// Guards against late announcements of leaving members because earlier ones have used up the byte budget for
/// dissemination.
#[test]
fn many_leaving_members_are_known_in_time_with_loss() {
    let params = Params {
        gossip_burst_bytes: 4 * 1_024,
        ..Params::default()
    };
    let mut fleet = Fleet::start_settled(MEMBER_COUNT, 8, &params);
    fleet.loss = LOSS_RATE;
    for subject in 0..60 {
        fleet.leave(subject);
        let is_leaving = |state: Option<MemberState>| state == Some(MemberState::Leaving);
        let time = fleet.run_until(LEAVING_TIME_LIMIT, |fleet| {
            fleet.all_see(subject, is_leaving)
        });
        assert!(
            time.is_some(),
            "not all members know after 3 s that member {subject} is leaving"
        );
        fleet.run_for(Duration::from_millis(1_500));
    }
}

/// Guards against members that are declared dead only because datagrams are lost.
#[test]
fn datagram_loss_alone_declares_no_member_dead() {
    let mut fleet = settled_fleet(3);
    fleet.loss = LOSS_RATE;
    fleet.run_for(Duration::from_mins(2));
    assert_eq!(fleet.total(|member| member.counters().declared_dead), 0);
    assert_eq!(fleet.wrong_pairs(), 0);
}

/// Guards against members of a lost zone that are never declared dead, and against false declarations about other members
/// or excessive traffic as a result of the loss.
#[test]
fn only_members_of_a_lost_zone_are_declared_dead() {
    let mut fleet = settled_fleet(4);
    let lost_at = fleet.now;
    let lost: Vec<usize> = (0..MEMBER_COUNT)
        .filter(|index| zone(*index) == 2)
        .collect();
    for index in &lost {
        fleet.crash(*index);
    }
    let is_detected = |fleet: &Fleet| {
        lost.iter()
            .all(|index| fleet.all_see(*index, |state| state == Some(MemberState::Dead)))
    };
    assert!(
        fleet
            .run_until_every(Duration::from_secs(1), Duration::from_mins(5), is_detected)
            .is_some()
    );
    assert_eq!(fleet.wrong_pairs(), 0);
    check_traffic(&mut fleet, lost_at);
}

/// Guards against the two sides of a healed partition that stay separate or repeatedly declare each other dead.
#[test]
fn a_healed_partition_converges() {
    let mut fleet = settled_fleet(5);
    fleet.is_partitioned = true;
    let is_split = |fleet: &Fleet| fleet.wrong_pairs() == MEMBER_COUNT * MEMBER_COUNT / 2;
    let split = fleet.run_until_every(Duration::from_secs(1), Duration::from_mins(10), is_split);
    assert!(split.is_some(), "the sides did not declare each other dead");
    fleet.is_partitioned = false;
    fleet.reset_traffic();
    let healed_at = fleet.now;
    let has_converged = |fleet: &Fleet| fleet.wrong_pairs() == 0;
    assert!(
        fleet
            .run_until_every(
                Duration::from_secs(1),
                Duration::from_mins(2),
                has_converged
            )
            .is_some()
    );
    check_traffic(&mut fleet, healed_at);
    assert_eq!(fleet.wrong_pairs(), 0);
}

/// Guards against old incarnations that remain after a restart of the whole fleet, and against excessive traffic when
/// all members join at once.
#[test]
fn a_restart_of_all_members_converges() {
    let mut fleet = settled_fleet(6);
    for index in 0..MEMBER_COUNT {
        fleet.crash(index);
    }
    fleet.run_for(Duration::from_secs(5));
    for index in 0..MEMBER_COUNT {
        fleet.restart(index);
    }
    fleet.reset_traffic();
    let restarted_at = fleet.now;
    let has_converged = |fleet: &Fleet| fleet.wrong_pairs() == 0;
    assert!(
        fleet
            .run_until(Duration::from_mins(1), has_converged)
            .is_some()
    );
    let is_new_incarnation = |member: Option<tanagerford_core::membership::Member>| {
        member.is_some_and(|member| member.status.incarnation == 2)
    };
    assert!((1..MEMBER_COUNT).all(|subject| is_new_incarnation(fleet.member(0, subject))));
    check_traffic(&mut fleet, restarted_at);
}

/// Guards against a restarted process that remains hidden because the tables still hold its earlier incarnation.
#[test]
fn a_restarted_member_replaces_its_earlier_incarnation() {
    let mut fleet = settled_fleet(7);
    fleet.crash(9);
    fleet.run_for(Duration::from_secs(2));
    fleet.restart(9);
    let is_new_incarnation = |fleet: &Fleet| {
        let others = (0..MEMBER_COUNT).filter(|observer| *observer != 9);
        let members: Vec<_> = others
            .filter_map(|observer| fleet.member(observer, 9))
            .collect();
        members.len() == MEMBER_COUNT - 1
            && members
                .iter()
                .all(|member| member.status.incarnation == 2 && member.takes_work())
    };
    assert!(
        fleet
            .run_until(Duration::from_secs(10), is_new_incarnation)
            .is_some()
    );
}
