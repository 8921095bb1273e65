//! Tests of the exchange of load summaries between entries.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use tanagerford_core::dispatch::{EntryLoad, PromptPart, WaitingTokens};
use tanagerford_core::exchange::{
    EntryNumber, Exchange, Message, OutgoingMessage, Peer, Summary, SummaryContent,
    SummaryIntervals, wire,
};

const PARTS: [PromptPart; 2] = [
    PromptPart {
        id: 5,
        tokens: 2_520,
    },
    PromptPart {
        id: 6,
        tokens: 2_890,
    },
];

/// Entries that exchange summaries over a simulated network.
struct Fleet {
    entries: Vec<Exchange>,
    /// Load that each entry puts on the only server.
    loads: Vec<u32>,
    /// Load of each other entry as known to each entry.
    known_loads: Vec<BTreeMap<EntryNumber, u32>>,
    parts: Vec<usize>,
    messages: usize,
}

fn number(index: usize) -> EntryNumber {
    EntryNumber::try_from(index).unwrap() + 1
}

fn index(number: EntryNumber) -> usize {
    usize::try_from(number).unwrap() - 1
}

impl Fleet {
    fn new(zones: usize, per_zone: usize) -> Self {
        let count = zones * per_zone;
        let entries = (0..count).map(|own| {
            let zone = format!("zone-{}", own % zones);
            let mut exchange =
                Exchange::new(number(own), number(own), zone, SummaryIntervals::default());
            for other in 0..count {
                let peer = Peer {
                    zone: format!("zone-{}", other % zones),
                    capacity: 0,
                };
                exchange.set_peer(number(other), Some(peer));
            }
            exchange
        });
        Self {
            entries: entries.collect(),
            loads: vec![0; count],
            known_loads: vec![BTreeMap::new(); count],
            parts: vec![0; count],
            messages: 0,
        }
    }

    fn due(&mut self, entry: usize, now: Duration) -> Vec<OutgoingMessage> {
        let load = EntryLoad {
            in_flight: self.loads[entry],
            ..EntryLoad::default()
        };
        let content = || SummaryContent {
            loads: vec![(1, load)],
            ..SummaryContent::default()
        };
        self.entries[entry].take_due(now, content)
    }

    fn receive(&mut self, entry: usize, now: Duration, message: Message) {
        for summary in self.entries[entry].receive(now, message) {
            let in_flight = summary.loads.first().map(|(_, load)| load.in_flight);
            if let Some(in_flight) = in_flight.or(summary.is_full.then_some(0)) {
                self.known_loads[entry].insert(summary.entry, in_flight);
            }
            self.parts[entry] += summary.parts.len();
        }
    }

    /// Runs until `end` in steps of a millisecond; `is_delivered` decides which messages arrive.
    fn run(
        &mut self,
        from: Duration,
        end: Duration,
        mut is_delivered: impl FnMut(usize, usize) -> bool,
    ) {
        let mut now = from;
        while now < end {
            for sender in 0..self.entries.len() {
                for outgoing in self.due(sender, now) {
                    for receiver in outgoing.receivers {
                        let receiver = index(receiver);
                        self.messages += 1;
                        if is_delivered(sender, receiver) {
                            self.receive(receiver, now, outgoing.message.clone());
                        }
                    }
                }
            }
            now += Duration::from_millis(1);
        }
    }
}

const START: Duration = Duration::from_secs(10);

fn after(milliseconds: u64) -> Duration {
    START + Duration::from_millis(milliseconds)
}

/// Guards against a number of messages that grows with the square of the entries, and against relays that omit an
/// entry.
#[test]
fn all_entries_receive_a_change_with_few_messages() {
    let mut fleet = Fleet::new(4, 11);
    fleet.run(START, after(50), |_, _| true);
    fleet.messages = 0;
    fleet.loads[7] = 3;
    fleet.entries[7].on_sent(after(50), 1, &PARTS);
    fleet.run(after(50), after(100), |_, _| true);
    let others = (0..44).filter(|entry| *entry != 7);
    let outdated: Vec<_> = others
        .filter(|entry| fleet.known_loads[*entry].get(&8) != Some(&3))
        .collect();
    assert!(
        outdated.is_empty(),
        "{outdated:?} did not receive the change"
    );
    // One message to the relay of each of the four zones, and ten from each relay.
    assert_eq!(fleet.messages, 4 + 4 * 10);
    let parts: usize = fleet.parts.iter().sum();
    assert_eq!(parts, 43, "each other entry receives the shared part once");
}

