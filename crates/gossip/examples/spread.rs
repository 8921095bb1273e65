//! Measures the membership protocol in a simulated fleet on a virtual clock.
//!
//! Run with `cargo run --release -p tanagerford-gossip --example spread -- --members 1260`.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::{Duration, Instant};

use fleet::{Fleet, zone};
use tanagerford_core::membership::{MemberState, Params};

const USAGE: &str = "usage: spread [--members N] [--loss PERCENT] [--seed N] [SCENARIO...]
scenarios: quiet changes generation leaving crash partition zone restart join (all when none is named)";

const SECOND: Duration = Duration::from_secs(1);

/// Name of a scenario and the function that runs it and prints the results.
type Scenario = (&'static str, fn(&Args));

struct Args {
    members: usize,
    loss: f64,
    seed: u64,
    scenarios: Vec<String>,
}

fn main() {
    let Some(args) = parse_args() else {
        eprintln!("{USAGE}");
        std::process::exit(2);
    };
    println!(
        "members {}, loss {:.0}%, seed {}; bytes are sent plus received, IP and UDP headers included",
        args.members,
        args.loss * 100.0,
        args.seed
    );
    let scenarios: [Scenario; 9] = [
        ("restart", restart),
        ("quiet", quiet),
        ("changes", changes),
        ("generation", generation),
        ("leaving", leaving),
        ("crash", crash),
        ("zone", lost_zone),
        ("partition", partition),
        ("join", join),
    ];
    for (name, run) in scenarios {
        if args.scenarios.is_empty() || args.scenarios.iter().any(|wanted| wanted == name) {
            let started_at = Instant::now();
            run(&args);
            println!(
                "    ({name} ran for {:.1} s)",
                started_at.elapsed().as_secs_f64()
            );
        }
    }
}

fn parse_args() -> Option<Args> {
    let mut args = Args {
        members: 1_260,
        loss: 0.2,
        seed: 1,
        scenarios: Vec::new(),
    };
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        match word.as_str() {
            "--members" => args.members = words.next()?.parse().ok()?,
            "--loss" => args.loss = words.next()?.parse::<f64>().ok()? / 100.0,
            "--seed" => args.seed = words.next()?.parse().ok()?,
            _ if word.starts_with('-') => return None,
            _ => args.scenarios.push(word),
        }
    }
    Some(args)
}

fn settled_fleet(args: &Args) -> Fleet {
    let mut fleet = Fleet::start_settled(args.members, args.seed, &Params::default());
    fleet.loss = args.loss;
    fleet.reset_traffic();
    fleet
}

fn format_seconds(time: Option<Duration>) -> String {
    time.map_or_else(
        || "not reached".into(),
        |time| format!("{:.1} s", time.as_secs_f64()),
    )
}

fn report_traffic(fleet: &Fleet, name: &str, time: Duration) {
    println!(
        "{name}: {:.0} B/s and {:.1} messages/s per member, busiest member {:.0} B/s, its busiest minute {:.0} B/s",
        fleet.mean_bytes_per_second(time),
        fleet.mean_messages_per_second(time),
        fleet.max_bytes_per_second(time),
        fleet.peak_window_bytes_per_second(),
    );
}

fn restart(args: &Args) {
    let mut fleet = Fleet::start(args.members, args.seed, &Params::default());
    fleet.loss = args.loss;
    let size = args.members;
    let mean_known = |fleet: &Fleet| {
        fleet
            .nodes
            .iter()
            .map(|node| node.membership.live_count())
            .sum::<usize>()
            / size
    };
    let half = fleet.run_until(Duration::from_mins(4), |fleet| {
        mean_known(fleet) >= size / 2
    });
    let time = fleet.run_until_every(SECOND, Duration::from_mins(4), |fleet| {
        fleet.wrong_pairs() == 0
    });
    println!(
        "restart of everything: half known after {}, all known {} later",
        format_seconds(half),
        format_seconds(time)
    );
    report_traffic(&fleet, "restart of everything", fleet.now);
    fleet.reset_traffic();
    fleet.run_for(Duration::from_mins(1));
    report_traffic(&fleet, "the minute after", Duration::from_mins(1));
}

