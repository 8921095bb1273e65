//! Measures the cost of an entry and of a sidecar on this machine and extrapolates it to the target fleet size.
//!
//! Usage: `cargo run --release --example capacity`. `docs/CAPACITY.md` explains the table.

#[path = "../../crates/gossip/tests/fleet/mod.rs"]
mod fleet;

mod decisions;
mod links;
mod slopes;
mod transfer;

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{Fleet, ratio};
use tanagerford_core::config::Configuration;
use tanagerford_core::membership::{
    Body, Header, MemberState, MemberStatus, Membership, Message, Params, Profile, Role, Update,
    member_key,
};
use tanagerford_core::subset::{Participant, SubsetSize, assign, watchers};
use tanagerford_gossip::{Codec, Gossip, Settings};

// Size and load of the target fleet.
const ENTRIES: usize = 400;
const SIDECARS: usize = 860;
const MEMBERS: usize = ENTRIES + SIDECARS;
const ZONES: usize = 8;
const POOLS: usize = 13;
const WORKSPACES: usize = 1_100;
const TIERS: u8 = 4;
const REQUESTS_PER_SECOND: f64 = 4_100.0;
const TOKENS_PER_SECOND: f64 = 1_000_000.0;
const CONFIG_CHANGES_PER_DAY: f64 = 3_400.0;
const WATCHERS_PER_ZONE: usize = 3;

/// Fleet sizes that show how the gossip traffic grows; the last one is the target fleet size.
const FLEET_SIZES: [usize; 3] = [315, 630, MEMBERS];

/// Number of gossip runtimes that are started on loopback to measure processor time.
const RUNTIMES: usize = 20;

// Upper limits of the cost per process.
const BYTES_PER_SECOND_TARGET: f64 = 6_000.0;
const CORE_TARGET_PERCENT: f64 = 1.8;
const MEMORY_TARGET_MB: f64 = 64.0;

/// Cost of membership per process at one fleet size.
struct GossipCost {
    members: usize,
    bytes_per_second: f64,
    messages_per_second: f64,
    /// Processing time per message, including its share of the periodic ticks.
    message_us: f64,
    /// Time until all members know a new configuration generation, or `None` if it takes more than 60 s.
    propagation_time: Option<Duration>,
}

