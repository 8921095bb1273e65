//! Tests of publishing and watching the configuration under faults of the key-value service.

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
use tanagerford_node::config_feed::publish::{Publication, PublishError, PublishTiming, publish};
use tanagerford_node::config_feed::store::{
    HEAD_KEY, StoredConfiguration, decode_head, decode_section, read,
};
use tanagerford_node::config_feed::{ConfigFeed, FeedError, FeedSettings, message};
use tanagerford_standin::kv::KvStandin;

const TIMEOUT: Duration = Duration::from_secs(10);
const TIMING: PublishTiming = PublishTiming {
    call_timeout: TIMEOUT,
    retry_pause: Duration::from_millis(1),
};
const SETTINGS: FeedSettings = FeedSettings {
    call_timeout: TIMEOUT,
    watch_interval: Duration::from_millis(30),
};

fn example() -> Configuration {
    let text = include_bytes!("../../../docs/examples/zarqa.json");
    decode(text).expect("the example is correct")
}

/// Returns the example with one workspace in the given tier.
fn example_with_tier(tier: &str) -> Configuration {
    let mut configuration = example();
    configuration.workspaces[0].tier = tier.into();
    configuration
}

fn read_stored(memory: &Memory) -> StoredConfiguration {
    read(&memory.client(), TIMEOUT).expect("the key-value service responds")
}

fn publish_from(
    kv: &Memory,
    base: &StoredConfiguration,
    configuration: &Configuration,
    write_id: u64,
) -> Result<u64, PublishError> {
    let publication = Publication {
        base,
        configuration,
        write_id,
        floor: 0,
    };
    publish(kv, &publication, TIMING).map_err(|report| *report.current_context())
}

/// Publishes as an operator does, with a client that has none of the injected faults.
fn publish_next(memory: &Memory, tier: &str, write_id: u64) -> u64 {
    let base = read_stored(memory);
    let published = publish_from(&memory.client(), &base, &example_with_tier(tier), write_id);
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

/// Waits for a state that another thread reaches. The time limit only keeps a failing test from waiting forever.
fn wait_until(condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < Duration::from_mins(1),
            "the state was not reached"
        );
        thread::sleep(Duration::from_millis(2));
    }
}

/// Guards against two concurrent publications that are both reported as applied.
#[test]
fn one_of_two_concurrent_publications_wins_and_the_other_gets_its_generation() {
    let memory = Memory::new();
    publish_next(&memory, "prompt", 1);
    let base = read_stored(&memory);
    let race = |tier: &'static str, write_id| {
        let (client, base) = (memory.client(), base.clone());
        thread::spawn(move || publish_from(&client, &base, &example_with_tier(tier), write_id))
    };
    let results = [race("late", 2), race("overdue", 3)].map(|t| t.join().expect("no panic"));
    let won_count = results.iter().filter(|result| **result == Ok(2)).count();
    let lost = PublishError::Lost { winner: 2 };
    let lost_count = results
        .iter()
        .filter(|result| **result == Err(lost))
        .count();
    assert_eq!((won_count, lost_count), (1, 1));
}

/// Guards against a write that took effect but is reported as failed because its response was lost.
#[test]
fn lost_responses_are_resolved_by_reading_back() {
    let lost = Faults {
        responses_to_lose: 2,
        ..Faults::default()
    };
    let memory = Memory::new();
    let client = memory.client();
    client.set_faults(lost);
    assert_eq!(
        publish_from(
            &client,
            &read_stored(&memory),
            &example_with_tier("late"),
            1
        ),
        Ok(1)
    );
    assert_eq!(read_stored(&memory).head.head.history.len(), 1);
}

/// Guards against reporting a definite result although every response was lost or arrived after the timeout.
#[test]
fn missing_responses_leave_the_result_unknown() {
    let without_responses = Faults {
        responses_to_lose: u32::MAX,
        ..Faults::default()
    };
    let slow = Faults {
        delay: TIMEOUT,
        ..Faults::default()
    };
    for faults in [without_responses, slow] {
        let memory = Memory::new();
        let client = memory.client();
        client.set_faults(faults);
        let publication = Publication {
            base: &StoredConfiguration::default(),
            configuration: &example_with_tier("late"),
            write_id: 1,
            floor: 0,
        };
        let timing = PublishTiming {
            call_timeout: Duration::from_millis(1),
            ..TIMING
        };
        let report = publish(&client, &publication, timing).expect_err("no response arrives");
        assert_eq!(*report.current_context(), PublishError::Unknown);
        assert_eq!(read_stored(&memory).head.head.generation, 1);
    }
}