/// Guards against a zone that receives no summaries after its relays are lost.
#[test]
fn another_entry_becomes_relay_after_the_relays_are_lost() {
    let mut fleet = Fleet::new(2, 5);
    fleet.run(START, after(1_500), |_, _| true);
    let is_lost = |entry: usize| entry == 1 || entry == 3;
    fleet.run(after(1_500), after(5_000), |from, to| {
        !is_lost(from) && !is_lost(to)
    });
    fleet.loads[0] = 9;
    fleet.entries[0].on_change(after(5_000));
    fleet.run(after(5_000), after(5_200), |from, to| {
        !is_lost(from) && !is_lost(to)
    });
    for entry in [2, 4, 5, 6, 7, 8, 9] {
        assert_eq!(fleet.known_loads[entry].get(&1), Some(&9), "entry {entry}");
    }
    let live = fleet.entries[0].live_entries(after(5_200));
    assert_eq!(live, [3, 5, 6, 7, 8, 9, 10]);
}

/// Guards against summaries that take the processor time of an entry that is short of it: bundles for every change of
/// every other entry, and its own summaries for every change.
#[test]
fn a_busy_entry_exchanges_fewer_messages() {
    // Entries 1 and 3 are the relays of their zone.
    let (busy, calm) = (5, 7);
    let mut fleet = Fleet::new(2, 5);
    fleet.run(START, after(1_000), |_, _| true);
    fleet.entries[busy].set_busy(true);
    fleet.entries[busy].on_change(after(1_000));
    fleet.run(after(1_000), after(1_100), |_, _| true);
    let mut received = BTreeMap::new();
    let mut sent_by_busy = 0;
    for step in 0..100_u64 {
        let now = after(1_100 + step * 10);
        for entry in 0..fleet.entries.len() {
            fleet.loads[entry] += 1;
            fleet.entries[entry].on_change(now);
        }
        fleet.run(now, now + Duration::from_millis(10), |from, to| {
            *received.entry(to).or_insert(0) += 1;
            sent_by_busy += usize::from(from == busy);
            true
        });
    }
    assert!(received[&calm] > 5 * received[&busy], "{received:?}");
    // At most one summary to each of two zones in each 60 ms.
    assert!(
        sent_by_busy <= 2 * (1_000 / 60 + 1),
        "{sent_by_busy} messages"
    );
    fleet.run(after(2_100), after(2_300), |_, _| true);
    let others = (0..10).filter(|entry| *entry != busy);
    let known: Vec<_> = others
        .map(|other| fleet.known_loads[busy][&number(other)])
        .collect();
    assert_eq!(known, [100; 9], "the fewer bundles lose no load");
}

/// Guards against relays that forward all summaries of a zone although they are short of processor time.
#[test]
fn a_busy_relay_is_replaced_by_the_other_one() {
    let mut fleet = Fleet::new(2, 5);
    fleet.run(START, after(1_000), |_, _| true);
    fleet.entries[1].set_busy(true);
    fleet.entries[1].on_change(after(1_000));
    fleet.run(after(1_000), after(1_200), |_, _| true);
    let mut sent_by_relay = 0;
    for step in 0..50_u64 {
        let now = after(1_200 + step * 20);
        fleet.loads[0] += 1;
        fleet.entries[0].on_change(now);
        fleet.run(now, now + Duration::from_millis(20), |from, _| {
            sent_by_relay += usize::from(from == 1);
            true
        });
    }
    // Only its own heartbeats, to the two zones.
    assert!(sent_by_relay <= 4, "{sent_by_relay} messages");
    assert_eq!(fleet.known_loads[5].get(&1), Some(&50));
}