fn main() {
    // Runs first: later allocations reuse memory that the simulated fleets free, which would hide the growth.
    let member_bytes = memory_per_member();
    let measurements = slopes::measure();
    measurements.print();
    let runtime_percent = runtime_cost();
    println!(
        "{RUNTIMES} runtimes on loopback: {runtime_percent:.3}% of a core each, threads, sockets and timers included"
    );
    let costs = FLEET_SIZES.map(gossip_cost);
    println!("membership on a virtual clock, no loss, a change every 25 s, sent plus received:");
    for cost in &costs {
        println!(
            "  {:5} members: {:.0} B/s, {:.2} messages/s, {:.2} us per message and its share of ticks, generation \
             everywhere after {}",
            cost.members,
            cost.bytes_per_second,
            cost.messages_per_second,
            cost.message_us,
            cost.propagation_time
                .map_or("more than 60 s".into(), |time| format!(
                    "{:.1} s",
                    time.as_secs_f64()
                )),
        );
    }
    let target_cost = &costs[FLEET_SIZES.len() - 1];
    let (bytes, messages, message_us) = (
        target_cost.bytes_per_second,
        target_cost.messages_per_second,
        target_cost.message_us,
    );
    let (encode_us, decode_us) = codec_cost();
    println!(
        "datagram with 8 claims: encode and authenticate {encode_us:.2} us, verify and decode {decode_us:.2} us"
    );
    println!("membership table: {member_bytes:.0} B of resident memory per member");
    let (subset_ms, links_per_entry, links_per_server) = subset_cost();
    println!(
        "subsets of {POOLS} pools for all {ENTRIES} entries: {subset_ms:.1} ms; links: {links_per_entry:.0} per entry, \
         {links_per_server:.0} per sidecar"
    );
    let (config_bytes, config_ms) = configuration_cost();
    println!(
        "configuration of {WORKSPACES} workspaces: {config_bytes} B of JSON, decoded in {config_ms:.2} ms"
    );
    let core_percent =
        runtime_percent + messages * (message_us + encode_us.max(decode_us)) / 1e6 * 100.0;
    println!(
        "\nat {ENTRIES} entries and {SIDECARS} sidecars (m: measured, e: extrapolated, a: arithmetic):"
    );
    println!(
        "  {:46} {:>10} {:>10} {:>7}",
        "", "entry", "sidecar", "target"
    );
    let print_both = |name, value, target| print_row(name, value, value, target);
    print_both(
        "gossip bytes/s, sent plus received (m)",
        bytes,
        BYTES_PER_SECOND_TARGET,
    );
    print_both("gossip messages/s (m)", messages, f64::NAN);
    print_both(
        "processor of membership, % of a core (e)",
        core_percent,
        CORE_TARGET_PERCENT,
    );
    print_both(
        "processor of configuration, % of a core (e)",
        CONFIG_CHANGES_PER_DAY / 86_400.0 * config_ms / 10.0,
        CORE_TARGET_PERCENT,
    );
    print_both(
        "membership table, MB (e)",
        member_bytes * ratio(MEMBERS, 1) / 1e6,
        MEMORY_TARGET_MB,
    );
    print_both(
        "configuration as JSON, MB (m)",
        ratio(config_bytes, 1) / 1e6,
        MEMORY_TARGET_MB,
    );
    print_row("links (m)", links_per_entry, links_per_server, f64::NAN);
    print_row(
        "subset computation per change, ms (m)",
        subset_ms,
        0.0,
        f64::NAN,
    );
    print_per_process("requests/s (a)", REQUESTS_PER_SECOND);
    print_per_process("tokens/s (a)", TOKENS_PER_SECOND);
    println!("configuration watchers in all: {}", watcher_count());
    measurements.print_roles(links_per_entry, links_per_server);
}

fn print_per_process(name: &str, total: f64) {
    print_row(
        name,
        total / ratio(ENTRIES, 1),
        total / ratio(SIDECARS, 1),
        f64::NAN,
    );
}

fn print_row(name: &str, entry: f64, sidecar: f64, target: f64) {
    let target = if target.is_nan() {
        "-".into()
    } else {
        format!("{target}")
    };
    println!("  {name:46} {entry:10.2} {sidecar:10.2} {target:>7}");
}

fn gossip_cost(members: usize) -> GossipCost {
    let mut fleet = Fleet::start_settled(members, 1, &Params::default());
    fleet.reset_traffic();
    let time = Duration::from_secs(100);
    let started_at = Instant::now();
    for generation in 1..=4 {
        fleet.set_generation(0, generation);
        fleet.run_for(Duration::from_secs(25));
    }
    let messages_per_second = fleet.mean_messages_per_second(time);
    let messages = messages_per_second * time.as_secs_f64() * ratio(members, 1);
    let message_us = started_at.elapsed().as_secs_f64() * 1e6 / messages;
    let bytes_per_second = fleet.mean_bytes_per_second(time);
    fleet.set_generation(0, 5);
    let has_propagated = |fleet: &Fleet| fleet.nodes.iter().all(|node| node.generation == 5);
    let propagation_time = fleet.run_until(Duration::from_mins(1), has_propagated);
    GossipCost {
        members,
        bytes_per_second,
        messages_per_second,
        message_us,
        propagation_time,
    }
}

fn profile(index: usize) -> Profile {
    let address = fleet::address(index);
    Profile {
        process_id: format!("sidecar-{index:05}"),
        role: Role::Sidecar,
        pool: format!("model-{:02}", index % POOLS),
        availability_zone: format!("zone-{}", index % ZONES),
        region: format!("region-{}", index % ZONES / 4),
        link_address: address,
        gossip_address: address,
    }
}

