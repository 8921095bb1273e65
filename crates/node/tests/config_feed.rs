//! Tests of publishing and following the configuration under the faults of the key-value service.

use std::cell::Cell;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tanagerford_core::config::Configuration;
use tanagerford_core::config::decode::decode;
use tanagerford_core::config::section::{SectionName, SectionUpdate, digest};
use tanagerford_core::generation::{Comparison, Decision};
use tanagerford_kv::etcd::Etcd;
use tanagerford_kv::kv::{Call, Commit, Kv, Transaction, Write};
use tanagerford_kv::memory::{Faults, Memory};
use tanagerford_link::message::{ConfigSection, ConfigSections};
use tanagerford_node::config_feed::publish::{Pace, Publication, PublishError, publish};
use tanagerford_node::config_feed::store::{HEAD_KEY, Stored, decode_head, decode_section, read};
use tanagerford_node::config_feed::{ConfigFeed, FeedError, FeedSettings, message};
use tanagerford_standin::kv::KvStandin;

const TIMEOUT: Duration = Duration::from_secs(10);
const PACE: Pace = Pace {
    timeout: TIMEOUT,
    pause: Duration::from_millis(1),
};
const SETTINGS: FeedSettings = FeedSettings {
    call_timeout: TIMEOUT,
    watch_interval: Duration::from_millis(30),
};

fn example() -> Configuration {
    let text = include_bytes!("../../../docs/examples/zarqa.json");
    decode(text).expect("the example is correct")
}

/// Returns the example with one workspace in another tier.
fn changed(tier: &str) -> Configuration {
    let mut configuration = example();
    configuration.workspaces[0].tier = tier.into();
    configuration
}

fn stored(memory: &Memory) -> Stored {
    read(&memory.client(), TIMEOUT).expect("the store answers")
}

fn publish_from(
    kv: &Memory,
    base: &Stored,
    configuration: &Configuration,
    write_id: u64,
) -> Result<u64, PublishError> {
    let publication = Publication {
        base,
        configuration,
        write_id,
        floor: 0,
    };
    publish(kv, &publication, PACE).map_err(|report| *report.current_context())
}

/// Publishes over a connection of its own, as an operator does.
fn publish_next(memory: &Memory, tier: &str, write_id: u64) -> u64 {
    let base = stored(memory);
    let published = publish_from(&memory.client(), &base, &changed(tier), write_id);
    published.expect("the configuration is published")
}

fn feed(memory: &Memory) -> ConfigFeed {
    ConfigFeed::new(Arc::new(memory.clone()), SETTINGS)
}

fn tier_in_force(feed: &ConfigFeed) -> u8 {
    let current = feed.current();
    current
        .customer("harbour-daily")
        .expect("the workspace exists")
        .tier
}

/// Waits for a state that another thread brings about; the limit only ends a run that would never end.
fn wait_until(condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < Duration::from_mins(1),
            "the state is never reached"
        );
        thread::sleep(Duration::from_millis(2));
    }
}

/// Guards against two sheets loaded at the same time that both claim to be in force.
#[test]
fn one_of_two_racing_operators_wins_and_the_other_learns_who() {
    let memory = Memory::new();
    publish_next(&memory, "prompt", 1);
    let base = stored(&memory);
    let race = |tier: &'static str, write_id| {
        let (client, base) = (memory.client(), base.clone());
        thread::spawn(move || publish_from(&client, &base, &changed(tier), write_id))
    };
    let results = [race("late", 2), race("overdue", 3)].map(|t| t.join().expect("no panic"));
    let won = results.iter().filter(|result| **result == Ok(2)).count();
    let lost = PublishError::Lost { winner: 2 };
    let told = results
        .iter()
        .filter(|result| **result == Err(lost))
        .count();
    assert_eq!((won, told), (1, 1));
}

/// Guards against a write that took effect and is reported as failed because its answer was lost.
#[test]
fn lost_answers_are_resolved_by_reading_back() {
    let lost = Faults {
        responses_to_lose: 2,
        ..Faults::default()
    };
    let memory = Memory::new();
    let client = memory.client();
    client.set_faults(lost);
    assert_eq!(
        publish_from(&client, &stored(&memory), &changed("late"), 1),
        Ok(1)
    );
    assert_eq!(stored(&memory).head.head.history.len(), 1);
}