/// Guards against summaries that repeat unchanged loads, and against loads that remain at the receivers after they
/// ended.
#[test]
fn summaries_hold_changes_and_periodically_all_loads() {
    let mut exchange = Exchange::new(1, 70, "zone-a", SummaryIntervals::default());
    let peer = Peer {
        zone: "zone-a".to_owned(),
        capacity: 0,
    };
    exchange.set_peer(2, Some(peer));
    let load = |in_flight| EntryLoad {
        in_flight,
        ..EntryLoad::default()
    };
    let mut summarize = |at: u64, loads: Vec<(u32, EntryLoad)>| {
        let now = after(at);
        exchange.on_change(now);
        let content = || SummaryContent {
            loads: loads.clone(),
            ..SummaryContent::default()
        };
        let outgoing = exchange.take_due(now, content).remove(0);
        let summary = outgoing.message.summaries[0].clone();
        (summary.is_full, summary.loads)
    };
    let all = vec![(1, load(1)), (2, load(2))];
    assert_eq!(summarize(0, all.clone()), (true, all));
    let changed = vec![(1, load(1)), (3, load(1))];
    assert_eq!(
        summarize(10, changed.clone()),
        (false, vec![(3, load(1)), (2, load(0))])
    );
    assert_eq!(summarize(20, changed.clone()), (false, vec![]));
    assert_eq!(summarize(400, changed.clone()), (true, changed));
}

/// Guards against an outdated summary that overwrites a newer one, and against summaries of this entry itself.
#[test]
fn outdated_summaries_are_ignored() {
    let mut exchange = Exchange::new(1, 70, "zone-a", SummaryIntervals::default());
    let summary = |boot, sequence| Summary {
        entry: 2,
        boot,
        sequence,
        ..Summary::default()
    };
    let mut receive = |summary: Summary| {
        let message = Message {
            to_relay: false,
            summaries: vec![summary],
        };
        exchange.receive(START, message).len()
    };
    assert_eq!(receive(summary(80, 5)), 1);
    assert_eq!(receive(summary(80, 5)), 0);
    assert_eq!(receive(summary(80, 4)), 0);
    assert_eq!(receive(summary(81, 1)), 1);
    assert_eq!(receive(summary(70, 1)), 0);
}

/// Guards against bundles that exceed the size of a datagram.
#[test]
fn a_large_bundle_is_split() {
    let loads = (0..60)
        .map(|server| {
            let load = EntryLoad {
                in_flight: 300,
                streams: 200,
                waiting: WaitingTokens::of(2, 90_000),
            };
            (server, load)
        })
        .collect::<Vec<_>>();
    let summaries = (1..40).map(|boot| Summary {
        boot,
        sequence: 1,
        loads: loads.clone(),
        ..Summary::default()
    });
    let message = Message {
        to_relay: false,
        summaries: summaries.collect(),
    };
    let datagrams = wire::encode(&message);
    assert!(datagrams.len() > 3);
    let mut decoded = Vec::new();
    for datagram in &datagrams {
        assert!(datagram.len() <= wire::MAX_DATAGRAM_BYTES);
        decoded.extend(wire::decode(datagram).unwrap().summaries);
    }
    assert_eq!(decoded, message.summaries);
    assert!(wire::decode(b"\xff\xff").is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..ProptestConfig::default() })]

    /// Guards against loads that stay wrong after any pattern of lost messages: once messages arrive again, all entries
    /// agree within two heartbeats.
    #[test]
    fn known_loads_recover_from_any_loss(
        zones in 1..4_usize,
        per_zone in 1..6_usize,
        lost in proptest::collection::vec(any::<bool>(), 64),
        changes in proptest::collection::vec((any::<usize>(), 0..50_u32, 0..1_500_u64), 1..30),
    ) {
        let mut fleet = Fleet::new(zones, per_zone);
        let count = zones * per_zone;
        let mut changes = changes;
        changes.sort_by_key(|(_, _, at)| *at);
        let mut now = START;
        for (entry, load, at) in &changes {
            fleet.run(now, after(*at), |from, to| !lost[(from * 7 + to) % lost.len()]);
            now = now.max(after(*at));
            fleet.loads[entry % count] = *load;
            fleet.entries[entry % count].on_change(now);
        }
        fleet.run(now, now + Duration::from_millis(2_600), |_, _| true);
        for own in 0..count {
            for other in (0..count).filter(|other| *other != own) {
                prop_assert_eq!(
                    fleet.known_loads[own].get(&number(other)).copied().unwrap_or(0),
                    fleet.loads[other],
                    "entry {} about {}", own, other
                );
            }
        }
    }
}
