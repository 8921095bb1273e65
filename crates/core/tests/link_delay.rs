//! Tests of the delay of an entry's link.

use std::time::Duration;

use proptest::prelude::*;
use tanagerford_core::dispatch::LinkDelay;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Guards against a slow server that is taken for a slow link, which would shorten the time of all calls.
#[test]
fn one_slow_server_is_not_the_link() {
    let mut delay = LinkDelay::default();
    for at in 0..100 {
        delay.on_connected(ms(at * 10), 7, ms(900));
    }
    assert_eq!(delay.get(ms(1_000)), ms(0));
    delay.on_connected(ms(1_000), 8, ms(2));
    assert_eq!(delay.get(ms(1_000)), ms(2));
}

/// Guards against an estimate that stays after the link has room again, when no connection is opened any more.
#[test]
fn the_delay_ends_without_further_handshakes() {
    let mut delay = LinkDelay::default();
    delay.on_connected(ms(0), 1, ms(300));
    delay.on_connected(ms(0), 2, ms(310));
    assert_eq!(delay.get(ms(400)), ms(300));
    assert_eq!(delay.get(ms(600)), ms(0));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a delay that no handshake has shown: calls would be refused although they have time left.
    #[test]
    fn the_delay_is_never_above_a_recent_handshake(
        handshakes in prop::collection::vec((0..2_000_u64, 0..6_u32, 0..2_000_u64), 0..200),
        now in 0..3_000_u64,
    ) {
        let mut handshakes = handshakes;
        handshakes.sort_unstable();
        handshakes.retain(|(at, ..)| *at <= now);
        let mut delay = LinkDelay::default();
        for (at, server, took) in &handshakes {
            delay.on_connected(ms(*at), *server, ms(*took));
        }
        let estimate = delay.get(ms(now));
        for (at, _, took) in handshakes.iter().rev().take(60) {
            if now - at <= 500 {
                prop_assert!(estimate <= ms(*took));
            }
        }
    }
}