/// Guards against a result that is claimed although the service lost each answer or was slower than each timeout.
#[test]
fn service_that_never_answers_leaves_the_result_unknown() {
    let losing = Faults {
        responses_to_lose: u32::MAX,
        ..Faults::default()
    };
    let slow = Faults {
        delay: TIMEOUT,
        ..Faults::default()
    };
    for faults in [losing, slow] {
        let memory = Memory::new();
        let client = memory.client();
        client.set_faults(faults);
        let publication = Publication {
            base: &Stored::default(),
            configuration: &changed("late"),
            write_id: 1,
            floor: 0,
        };
        let pace = Pace {
            timeout: Duration::from_millis(1),
            ..PACE
        };
        let report = publish(&client, &publication, pace).expect_err("no answer came");
        assert_eq!(*report.current_context(), PublishError::Unknown);
        assert_eq!(stored(&memory).head.head.generation, 1);
    }
}

/// Guards against a refused or unreachable write that is reported as unknown, and against one without effect that is
/// reported as done.
#[test]
fn service_that_refuses_leaves_nothing_changed() {
    let down = Faults {
        is_down: true,
        ..Faults::default()
    };
    let limited = Faults {
        calls_until_rate_limit: Some(0),
        ..Faults::default()
    };
    for faults in [down, limited] {
        let memory = Memory::new();
        let client = memory.client();
        client.set_faults(faults);
        let result = publish_from(&client, &Stored::default(), &changed("late"), 1);
        assert_eq!(result, Err(PublishError::NotRun));
        assert_eq!(memory.revision(), 0);
    }
}

/// Guards against a faulty or oversized configuration that reaches the processes.
#[test]
fn faulty_and_oversized_configurations_are_not_published() {
    let memory = Memory::new();
    let faulty = changed("no such tier");
    let result = publish_from(&memory, &Stored::default(), &faulty, 1);
    assert_eq!(result, Err(PublishError::Faulty));
    let mut oversized = example();
    let route = oversized.services[0].routes[0].clone();
    oversized.services[0].routes = (0..10_000)
        .map(|number| {
            let mut route = route.clone();
            route.path_prefix = format!("/{number:0100}");
            route
        })
        .collect();
    let result = publish_from(&memory, &Stored::default(), &oversized, 1);
    assert_eq!(result, Err(PublishError::TooLarge));
    assert_eq!(memory.revision(), 0);
}

/// Guards against a watcher that reads the whole configuration for each change, which the billed service makes costly.
#[test]
fn watcher_applies_changes_from_events_alone() {
    let memory = Memory::new();
    publish_next(&memory, "prompt", 1);
    let watching = memory.client();
    let settings = FeedSettings {
        watch_interval: Duration::from_mins(2),
        ..SETTINGS
    };
    let feed = ConfigFeed::new(Arc::new(watching.clone()), settings);
    feed.set_watching(true).expect("a thread starts");
    wait_until(|| feed.generation() == 1);
    for (generation, tier) in [(2, "late"), (3, "overdue"), (4, "prompt")] {
        publish_next(&memory, tier, generation);
        wait_until(|| feed.generation() == generation);
    }
    assert_eq!(tier_in_force(&feed), 1);
    assert_eq!(watching.calls().list, 1);
    assert!(feed.is_ready());
}

/// Guards against a binding over which publishing and watching behave differently than over the in-memory store.
#[test]
fn feed_follows_over_the_gateway() {
    let memory = Memory::new();
    let standin = KvStandin::start(memory.clone()).expect("a port is free");
    publish_next(&memory, "prompt", 1);
    let settings = FeedSettings {
        watch_interval: Duration::from_mins(2),
        ..SETTINGS
    };
    let feed = ConfigFeed::new(Arc::new(Etcd::new(vec![standin.url()])), settings);
    feed.set_watching(true).expect("a thread starts");
    wait_until(|| feed.generation() == 1);
    let operator = Etcd::new(vec![standin.url()]);
    let publication = Publication {
        base: &read(&operator, TIMEOUT).expect("the gateway answers"),
        configuration: &changed("late"),
        write_id: 2,
        floor: 0,
    };
    assert_eq!(
        publish(&operator, &publication, PACE).expect("published"),
        2
    );
    wait_until(|| feed.generation() == 2);
    assert_eq!(tier_in_force(&feed), 2);
    assert_eq!(feed.status().missed_by_watch, 0);
    feed.set_watching(false).expect("no thread is needed");
    assert!(!feed.status().is_watching);
}

/// Guards against a watch that went dead without an error and keeps a process on an old configuration.
#[test]
fn dead_watch_is_detected() {
    let memory = Memory::new();
    publish_next(&memory, "prompt", 1);
    let watching = memory.client();
    watching.set_faults(Faults {
        has_silent_watches: true,
        ..Faults::default()
    });
    let feed = feed(&watching);
    feed.set_watching(true).expect("a thread starts");
    wait_until(|| feed.generation() == 1);
    publish_next(&memory, "late", 2);
    wait_until(|| feed.generation() == 2);
    assert_eq!(tier_in_force(&feed), 2);
    assert!(feed.status().missed_by_watch >= 1);
}