/// Guards against a write that was refused, or found the service unreachable, and is reported as unknown or applied.
#[test]
fn refused_writes_change_nothing() {
    let outage = Faults {
        is_down: true,
        ..Faults::default()
    };
    let rate_limited = Faults {
        calls_until_rate_limit: Some(0),
        ..Faults::default()
    };
    for faults in [outage, rate_limited] {
        let memory = Memory::new();
        let client = memory.client();
        client.set_faults(faults);
        let result = publish_from(
            &client,
            &StoredConfiguration::default(),
            &example_with_tier("late"),
            1,
        );
        assert_eq!(result, Err(PublishError::NotRun));
        assert_eq!(memory.revision(), 0);
    }
}

/// Guards against publishing an invalid or oversized configuration.
#[test]
fn faulty_and_oversized_configurations_are_not_published() {
    let memory = Memory::new();
    let faulty = example_with_tier("no such tier");
    let result = publish_from(&memory, &StoredConfiguration::default(), &faulty, 1);
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
    let result = publish_from(&memory, &StoredConfiguration::default(), &oversized, 1);
    assert_eq!(result, Err(PublishError::TooLarge));
    assert_eq!(memory.revision(), 0);
}

/// Guards against a watcher that reads the complete configuration for each change. The key-value service bills calls.
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

/// Guards against a difference between the HTTP client of the key-value service and the in-memory service.
#[test]
fn publishing_and_watching_work_over_the_http_gateway() {
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
        base: &read(&operator, TIMEOUT).expect("the gateway responds"),
        configuration: &example_with_tier("late"),
        write_id: 2,
        floor: 0,
    };
    assert_eq!(
        publish(&operator, &publication, TIMING).expect("published"),
        2
    );
    wait_until(|| feed.generation() == 2);
    assert_eq!(tier_in_force(&feed), 2);
    assert_eq!(feed.status().missed_by_watch, 0);
    feed.set_watching(false).expect("no thread is needed");
    assert!(!feed.status().is_watching);
}

/// Guards against a watch that stops without an error and leaves the process with an old configuration.
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

/// Guards against a watcher that does not recover from an outage during which the revision of its watch is compacted.
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

/// Guards against a watch that is repeatedly opened from a compacted revision, so that only reads of the head find
/// changes. In this test the reads of the head are too rare to do so.
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

/// Guards against losing the configuration in force during an outage.
#[test]
fn outage_keeps_the_configuration_in_force() {
    let memory = Memory::new();
    publish_next(&memory, "late", 1);
    let feed = feed(&memory);
    assert_eq!(feed.load().expect("the key-value service responds"), 1);
    memory.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    assert!(feed.load().is_err());
    assert_eq!((feed.generation(), tier_in_force(&feed)), (1, 2));
}

/// Guards against a process that starts during an outage and becomes ready with the old configuration of a single peer.
#[test]
fn restart_during_an_outage_uses_the_newest_configuration_of_several_peers() {
    let memory = Memory::new();
    publish_next(&memory, "prompt", 1);
    let older = feed(&memory);
    older.load().expect("the key-value service responds");
    publish_next(&memory, "late", 2);
    let newest = feed(&memory);
    newest.load().expect("the key-value service responds");
    let without_service = memory.client();
    without_service.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let restarted = feed(&without_service);
    assert!(restarted.load().is_err());
    for (name, peer) in [("a", &older), ("b", &newest), ("c", &older)] {
        assert!(!restarted.is_ready());
        let update = peer
            .sections_since(restarted.generation())
            .expect("the peer has a configuration");
        restarted
            .accept(&update)
            .expect("the sections are complete");
        restarted.on_peer_generation(name, peer.generation(), 12);
    }
    assert!(restarted.is_ready());
    assert_eq!((restarted.generation(), tier_in_force(&restarted)), (2, 2));
}

/// Guards against an older configuration in force, from a peer or from a key-value service restored from a backup.
#[test]
fn older_configurations_are_dropped() {
    let memory = Memory::new();
    publish_next(&memory, "prompt", 1);
    let feed = feed(&memory);
    feed.load().expect("the key-value service responds");
    let old = feed.sections_since(0).expect("a configuration is in force");
    publish_next(&memory, "late", 2);
    feed.load().expect("the key-value service responds");
    assert_eq!(
        feed.accept(&old).expect("the sections are complete"),
        Decision::Drop
    );
    assert_eq!(feed.on_message(1), Comparison::SenderIsOlder);

    let restored = Memory::new();
    publish_next(&restored, "overdue", 3);
    let process = ConfigFeed::new(Arc::new(restored.clone()), SETTINGS);
    let newest = feed.sections_since(0).expect("a configuration is in force");
    process.accept(&newest).expect("the sections are complete");
    assert_eq!(process.load().expect("the key-value service responds"), 2);
    assert_eq!(tier_in_force(&process), 2);
}

