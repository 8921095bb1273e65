//! Limits that engines set on the rate of requests from all entries together.

mod streams;

use std::time::Duration;

use serde_json::{Value, json};
use streams::{CHAT, DRAFT, stream_load};
use tanagerford_emulator::load;
use tanagerford_emulator::report::{RunResult, experiment};

/// Time from the start of a limit after which it holds.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Span in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

fn limited(share: f64, per_s: f64, at_s: f64, for_s: f64) -> Value {
    json!({
        "at_s": at_s, "for_s": for_s,
        "kind": { "limited_engines": { "share": share, "per_s": per_s } }
    })
}

fn run(load: &Value) -> RunResult {
    let load = load::decode(load.to_string().as_bytes()).unwrap();
    experiment(&load).policies.remove(0).runs.remove(0)
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap())
}

/// Checks every limit: in any 4 s the server gets at most one and a half times what the limit allows, and 5 requests.
/// Returns the part of the limits that was used.
fn check_limits(result: &RunResult, until: Duration) -> f64 {
    assert!(!result.limited_engines.is_empty());
    let (mut used, mut offered) = (0.0, 0.0);
    for engine in &result.limited_engines {
        let from = engine.began_at + SETTLE_TIME;
        let most = engine.most_arrivals(from, SPAN);
        let allowed = 1.5 * engine.rate * SPAN.as_secs_f64() + 5.0;
        assert!(
            count(most) <= allowed,
            "{most} requests within {SPAN:?} at a limit of {}",
            engine.rate
        );
        let arrivals = engine.arrivals.iter();
        let counted = arrivals.filter(|at| (from..until).contains(at)).count();
        used += count(counted);
        offered += engine.rate * until.saturating_sub(from).as_secs_f64();
    }
    println!(
        "{} limits, {:.2} used, {} permit messages, {} sends",
        result.limited_engines.len(),
        used / offered,
        result.permit_messages,
        result.sends
    );
    used / offered
}

/// Guards against entries that send a server as many requests as any other although it named a limit.
#[test]
fn two_limited_servers_get_no_more_than_they_take() {
    let load = stream_load(&json!([limited(0.15, 2.3, 4.0, 20.0)]));
    check_limits(&run(&load), Duration::from_secs(24));
}

/// Guards against limits that hold only while other servers have room, and against limits that are left unused while calls
/// wait.
#[test]
fn limits_of_all_servers_are_used_and_hold() {
    for rate in [1.0, 5.0] {
        let load = stream_load(&json!([limited(1.0, rate, 4.0, 20.0)]));
        let used = check_limits(&run(&load), Duration::from_secs(24));
        assert!(used >= 0.9, "{used} of the limits of {rate}");
    }
}

/// Guards against a sum of first calls that exceeds a limit far below one call for each entry and second, and against
/// limits above what a server gets that cost it requests.
#[test]
fn many_entries_keep_small_limits_and_pass_large_ones() {
    let wide = |rate| {
        let mut load = stream_load(&json!([limited(0.25, rate, 4.0, 14.0)]));
        load["length_s"] = json!(18);
        load["entries_per_zone"] = json!(15);
        load["engines"]["per_zone"] = json!(6);
        load["classes"][0]["rate_per_s"] = json!(80);
        load["classes"][2]["rate_per_s"] = json!(60);
        run(&load)
    };
    check_limits(&wide(0.2), Duration::from_secs(18));
    check_limits(&wide(100.0), Duration::from_secs(18));
}

/// Guards against limits that let lower ranks pass, and against ranks that are starved. The limits leave no room for all
/// chats, so drafts are served only as exceptions.
#[test]
fn higher_ranks_are_served_first_when_all_servers_are_limited() {
    let load = stream_load(&json!([limited(1.0, 2.3, 4.0, 20.0)]));
    let result = run(&load);
    let unserved = result.largest_unserved_share(CHAT, 7);
    assert!(unserved > 1.0 / 12.0, "the limits leave room for all chats");
    for from_s in 7..15 {
        let drafts = result.served(DRAFT, from_s..from_s + 5);
        assert!(
            drafts < 10,
            "{drafts} drafts in five seconds from {from_s} s"
        );
    }
    assert!(result.served(DRAFT, 7..19) > 0);
}
