//! Permits for servers that limit their requests, granted among entries that join, stop and lose contact.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use tanagerford_core::exchange::EntryNumber;
use tanagerford_core::server_limit::{
    LimitStatement, LimitTable, PermitMessage, ServerKey, room_after, wire,
};

const SERVER: ServerKey = 77;
/// Span in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(5);
/// One-way delay between entries, in steps.
const DELAY_STEPS: usize = 1;

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

fn statement(limit: Option<f64>, requested_at: Duration, answered_at: Duration) -> LimitStatement {
    LimitStatement {
        limit,
        requested_at,
        answered_at,
    }
}

/// Entries that send a call to one server whenever they hold a permit.
struct Fleet {
    now: Duration,
    entries: BTreeMap<EntryNumber, LimitTable>,
    /// Messages by the step in which they arrive.
    in_transit: VecDeque<Vec<(EntryNumber, PermitMessage)>>,
    calls: Vec<Duration>,
    limit: f64,
}

impl Fleet {
    fn new(entries: u64, limit: f64) -> Self {
        let numbers: BTreeSet<EntryNumber> = (1..=entries).collect();
        let mut fleet = Self {
            now: Duration::from_secs(100),
            entries: BTreeMap::new(),
            in_transit: VecDeque::from(vec![Vec::new(); DELAY_STEPS]),
            calls: Vec::new(),
            limit,
        };
        for entry in &numbers {
            fleet.start(*entry, &numbers, &numbers);
        }
        fleet
    }

    /// Starts or restarts an entry, which learns the limit from the others at once.
    fn start(
        &mut self,
        entry: EntryNumber,
        registered: &BTreeSet<EntryNumber>,
        live: &BTreeSet<EntryNumber>,
    ) {
        let mut table = LimitTable::new(entry);
        table.set_entries(registered, live);
        table.on_answer(
            self.now,
            SERVER,
            statement(Some(self.limit), self.now, self.now),
        );
        self.entries.insert(entry, table);
    }

    fn set_entries(&mut self, entry: EntryNumber, live: impl IntoIterator<Item = EntryNumber>) {
        let registered = self.entries.keys().copied().collect();
        let live = live.into_iter().collect();
        let table = self.entries.get_mut(&entry).unwrap();
        table.set_entries(&registered, &live);
    }

    /// Runs for a time in which the entries that `is_calling` accepts have a call in each step. `is_delivered` decides
    /// which messages arrive.
    fn run(
        &mut self,
        length: Duration,
        is_calling: impl Fn(EntryNumber) -> bool,
        is_delivered: impl Fn(EntryNumber, EntryNumber) -> bool,
    ) {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            for (receiver, message) in self.in_transit.pop_front().unwrap_or_default() {
                if let Some(table) = self.entries.get_mut(&receiver) {
                    let datagram = wire::encode(now, &message);
                    table.receive(now, &wire::decode(now, &datagram).unwrap());
                }
            }
            let mut sent = Vec::new();
            for (entry, table) in &mut self.entries {
                if is_calling(*entry) {
                    if table.take(now, SERVER, 0) {
                        self.calls.push(now);
                    } else {
                        table.request(now, SERVER, 0);
                    }
                }
                table.settle(now);
                let outgoing = table.take_outgoing();
                sent.extend(outgoing.filter(|(receiver, _)| is_delivered(*entry, *receiver)));
            }
            self.in_transit.push_back(sent);
        }
    }

    /// Returns the largest number of calls within [`SPAN`] that begins at `from` or later.
    fn most_calls(&self, from: Duration) -> usize {
        let calls: Vec<_> = self.calls.iter().filter(|at| **at >= from).collect();
        let counts = calls
            .iter()
            .enumerate()
            .map(|(first, at)| calls.partition_point(|other| **other < **at + SPAN) - first);
        counts.max().unwrap_or_default()
    }

    /// Checks the platform's rule: one and a half times what the limit allows, and 5 requests.
    fn assert_limit_holds(&self, from: Duration) {
        self.assert_at_most(from, 1.5 * self.limit * SPAN.as_secs_f64() + 5.0);
    }

    fn assert_at_most(&self, from: Duration, allowed: f64) {
        let most = f64::from(u32::try_from(self.most_calls(from)).unwrap());
        assert!(most <= allowed, "{most} of {allowed}");
    }

    fn used_share(&self, since: Duration) -> f64 {
        let calls = self.calls.iter().filter(|at| **at >= since).count();
        f64::from(u32::try_from(calls).unwrap())
            / self.now.saturating_sub(since).as_secs_f64()
            / self.limit
    }
}

