//! Tests of the load summaries between entries.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use tanagerford_core::dispatch::{EntryLoad, PromptPart, WaitingTokens};
use tanagerford_core::exchange::{
    Cadence, Content, EntryNumber, Exchange, Message, Outgoing, Peer, Summary, wire,
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

/// Entries that exchange summaries over a network that a test decides on.
struct Fleet {
    entries: Vec<Exchange>,
    /// Load that each entry puts on the only server.
    loads: Vec<u32>,
    /// What each entry believes of each other one.
    beliefs: Vec<BTreeMap<EntryNumber, u32>>,
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
            let mut exchange = Exchange::new(number(own), number(own), zone, Cadence::default());
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
            beliefs: vec![BTreeMap::new(); count],
            parts: vec![0; count],
            messages: 0,
        }
    }

    fn due(&mut self, entry: usize, now: Duration) -> Vec<Outgoing> {
        let load = EntryLoad {
            flights: self.loads[entry],
            ..EntryLoad::default()
        };
        let content = || Content {
            loads: vec![(1, load)],
            ..Content::default()
        };
        self.entries[entry].due(now, content)
    }

    fn receive(&mut self, entry: usize, now: Duration, message: Message) {
        for summary in self.entries[entry].receive(now, message) {
            let told = summary.loads.first().map(|(_, load)| load.flights);
            if let Some(flights) = told.or(summary.is_full.then_some(0)) {
                self.beliefs[entry].insert(summary.entry, flights);
            }
            self.parts[entry] += summary.parts.len();
        }
    }

    /// Runs until `end` in steps of a millisecond; `passes` decides which messages arrive.
    fn run(&mut self, from: Duration, end: Duration, mut passes: impl FnMut(usize, usize) -> bool) {
        let mut now = from;
        while now < end {
            for sender in 0..self.entries.len() {
                for outgoing in self.due(sender, now) {
                    for receiver in outgoing.receivers {
                        let receiver = index(receiver);
                        self.messages += 1;
                        if passes(sender, receiver) {
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

/// Guards against messages whose count grows with the square of the entries, and against relays that leave an entry out.
#[test]
fn all_entries_hear_of_a_change_with_few_messages() {
    let mut fleet = Fleet::new(4, 11);
    fleet.run(START, after(50), |_, _| true);
    fleet.messages = 0;
    fleet.loads[7] = 3;
    fleet.entries[7].on_sent(after(50), 1, &PARTS);
    fleet.run(after(50), after(100), |_, _| true);
    let others = (0..44).filter(|entry| *entry != 7);
    let unaware: Vec<_> = others
        .filter(|entry| fleet.beliefs[*entry].get(&8) != Some(&3))
        .collect();
    assert!(unaware.is_empty(), "{unaware:?} did not hear of it");
    // The own and three other zones: one message to each relay, and ten from each of them.
    assert_eq!(fleet.messages, 4 + 4 * 10);
    let parts: usize = fleet.parts.iter().sum();
    assert_eq!(parts, 43, "the shared part is told to each entry once");
}

/// Guards against a zone that hears nothing after its relays are lost.
#[test]
fn another_entry_relays_after_the_relays_are_lost() {
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
        assert_eq!(fleet.beliefs[entry].get(&1), Some(&9), "entry {entry}");
    }
    let live = fleet.entries[0].live_entries(after(5_200));
    assert_eq!(live, [3, 5, 6, 7, 8, 9, 10]);
}

/// Guards against summaries that repeat what has not changed, and against loads that stay at the receivers after they
/// ended.
#[test]
fn a_summary_tells_what_changed_and_now_and_then_all() {
    let mut exchange = Exchange::new(1, 70, "zone-a", Cadence::default());
    let peer = Peer {
        zone: "zone-a".to_owned(),
        capacity: 0,
    };
    exchange.set_peer(2, Some(peer));
    let load = |flights| EntryLoad {
        flights,
        ..EntryLoad::default()
    };
    let mut tell = |at: u64, loads: Vec<(u32, EntryLoad)>| {
        let now = after(at);
        exchange.on_change(now);
        let content = || Content {
            loads: loads.clone(),
            ..Content::default()
        };
        let outgoing = exchange.due(now, content).remove(0);
        let summary = outgoing.message.summaries[0].clone();
        (summary.is_full, summary.loads)
    };
    let all = vec![(1, load(1)), (2, load(2))];
    assert_eq!(tell(0, all.clone()), (true, all));
    let changed = vec![(1, load(1)), (3, load(1))];
    assert_eq!(
        tell(10, changed.clone()),
        (false, vec![(3, load(1)), (2, load(0))])
    );
    assert_eq!(tell(20, changed.clone()), (false, vec![]));
    assert_eq!(tell(400, changed.clone()), (true, changed));
}

/// Guards against an old summary that overwrites a newer one, also one of another incarnation of this entry.
#[test]
fn out_of_date_summaries_are_ignored() {
    let mut exchange = Exchange::new(1, 70, "zone-a", Cadence::default());
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

/// Guards against bundles that no datagram can carry.
#[test]
fn a_large_bundle_is_split() {
    let loads = (0..60)
        .map(|server| {
            let load = EntryLoad {
                flights: 300,
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

    /// Guards against beliefs that stay wrong after any pattern of lost messages: once they arrive again, all entries agree
    /// within two heartbeats.
    #[test]
    fn beliefs_recover_from_any_loss(
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
                    fleet.beliefs[own].get(&number(other)).copied().unwrap_or(0),
                    fleet.loads[other],
                    "entry {} about {}", own, other
                );
            }
        }
    }
}