fn update(index: usize, with_profile: bool) -> Update {
    let profile = profile(index);
    Update {
        key: member_key(&profile.process_id),
        status: MemberStatus {
            incarnation: 1_800_000_000_000,
            refutation: 0,
            state: MemberState::Alive,
        },
        reporter: 0,
        profile: with_profile.then(|| Arc::new(profile)),
    }
}

fn message(body: Body, updates: Vec<Update>) -> Message {
    let header = Header {
        sender: 7,
        incarnation: 1_800_000_000_000,
        refutation: 0,
        is_leaving: false,
        generation: 90_000,
    };
    Message {
        header,
        body,
        updates,
        items: Vec::new(),
    }
}

/// Returns the times to encode and to decode a datagram, in microseconds.
fn codec_cost() -> (f64, f64) {
    const RUNS: u32 = 50_000;
    let codec = Codec::new(b"fleet key");
    let message = message(
        Body::Gossip,
        (0..8).map(|index| update(index, false)).collect(),
    );
    let datagram = codec.encode(&message);
    let encode = time_us(RUNS, || drop(black_box(codec.encode(black_box(&message)))));
    let decode = time_us(RUNS, || drop(black_box(codec.decode(black_box(&datagram)))));
    (encode, decode)
}

fn time_us(runs: u32, mut run: impl FnMut()) -> f64 {
    let started_at = Instant::now();
    for _ in 0..runs {
        run();
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(runs)
}

/// Returns the resident bytes per member of membership tables that are filled from decoded datagrams.
fn memory_per_member() -> f64 {
    const TABLES: usize = 20;
    let codec = Codec::new(b"fleet key");
    let datagrams: Vec<Vec<u8>> = (0..MEMBERS)
        .collect::<Vec<_>>()
        .chunks(10)
        .map(|chunk| {
            codec.encode(&message(
                Body::Entries,
                chunk.iter().map(|index| update(*index, true)).collect(),
            ))
        })
        .collect();
    let before = resident_bytes();
    let tables: Vec<Membership> = (0..TABLES)
        .map(|table| {
            let own = profile(MEMBERS + table);
            let mut membership = Membership::new(Duration::ZERO, own, 1, Params::default(), 1);
            for datagram in &datagrams {
                if let Ok(message) = codec.decode(datagram) {
                    drop(membership.on_message(Duration::ZERO, fleet::address(0), message));
                }
            }
            membership
        })
        .collect();
    let member_count: usize = tables.iter().map(Membership::live_count).sum();
    ratio(resident_bytes().saturating_sub(before), member_count)
}

/// Returns the processor time of one gossip runtime in percent of a core: the processor time of this process divided by
/// the number of runtimes.
fn runtime_cost() -> f64 {
    const MEASURE_TIME: Duration = Duration::from_secs(10);
    let mut runtimes: Vec<Gossip> = Vec::new();
    for index in 0..RUNTIMES {
        let mut profile = profile(index);
        profile.gossip_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let seeds = runtimes.iter().take(3).map(Gossip::local_address).collect();
        let settings = Settings {
            profile,
            incarnation: 1,
            fleet_key: b"fleet key".to_vec(),
            seeds,
            params: Params::default(),
        };
        match Gossip::start(settings) {
            Ok(runtime) => runtimes.push(runtime),
            Err(error) => eprintln!("gossip runtime failed to start: {error:?}"),
        }
    }
    std::thread::sleep(Duration::from_secs(3));
    let (before, started_at) = (processor_seconds(), Instant::now());
    std::thread::sleep(MEASURE_TIME);
    let used = processor_seconds() - before;
    used / started_at.elapsed().as_secs_f64() / ratio(runtimes.len(), 1) * 100.0
}

/// Returns the user and system time of this process in seconds. Linux counts both in ticks of 10 ms.
fn processor_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let ticks: usize = fields
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<usize>().ok())
        .sum();
    ratio(ticks, 100)
}