fn quiet(args: &Args) {
    let mut fleet = settled_fleet(args);
    let time = Duration::from_mins(2);
    let started_at = Instant::now();
    let declared_before = fleet.total(|member| member.counters().declared_dead);
    let suspicions_before = fleet.total(|member| member.counters().suspicions);
    fleet.run_for(time);
    let cpu =
        started_at.elapsed().as_secs_f64() / fleet::ratio(args.members, 1) / time.as_secs_f64();
    report_traffic(&fleet, "quiet", time);
    println!(
        "quiet: {} suspicions, {} declared dead falsely, {} wrong pairs in 2 min; {:.3}% of a core per member in this driver",
        fleet.total(|member| member.counters().suspicions) - suspicions_before,
        fleet.total(|member| member.counters().declared_dead) - declared_before,
        fleet.wrong_pairs(),
        cpu * 100.0
    );
}

/// Measures the traffic with a configuration change every 25 s, which corresponds to 3,456 changes a day.
fn changes(args: &Args) {
    let mut fleet = settled_fleet(args);
    for generation in 1..=4 {
        fleet.set_generation(0, generation);
        fleet.run_for(Duration::from_secs(25));
    }
    report_traffic(&fleet, "a change every 25 s", Duration::from_secs(100));
}

fn generation(args: &Args) {
    let mut fleet = settled_fleet(args);
    let mut longest = Some(Duration::ZERO);
    for generation in 1..=5 {
        fleet.set_generation(args.members / 2, generation);
        let reached = |fleet: &Fleet, share: usize| {
            fleet
                .nodes
                .iter()
                .filter(|node| node.generation >= generation)
                .count()
                * 100
                >= share * args.members
        };
        let half = fleet.run_until(Duration::from_mins(2), |fleet| reached(fleet, 50));
        let rest = fleet.run_until(Duration::from_mins(2), |fleet| reached(fleet, 100));
        let all = half.zip(rest).map(|(half, rest)| half + rest);
        println!(
            "generation from one member: half after {}, all after {}",
            format_seconds(half),
            format_seconds(all)
        );
        longest = longest.zip(all).map(|(longest, all)| longest.max(all));
        fleet.run_for(Duration::from_secs(20));
    }
    println!(
        "generation: longest {} ({} rounds of 200 ms)",
        format_seconds(longest),
        longest.map_or(0, |time| time.as_millis() / 200)
    );
}

fn leaving(args: &Args) {
    let mut fleet = settled_fleet(args);
    let mut times = Vec::new();
    for run in 0..20 {
        let subject = run * 7 + 1;
        fleet.leave(subject);
        let is_leaving = |state: Option<MemberState>| state >= Some(MemberState::Leaving);
        times.push(fleet.run_until(Duration::from_mins(1), |fleet| {
            fleet.all_see(subject, is_leaving)
        }));
        fleet.run_for(Duration::from_secs(10));
    }
    times.sort();
    println!(
        "leaving: known by all after {} (median), {} (longest of 20)",
        format_seconds(times[10]),
        format_seconds(times[19])
    );
}

fn crash(args: &Args) {
    let mut fleet = settled_fleet(args);
    let (mut suspected, mut dead) = (Vec::new(), Vec::new());
    for run in 0..8 {
        let subject = run * 11 + 1;
        fleet.crash(subject);
        let is_suspected = |state: Option<MemberState>| state >= Some(MemberState::Suspect);
        let first = fleet.run_until(Duration::from_mins(2), |fleet| {
            fleet.all_see(subject, is_suspected)
        });
        let is_dead = |state: Option<MemberState>| state == Some(MemberState::Dead);
        let rest = fleet.run_until(Duration::from_mins(3), |fleet| {
            fleet.all_see(subject, is_dead)
        });
        suspected.push(first);
        dead.push(first.zip(rest).map(|(first, rest)| first + rest));
        fleet.run_for(Duration::from_secs(5));
    }
    suspected.sort();
    dead.sort();
    println!(
        "crash: suspected by all after {} (median), {} (longest of 8); dead for all after {}, {}",
        format_seconds(suspected[4]),
        format_seconds(suspected[7]),
        format_seconds(dead[4]),
        format_seconds(dead[7])
    );
}