/// Guards against a watcher that never recovers from an outage, or from a start that was compacted during it.
#[test]
fn watcher_recovers_from_an_outage_and_a_compaction() {
    let memory = Memory::new();
    publish_next(&memory, "prompt", 1);
    let watching = memory.client();
    let feed = feed(&watching);
    feed.set_watching(true).expect("a thread starts");
    wait_until(|| feed.generation() == 1);
    watching.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    publish_next(&memory, "late", 2);
    memory.compact();
    watching.set_faults(Faults::default());
    wait_until(|| feed.generation() == 2);
    publish_next(&memory, "overdue", 3);
    wait_until(|| feed.generation() == 3);
}

/// Guards against a watch that is opened from a compacted revision again and again, so that only the head's reads find
/// changes. The reads are too rare here to help.
#[test]
fn watch_from_a_compacted_revision_is_opened_from_the_next_write() {
    let memory = Memory::new();
    publish_next(&memory, "prompt", 1);
    let watching = memory.client();
    let settings = FeedSettings {
        watch_interval: Duration::from_mins(10),
        ..SETTINGS
    };
    let feed = ConfigFeed::new(Arc::new(watching.clone()), settings);
    feed.set_watching(true).expect("a thread starts");
    wait_until(|| watching.calls().watch > 0);
    watching.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    publish_next(&memory, "late", 2);
    memory.compact();
    watching.set_faults(Faults::default());
    let write_id = Cell::new(3);
    wait_until(|| {
        publish_next(&memory, "overdue", write_id.get());
        write_id.set(write_id.get() + 1);
        feed.generation() > 2
    });
}

/// Guards against an outage that takes away the configuration in force.
#[test]
fn outage_keeps_the_configuration_in_force() {
    let memory = Memory::new();
    publish_next(&memory, "late", 1);
    let feed = feed(&memory);
    assert_eq!(feed.load().expect("the store answers"), 1);
    memory.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    assert!(feed.load().is_err());
    assert_eq!((feed.generation(), tier_in_force(&feed)), (1, 2));
}

/// Guards against a restart without the service that becomes ready with the old configuration of one peer.
#[test]
fn restart_without_the_service_takes_the_newest_of_several_peers() {
    let memory = Memory::new();
    publish_next(&memory, "prompt", 1);
    let behind = feed(&memory);
    behind.load().expect("the store answers");
    publish_next(&memory, "late", 2);
    let newest = feed(&memory);
    newest.load().expect("the store answers");
    let cut_off = memory.client();
    cut_off.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let restarted = feed(&cut_off);
    assert!(restarted.load().is_err());
    for (name, peer) in [("a", &behind), ("b", &newest), ("c", &behind)] {
        assert!(!restarted.is_ready());
        let update = peer
            .sections_since(restarted.generation())
            .expect("the peer has one");
        restarted.accept(&update).expect("the sections are whole");
        restarted.on_peer(name, peer.generation(), 12);
    }
    assert!(restarted.is_ready());
    assert_eq!((restarted.generation(), tier_in_force(&restarted)), (2, 2));
}

/// Guards against a generation that falls: by a late peer, or by a service restored from a backup.
#[test]
fn older_configurations_are_dropped() {
    let memory = Memory::new();
    publish_next(&memory, "prompt", 1);
    let feed = feed(&memory);
    feed.load().expect("the store answers");
    let old = feed.sections_since(0).expect("a configuration is in force");
    publish_next(&memory, "late", 2);
    feed.load().expect("the store answers");
    assert_eq!(feed.accept(&old).expect("it is whole"), Decision::Drop);
    assert_eq!(feed.on_message(1), Comparison::SenderIsOlder);

    let restored = Memory::new();
    publish_next(&restored, "overdue", 3);
    let cut_over = ConfigFeed::new(Arc::new(restored.clone()), SETTINGS);
    let newest = feed.sections_since(0).expect("a configuration is in force");
    cut_over.accept(&newest).expect("it is whole");
    assert_eq!(cut_over.load().expect("the store answers"), 2);
    assert_eq!(tier_in_force(&cut_over), 2);
}

/// Guards against a mix of two histories: after the service lost generations, the next one must replace all sections.
#[test]
fn generation_above_a_lost_one_replaces_all_sections() {
    let restored = Memory::new();
    publish_next(&restored, "prompt", 1);
    let publication = Publication {
        base: &stored(&restored),
        configuration: &changed("late"),
        write_id: 2,
        floor: 9,
    };
    assert_eq!(
        publish(&restored, &publication, PACE).expect("published"),
        10
    );
    let feed = feed(&restored);
    feed.load().expect("the store answers");
    let update = feed.sections_since(9).expect("a configuration is in force");
    assert_eq!(update.sections.len(), SectionName::all().count());
}