/// Returns the number in the line of `/proc/self/status` that starts with `name`, or 0 if it cannot be read.
fn status_value(name: &str) -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let mut lines = status.lines();
    let value = lines.find_map(|line| line.strip_prefix(name));
    let number = value.and_then(|value| value.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * 4_096
}

/// Returns the process IDs and availability zones of `count` processes.
fn ids_and_zones(kind: &str, count: usize) -> Vec<(String, String)> {
    (0..count)
        .map(|index| {
            (
                format!("{kind}-{index:05}"),
                format!("zone-{}", index % ZONES),
            )
        })
        .collect()
}

fn participants(ids_and_zones: &[(String, String)]) -> Vec<Participant<'_>> {
    ids_and_zones
        .iter()
        .map(|(process_id, availability_zone)| Participant {
            process_id,
            availability_zone,
        })
        .collect()
}

/// Returns the time to compute the subsets of all pools in milliseconds, and the mean number of links per entry and per
/// sidecar.
fn subset_cost() -> (f64, f64, f64) {
    let entry_ids = ids_and_zones("entry", ENTRIES);
    let sidecar_ids = ids_and_zones("sidecar", SIDECARS);
    let (entries, servers) = (participants(&entry_ids), participants(&sidecar_ids));
    let mut pools: BTreeMap<usize, Vec<Participant>> = BTreeMap::new();
    for (index, server) in servers.iter().enumerate() {
        // Dividing by the number of zones first keeps the pool independent of the zone.
        pools
            .entry(index / ZONES % POOLS)
            .or_default()
            .push(*server);
    }
    let started_at = Instant::now();
    let mut links = 0;
    for pool in pools.values() {
        let subsets = assign(&entries, pool, SubsetSize::default());
        links += subsets
            .values()
            .map(std::collections::BTreeSet::len)
            .sum::<usize>();
    }
    let elapsed_ms = started_at.elapsed().as_secs_f64() * 1e3;
    (elapsed_ms, ratio(links, ENTRIES), ratio(links, SIDECARS))
}

fn watcher_count() -> usize {
    let members = ids_and_zones("process", MEMBERS);
    watchers(&participants(&members), WATCHERS_PER_ZONE).len()
}

/// Returns the JSON text of a configuration of the target size.
fn configuration_text() -> String {
    let workspace = |index: usize| {
        serde_json::json!({
            "name": format!("workspace-{index:04}"),
            "key_sha256": [format!("{index:064x}")],
            "tier": format!("tier-{}", index % 4),
        })
    };
    let value = serde_json::json!({
        "generation": 1,
        "tiers": (0..4).map(|tier| serde_json::json!({
            "name": format!("tier-{tier}"), "weight": 1, "reserved_permille": 50
        })).collect::<Vec<_>>(),
        "classes": [serde_json::json!({
            "name": "chat", "target": {"tokens": {"first_token_ms": 500, "token_gap_ms": 38}},
            "priority": 0, "longest_wait_ms": 10_000, "max_in_flight": 256
        })],
        "workspaces": (0..WORKSPACES).map(workspace).collect::<Vec<_>>(),
        "models": (0..POOLS).map(|model| serde_json::json!({
            "name": format!("model-{model:02}"), "pool": format!("model-{model:02}"), "class": "chat"
        })).collect::<Vec<_>>(),
        "services": [],
    });
    value.to_string()
}

/// Returns the size of the configuration in bytes and the time to decode it in milliseconds.
fn configuration_cost() -> (usize, f64) {
    let text = configuration_text();
    let decoded: Result<Configuration, _> = serde_json::from_str(&text);
    assert!(decoded.is_ok(), "the generated configuration is invalid");
    let elapsed_us = time_us(100, || {
        let decoded: Result<Configuration, _> = serde_json::from_str(black_box(&text));
        drop(black_box(decoded));
    });
    (text.len(), elapsed_us / 1e3)
}