fn lost_zone(args: &Args) {
    let mut fleet = settled_fleet(args);
    let lost: Vec<usize> = (0..args.members)
        .filter(|index| zone(*index) == 2)
        .collect();
    for index in &lost {
        fleet.crash(*index);
    }
    let started_at = fleet.now;
    let is_known = |fleet: &Fleet, at_least: MemberState, share: usize| {
        let known = |subject: usize| {
            fleet
                .running()
                .filter(|observer| fleet.state(*observer, subject) >= Some(at_least))
                .count()
        };
        let all: usize = lost.iter().map(|subject| known(*subject)).sum();
        all * 1_000 >= share * lost.len() * fleet.running().count()
    };
    let limit = Duration::from_mins(4);
    let suspected = fleet.run_until_every(SECOND, limit, |fleet| {
        is_known(fleet, MemberState::Suspect, 990)
    });
    let dead = fleet.run_until_every(SECOND, limit, |fleet| {
        is_known(fleet, MemberState::Dead, 990)
    });
    let all_dead = fleet.run_until_every(SECOND, limit, |fleet| {
        is_known(fleet, MemberState::Dead, 1_000)
    });
    println!(
        "lost zone of {}: 99% of pairs suspected after {}, 99% dead {} later, all dead {} later, {} wrong pairs",
        lost.len(),
        format_seconds(suspected),
        format_seconds(dead),
        format_seconds(all_dead),
        fleet.wrong_pairs()
    );
    let elapsed = fleet.now.saturating_sub(started_at);
    report_traffic(&fleet, "lost zone", elapsed);
}

fn partition(args: &Args) {
    let mut fleet = settled_fleet(args);
    fleet.is_partitioned = true;
    fleet.run_for(Duration::from_mins(3));
    println!(
        "partition: {} of {} pairs wrong after 3 min",
        fleet.wrong_pairs(),
        args.members * args.members
    );
    report_traffic(&fleet, "partition", Duration::from_mins(3));
    fleet.reset_traffic();
    fleet.is_partitioned = false;
    let started_at = fleet.now;
    let pairs = args.members * args.members;
    let mostly_healed = fleet.run_until(Duration::from_mins(4), |fleet| {
        fleet.wrong_pairs() * 100 < pairs
    });
    let healed = fleet.run_until_every(SECOND, Duration::from_mins(4), |fleet| {
        fleet.wrong_pairs() == 0
    });
    println!(
        "partition healed: 99% of pairs right after {}, all {} later",
        format_seconds(mostly_healed),
        format_seconds(healed)
    );
    let elapsed = fleet.now.saturating_sub(started_at);
    report_traffic(&fleet, "partition healed", elapsed);
    fleet.reset_traffic();
    fleet.run_for(Duration::from_mins(1));
    report_traffic(&fleet, "the minute after", Duration::from_mins(1));
}

fn join(args: &Args) {
    let mut fleet = settled_fleet(args);
    fleet.crash(5);
    fleet.run_for(Duration::from_secs(2));
    fleet.restart(5);
    let size = args.members;
    let complete = fleet.run_until(Duration::from_mins(5), |fleet| {
        fleet.nodes[5].membership.live_count() == size - 1
    });
    let has_new_incarnation = |fleet: &Fleet| {
        (0..size).filter(|observer| *observer != 5).all(|observer| {
            fleet
                .member(observer, 5)
                .is_some_and(|member| member.status.incarnation == 2)
        })
    };
    let known = fleet.run_until(Duration::from_mins(5), has_new_incarnation);
    println!(
        "restarted member: knows all after {}, all know it {} later",
        format_seconds(complete),
        format_seconds(known)
    );
}