/// Guards against a sum over many entries that exceeds the limit, and against limits that are left unused.
#[test]
fn entries_share_limits_of_any_size() {
    for (entries, limit, length_s) in [
        (1, 2.3, 30.0),
        (12, 2.3, 30.0),
        (44, 0.2, 120.0),
        (44, 30.0, 30.0),
        (400, 1.0, 20.0),
    ] {
        let mut fleet = Fleet::new(entries, limit);
        let start = fleet.now;
        fleet.run(seconds(length_s), |_| true, |_, _| true);
        fleet.assert_limit_holds(start);
        let used = fleet.used_share(start);
        assert!(
            used > 0.9,
            "{used} of a limit of {limit} at {entries} entries"
        );
    }
}

/// Guards against shares by count of entries, which waste most of a limit when one entry has most of the calls.
#[test]
fn one_entry_can_use_the_whole_limit() {
    let mut fleet = Fleet::new(12, 2.3);
    let start = fleet.now;
    fleet.run(seconds(30.0), |entry| entry == 5, |_, _| true);
    fleet.assert_limit_holds(start);
    assert!(fleet.used_share(start) > 0.9);
}

/// Guards against entries that cannot hear each other and each use the whole limit.
#[test]
fn entries_cut_off_from_each_other_share_the_limit() {
    let mut fleet = Fleet::new(12, 5.0);
    let group = |entry: EntryNumber| entry % 3;
    let start = fleet.now;
    fleet.run(seconds(6.0), |_| true, |_, _| true);
    for entry in 1..=12 {
        let heard = (1..=12).filter(|other| group(*other) == group(entry));
        fleet.set_entries(entry, heard);
    }
    fleet.run(seconds(12.0), |_| true, |from, to| group(from) == group(to));
    for entry in 1..=12 {
        fleet.set_entries(entry, 1..=12);
    }
    fleet.run(seconds(6.0), |_| true, |_, _| true);
    fleet.assert_limit_holds(start);
}

/// Guards against a sum that grows with the number of entries beyond a burst of two requests each, when every entry is cut
/// off from all others.
#[test]
fn each_isolated_entry_adds_at_most_its_burst() {
    let mut fleet = Fleet::new(12, 5.0);
    let start = fleet.now;
    fleet.run(seconds(6.0), |_| true, |_, _| true);
    for alone in 1..=12 {
        fleet.set_entries(alone, [alone]);
    }
    fleet.run(seconds(8.0), |_| true, |from, to| from == to);
    fleet.assert_at_most(start, 1.5 * 5.0 * 4.0 + 2.0 * 12.0);
}

/// Guards against a burst when the entry that grants the permits stops, freezes or starts again, and against entries that
/// disagree about it for a second.
#[test]
fn the_limit_holds_while_entries_are_replaced() {
    for limit in [0.2, 2.3, 20.0] {
        let mut fleet = Fleet::new(12, limit);
        let all: BTreeSet<EntryNumber> = (1..=12).collect();
        let start = fleet.now;
        for stopped in 1..=12 {
            fleet.run(seconds(4.0), |_| true, |_, _| true);
            // The entry stops; the others notice after 2.5 s, one half a second later than the other.
            fleet.run(
                seconds(2.5),
                |entry| entry != stopped,
                |from, to| from != stopped && to != stopped,
            );
            for entry in all.iter().filter(|entry| **entry % 2 == 0) {
                fleet.set_entries(
                    *entry,
                    all.iter().copied().filter(|other| *other != stopped),
                );
            }
            fleet.run(
                seconds(1.0),
                |entry| entry != stopped,
                |from, to| from != stopped && to != stopped,
            );
            for entry in &all {
                fleet.set_entries(
                    *entry,
                    all.iter().copied().filter(|other| *other != stopped),
                );
            }
            fleet.run(
                seconds(2.0),
                |entry| entry != stopped,
                |from, to| from != stopped && to != stopped,
            );
            // It starts again; the others hear it one half a second later than the other.
            fleet.start(stopped, &all, &BTreeSet::new());
            for entry in all.iter().filter(|entry| **entry % 2 == 0) {
                fleet.set_entries(*entry, all.iter().copied());
            }
            fleet.run(seconds(1.0), |_| true, |_, _| true);
            for entry in &all {
                fleet.set_entries(*entry, all.iter().copied());
            }
        }
        fleet.assert_limit_holds(start);
    }
}