/// Guards against mixing sections of two histories after the key-value service has lost generations: the next
/// generation must replace all sections.
#[test]
fn publication_above_a_lost_generation_replaces_all_sections() {
    let restored = Memory::new();
    publish_next(&restored, "prompt", 1);
    let publication = Publication {
        base: &read_stored(&restored),
        configuration: &example_with_tier("late"),
        write_id: 2,
        floor: 9,
    };
    assert_eq!(
        publish(&restored, &publication, TIMING).expect("published"),
        10
    );
    let feed = feed(&restored);
    feed.load().expect("the key-value service responds");
    let update = feed.sections_since(9).expect("a configuration is in force");
    assert_eq!(update.sections.len(), SectionName::all().count());
}

/// Guards against mixing sections of two histories after a restored key-value service has reached generations that
/// processes had used before. The changed sections of one history must not be applied to the other.
#[test]
fn divergent_sections_are_replaced_by_a_complete_fetch() {
    let lost = Memory::new();
    publish_next(&lost, "overdue", 1);
    let mut other_class = example();
    other_class.classes[0].priority = 9;
    publish_from(&lost.client(), &read_stored(&lost), &other_class, 2).expect("published");
    let process = feed(&lost);
    process.load().expect("the key-value service responds");

    let restored = Memory::new();
    for (write_id, tier) in [(3, "late"), (4, "prompt"), (5, "late")] {
        publish_next(&restored, tier, write_id);
    }
    let peer = feed(&restored);
    peer.load().expect("the key-value service responds");
    let update = peer.sections_since(process.fetch_base()).expect("in force");
    let error = process.accept(&update).expect_err("the histories differ");
    assert_eq!(*error.current_context(), FeedError::Diverged);
    assert_eq!((process.generation(), process.fetch_base()), (2, 0));
    let complete = peer.sections_since(process.fetch_base()).expect("in force");
    assert_eq!(
        process
            .accept(&complete)
            .expect("the sections are complete"),
        Decision::Use
    );
    assert_eq!(process.fetch_base(), 3);
    assert_eq!(
        process.current().configuration(),
        peer.current().configuration()
    );
}

/// Guards against a peer that sends all sections although only one workspace has changed.
#[test]
fn peer_sends_only_changed_sections() {
    let memory = Memory::new();
    publish_next(&memory, "prompt", 1);
    let (newer, older) = (feed(&memory), feed(&memory));
    older.load().expect("the key-value service responds");
    publish_next(&memory, "late", 2);
    newer.load().expect("the key-value service responds");
    assert_eq!(
        older.on_message(newer.generation()),
        Comparison::SenderIsNewer
    );
    let update = newer
        .sections_since(older.generation())
        .expect("a configuration is in force");
    assert_eq!(update.sections.len(), 1);
    let received = message::decode(&message::encode(7, &update)).expect("the message is valid");
    assert_eq!(
        older.accept(&received).expect("the sections are complete"),
        Decision::Use
    );
    assert_eq!((older.generation(), tier_in_force(&older)), (2, 2));
}

/// Guards against replacing the configuration in force by a malformed one, from a peer or the key-value service.
#[test]
fn malformed_configurations_keep_the_one_in_force() {
    let memory = Memory::new();
    publish_next(&memory, "late", 1);
    let feed = feed(&memory);
    feed.load().expect("the key-value service responds");
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
    assert_eq!(
        feed.accept(&update).expect("the sections are complete"),
        Decision::Use
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against panics on arbitrary stored values and messages of peers.
    #[test]
    fn decoders_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..128), text in ".{0,64}") {
        let _ = decode_head(&bytes);
        let _ = decode_section("tanagerford/config/section/tiers", &bytes);
        let _ = decode_section(&text, text.as_bytes());
        let section = ConfigSection { name: text, generation: 1, json: bytes };
        let _ = message::decode(&ConfigSections { query_id: 0, generation: 1, sections: vec![section], digest: 0 });
    }

    /// Guards against arbitrary sections of a peer that make a feed panic or are accepted as a complete configuration.
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