/// Guards against a mix of two histories after a restored service reached generations that processes had used before:
/// the changed sections of one history do not complete the sections of the other.
#[test]
fn sections_of_another_history_are_fetched_as_a_whole() {
    let lost = Memory::new();
    publish_next(&lost, "overdue", 1);
    let mut other_class = example();
    other_class.classes[0].priority = 9;
    publish_from(&lost.client(), &stored(&lost), &other_class, 2).expect("published");
    let process = feed(&lost);
    process.load().expect("the store answers");

    let restored = Memory::new();
    for (write_id, tier) in [(3, "late"), (4, "prompt"), (5, "late")] {
        publish_next(&restored, tier, write_id);
    }
    let peer = feed(&restored);
    peer.load().expect("the store answers");
    let update = peer.sections_since(process.fetch_base()).expect("in force");
    let error = process.accept(&update).expect_err("the histories differ");
    assert_eq!(*error.current_context(), FeedError::Diverged);
    assert_eq!((process.generation(), process.fetch_base()), (2, 0));
    let whole = peer.sections_since(process.fetch_base()).expect("in force");
    assert_eq!(process.accept(&whole).expect("it is whole"), Decision::Use);
    assert_eq!(process.fetch_base(), 3);
    assert_eq!(
        process.current().configuration(),
        peer.current().configuration()
    );
}

/// Guards against a fetch from a peer that sends everything for one changed workspace.
#[test]
fn peer_gives_only_changed_sections() {
    let memory = Memory::new();
    publish_next(&memory, "prompt", 1);
    let (newer, older) = (feed(&memory), feed(&memory));
    older.load().expect("the store answers");
    publish_next(&memory, "late", 2);
    newer.load().expect("the store answers");
    assert_eq!(
        older.on_message(newer.generation()),
        Comparison::SenderIsNewer
    );
    let update = newer
        .sections_since(older.generation())
        .expect("a configuration is in force");
    assert_eq!(update.sections.len(), 1);
    let received = message::decode(&message::encode(7, &update)).expect("the message is valid");
    assert_eq!(older.accept(&received).expect("it is whole"), Decision::Use);
    assert_eq!((older.generation(), tier_in_force(&older)), (2, 2));
}

/// Guards against malformed sections of a peer, or a malformed store, that replace the configuration in force.
#[test]
fn malformed_configurations_keep_the_one_in_force() {
    let memory = Memory::new();
    publish_next(&memory, "late", 1);
    let feed = feed(&memory);
    feed.load().expect("the store answers");
    let mut update = feed.sections_since(0).expect("a configuration is in force");
    update.generation = 2;
    update.sections[0].json = "[]".into();
    assert!(feed.accept(&update).is_err());
    let write = Write::Put {
        key: HEAD_KEY.into(),
        value: b"{".to_vec(),
        lease: None,
    };
    let transaction = Transaction {
        compares: vec![],
        writes: vec![write],
    };
    assert!(matches!(
        memory.commit(&transaction, TIMEOUT),
        Call::Done(Commit::Applied(_))
    ));
    assert!(feed.load().is_err());
    assert_eq!((feed.generation(), tier_in_force(&feed)), (1, 2));
    update.sections[0].json = feed.sections_since(0).expect("in force").sections[0]
        .json
        .clone();
    assert_eq!(feed.accept(&update).expect("it is whole"), Decision::Use);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against decoders of the store's values and of peers' messages that panic.
    #[test]
    fn decoders_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..128), text in ".{0,64}") {
        let _ = decode_head(&bytes);
        let _ = decode_section("tanagerford/config/section/tiers", &bytes);
        let _ = decode_section(&text, text.as_bytes());
        let section = ConfigSection { name: text, generation: 1, json: bytes };
        let _ = message::decode(&ConfigSections { query_id: 0, generation: 1, sections: vec![section], digest: 0 });
    }

    /// Guards against arbitrary sections of a peer that make a feed panic or take a part for the whole.
    #[test]
    fn arbitrary_updates_never_panic(generation in any::<u64>(), bucket in 0..64_u8, json in ".{0,64}") {
        let feed = feed(&Memory::new());
        let section = tanagerford_core::config::section::Section {
            name: SectionName::Workspaces(bucket),
            generation,
            json,
        };
        let update = SectionUpdate { generation, digest: digest([&section]), sections: vec![section] };
        let is_used = matches!(feed.accept(&update), Ok(Decision::Use));
        prop_assert!(!is_used);
    }
}