/// Guards against lost messages that grant a permit twice or stop the grants for good.
#[test]
fn lost_messages_only_lose_permits() {
    let mut fleet = Fleet::new(12, 5.0);
    let start = fleet.now;
    for round in 0..20_u64 {
        let lost = |from: u64, to: u64| (from * 7 + to * 3 + round).is_multiple_of(3);
        fleet.run(seconds(1.0), |_| true, |from, to| !lost(from, to));
    }
    fleet.assert_limit_holds(start);
    assert!(fleet.used_share(start) > 0.3);
}

/// Guards against a limit that lives on after its server said that it is well, and against an old answer that ends or begins
/// one.
#[test]
fn the_newest_statement_holds() {
    let at = |milliseconds: u64| Duration::from_millis(milliseconds);
    let mut table = LimitTable::new(1);
    let limited = statement(Some(2.0), at(100), at(150));
    assert!(table.on_answer(at(150), SERVER, limited).is_some());
    // The head of a long wait was written at an unknown time after its request.
    assert!(
        table
            .on_answer(at(9_000), SERVER, statement(None, at(120), at(9_000)))
            .is_none()
    );
    assert_eq!(table.limit(SERVER), Some(2.0));
    let changed = statement(Some(3.0), at(9_100), at(9_200));
    assert_eq!(
        table.on_answer(at(9_200), SERVER, changed).unwrap().before,
        Some(2.0)
    );
    let ended = statement(None, at(9_300), at(9_400));
    assert!(table.on_answer(at(9_400), SERVER, ended).is_some());
    assert!(table.is_permitted(at(9_400), SERVER, 0));
    assert!(table.merge(at(9_500), &[(SERVER, changed)]).is_empty());
    assert!(table.is_permitted(at(9_500), SERVER, 0));
}

/// Guards against an entry that never called a limited server and does not learn of its limit.
#[test]
fn statements_are_told_to_the_other_entries() {
    let now = Duration::from_secs(5);
    let (mut one, mut other) = (LimitTable::new(1), LimitTable::new(2));
    one.on_answer(now, SERVER, statement(Some(2.0), now, now));
    let data = wire::encode_statements(now, &one.summary(now));
    // The clocks of the entries differ.
    let there = Duration::from_mins(15);
    let told = wire::decode_statements(there, &data).unwrap();
    assert_eq!(other.merge(there, &told).len(), 1);
    assert!(!other.is_permitted(there, SERVER, 0));
}

/// Guards against waiting calls that are refused when a limit ends: the sum of the limits was 0 then, as if there were no room.
#[test]
fn a_pool_with_an_unlimited_server_has_room_at_once() {
    let now = Duration::from_secs(1);
    let mut table = LimitTable::new(1);
    table.on_answer(now, SERVER, statement(Some(2.0), now, now));
    assert_eq!(
        room_after(3, 1, table.total_rate([SERVER])),
        Duration::from_secs(2)
    );
    assert_eq!(
        room_after(3, 1, table.total_rate([SERVER, SERVER + 1])),
        Duration::ZERO
    );
    let later = now + Duration::from_secs(1);
    table.on_answer(later, SERVER, statement(None, later, later));
    assert_eq!(room_after(3, 1, table.total_rate([SERVER])), Duration::ZERO);
}
