//! Random exploration of the holders of a duty: calls with lost and late answers, freezes, restarts, restorations of the store
//! and clocks that jump. The steps call the transition functions of `tanagerford_core::duty`.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tanagerford_core::duty::{
    CommitResult, DutyRecord, Holding, HoldingCall, HoldingSettings, RecordRead, RecordState,
    RecordWrite, TrueTime, UsageBook, UsageItem, UsageReport, UsageSender, Windows,
};

const LEASE: Duration = Duration::from_secs(3);
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
const WINDOWS: Windows = Windows {
    length: Duration::from_secs(5),
    late_after: Duration::from_secs(10),
};
const NODES: usize = 3;
/// Time with faults, and time after them in which reports must go on.
const FAULT_TIME: Duration = Duration::from_secs(90);
const QUIET_TIME: Duration = Duration::from_secs(40);
const SEEDS: u64 = 150;

/// Deliberate defects, each of which must violate an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// A report is sent when it is decided, before it is written.
    SendBeforeWrite,
    /// The record is written without comparing revisions.
    WriteWithoutCompare,
    /// A takeover keeps the number of the holder before.
    NumberNotRaised,
    /// The clock of a holder does not count the time asleep.
    ClockStopsAsleep,
    /// A restoration of the store goes unnoticed.
    EraIgnored,
}

struct Node {
    vm: String,
    holding: Holding,
    frozen_until: Duration,
    asleep: Duration,
    jump_ms: i64,
}

#[derive(Debug, Clone, Default)]
struct StoreState {
    revision: u64,
    record: Option<(u64, DutyRecord)>,
    lock: Option<(u64, i64)>,
}

/// Call to the platform's API that was sent.
#[derive(Debug, Clone)]
struct Sent {
    node: usize,
    number: u64,
    report: UsageReport,
}

struct World {
    defect: Defect,
    random: StdRng,
    now: Duration,
    nodes: Vec<Node>,
    store: StoreState,
    era: u64,
    backup: Option<StoreState>,
    leases: HashMap<i64, Duration>,
    late_writes: Vec<(Duration, RecordWrite)>,
    late_reports: Vec<(Duration, Sent)>,
    accepted: BTreeMap<u64, UsageReport>,
    holders: HashMap<u64, usize>,
    highest: u64,
    last_accepted_at: Duration,
    violation: Option<String>,
}

impl World {
    fn new(defect: Defect, seed: u64) -> Self {
        let mut world = Self {
            defect,
            random: StdRng::seed_from_u64(seed),
            now: Duration::from_secs(1_000),
            nodes: Vec::new(),
            store: StoreState::default(),
            era: 0,
            backup: None,
            leases: HashMap::new(),
            late_writes: Vec::new(),
            late_reports: Vec::new(),
            accepted: BTreeMap::new(),
            holders: HashMap::new(),
            highest: 0,
            last_accepted_at: Duration::ZERO,
            violation: None,
        };
        for index in 0..NODES {
            let node = world.start_node(index);
            world.nodes.push(node);
        }
        world
    }

    fn start_node(&mut self, index: usize) -> Node {
        let vm = format!("vm-{index}");
        let settings = HoldingSettings {
            vm: vm.clone(),
            boot: self.random.random(),
            lease: LEASE,
        };
        Node {
            vm,
            holding: Holding::new(self.now, settings),
            frozen_until: Duration::ZERO,
            asleep: Duration::ZERO,
            jump_ms: 0,
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn clock(&self, node: usize) -> Duration {
        if self.defect == Defect::ClockStopsAsleep {
            self.now.saturating_sub(self.nodes[node].asleep)
        } else {
            self.now
        }
    }

    fn window(&self, node: usize) -> u64 {
        let now_ms = i64::try_from(self.now.as_millis()).unwrap() + self.nodes[node].jump_ms;
        WINDOWS.at(Duration::from_millis(u64::try_from(now_ms).unwrap()))
    }

    fn seen_era(&self) -> u64 {
        if self.defect == Defect::EraIgnored {
            0
        } else {
            self.era
        }
    }

    fn run(&mut self) -> Option<String> {
        let end = self.now + FAULT_TIME;
        while self.now < end {
            self.step(true);
        }
        for node in &mut self.nodes {
            node.frozen_until = Duration::ZERO;
            node.jump_ms = 0;
        }
        let end = self.now + QUIET_TIME;
        while self.now < end {
            self.step(false);
        }
        if self.now.saturating_sub(self.last_accepted_at) > WINDOWS.length * 2 + LEASE {
            self.violate("no window is reported although nothing fails");
        }
        self.violation.take()
    }

    fn violate(&mut self, what: impl Into<String>) {
        self.violation.get_or_insert(what.into());
    }

    fn step(&mut self, has_faults: bool) {
        self.now += Duration::from_millis(self.random.random_range(5..120));
        self.expire_leases();
        self.carry_out_late_calls();
        let node = self.random.random_range(0..NODES);
        if has_faults {
            self.maybe_fail(node);
        }
        if self.nodes[node].frozen_until > self.now {
            return;
        }
        for _ in 0..4 {
            let (clock, rank) = (self.clock(node), u32::try_from(node).unwrap());
            let Some(call) = self.nodes[node].holding.next_call(clock, rank) else {
                break;
            };
            self.call_store(node, rank, call, has_faults);
        }
        self.decide(node);
        self.send(node, has_faults);
        // A live holder is heard by those that are awake, most of the time.
        let clock = self.clock(node);
        if let Some((number, _)) = self.nodes[node].holding.holder(clock) {
            for other in (0..NODES).filter(|other| *other != node) {
                let is_awake = self.nodes[other].frozen_until <= self.now;
                if is_awake && self.chance(70) {
                    let clock = self.clock(other);
                    let holding = &mut self.nodes[other].holding;
                    holding.on_holder_heard(clock, number, Duration::ZERO);
                }
            }
        }
    }

    fn maybe_fail(&mut self, node: usize) {
        match self.random.random_range(0..2_000) {
            0..8 => {
                let time = Duration::from_millis(self.random.random_range(500..9_000));
                self.nodes[node].frozen_until = self.now + time;
                self.nodes[node].asleep += time;
            }
            8..14 => self.nodes[node] = self.start_node(node),
            14..20 => self.nodes[node].jump_ms = self.random.random_range(-6_000..6_000),
            20..24 => self.backup = Some(self.store.clone()),
            24..27 => {
                if let Some(backup) = self.backup.take() {
                    self.store = backup;
                    // Leases do not survive a restoration.
                    self.store.lock = None;
                    self.leases.clear();
                    self.era += 1;
                }
            }
            _ => {}
        }
    }

    fn expire_leases(&mut self) {
        let now = self.now;
        self.leases.retain(|_, until| *until > now);
        let is_ended = |(_, lease): (u64, i64)| !self.leases.contains_key(&lease);
        if self.store.lock.is_some_and(is_ended) {
            self.store.lock = None;
            self.store.revision += 1;
        }
    }

    fn carry_out_late_calls(&mut self) {
        let now = self.now;
        let (due, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late_writes)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.late_writes = left;
        for (_, write) in due {
            self.commit(&write);
        }
        let (due, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late_reports)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.late_reports = left;
        for (_, sent) in due {
            self.accept(&sent, true);
        }
    }

    fn commit(&mut self, write: &RecordWrite) -> CommitResult {
        let record_revision = self
            .store
            .record
            .as_ref()
            .map_or(0, |(revision, _)| *revision);
        let lock_revision = self.store.lock.map_or(0, |(revision, _)| revision);
        let is_expected =
            record_revision == write.record_revision && lock_revision == write.lock_revision;
        if !is_expected && self.defect != Defect::WriteWithoutCompare {
            return CommitResult::Conflict;
        }
        let lease = write.record.lease;
        if write.is_takeover() && !self.leases.contains_key(&lease) {
            return CommitResult::Conflict;
        }
        self.store.revision += 1;
        let revision = self.store.revision;
        if write.is_takeover() {
            self.store.lock = Some((revision, lease));
        }
        self.store.record = Some((revision, write.record.clone()));
        CommitResult::Applied(revision)
    }

    fn call_store(&mut self, node: usize, rank: u32, call: HoldingCall, has_faults: bool) {
        let sent_at = self.clock(node);
        let (is_lost, is_refused) = if has_faults {
            (self.chance(8), self.chance(5))
        } else {
            (false, false)
        };
        self.now += Duration::from_millis(self.random.random_range(1..40));
        self.expire_leases();
        let now = self.clock(node);
        match call {
            HoldingCall::Read => {
                let record = self.store.record.clone();
                let read = RecordRead {
                    era: self.seen_era(),
                    record_revision: record.as_ref().map_or(0, |(revision, _)| *revision),
                    record: record.map_or(RecordState::Absent, |(_, record)| {
                        RecordState::Readable(record)
                    }),
                    lock_revision: self.store.lock.map_or(0, |(revision, _)| revision),
                };
                let window = self.window(node);
                let read = (!is_lost && !is_refused).then_some(read);
                self.nodes[node].holding.on_read(now, rank, window, read);
            }
            HoldingCall::GrantLease => {
                let lease = self.random.random_range(1..i64::MAX);
                self.leases.insert(lease, self.now + LEASE);
                let granted = (!is_lost).then_some((lease, LEASE));
                self.nodes[node]
                    .holding
                    .on_lease(now, rank, sent_at, granted);
            }
            HoldingCall::Renew(lease) => {
                let until = self.now + LEASE;
                let known = self.leases.get_mut(&lease);
                let renewed = known.map(|known| {
                    *known = until;
                    LEASE
                });
                let renewed = (!is_lost).then_some(renewed);
                self.nodes[node].holding.on_renewed(now, sent_at, renewed);
            }
            HoldingCall::Write(mut write) => {
                if self.defect == Defect::NumberNotRaised && write.is_takeover() {
                    write.record.number = (write.record.number - 1).max(1);
                }
                let result = if is_refused {
                    CommitResult::Refused
                } else if is_lost && self.chance(50) {
                    let delay = Duration::from_millis(self.random.random_range(100..5_000));
                    self.late_writes.push((self.now + delay, write));
                    CommitResult::Unknown
                } else {
                    let result = self.commit(&write);
                    if is_lost {
                        CommitResult::Unknown
                    } else {
                        result
                    }
                };
                self.nodes[node].holding.on_written(now, rank, result);
            }
        }
    }

    fn decide(&mut self, node: usize) {
        let clock = self.clock(node);
        let Some(last) = self.nodes[node].holding.last_window(clock) else {
            return;
        };
        let current = self.window(node);
        if last + 1 >= current {
            return;
        }
        let window = (last + 1).max(current.saturating_sub(3));
        // Each entry knows other counts, and later more of them.
        let count = self.random.random_range(0..1_000_000);
        let report = UsageReport {
            window,
            counts: BTreeMap::from([("harbour".to_owned(), count)]),
        };
        let is_decided = self.nodes[node].holding.decide(clock, report.clone());
        if is_decided && self.defect == Defect::SendBeforeWrite {
            let (number, _) = self.nodes[node].holding.holder(clock).unwrap();
            self.accept(
                &Sent {
                    node,
                    number,
                    report,
                },
                false,
            );
        }
    }

    fn send(&mut self, node: usize, has_faults: bool) {
        let clock = self.clock(node);
        let holding = &self.nodes[node].holding;
        let Some((number, report)) = holding.report_to_send(clock, REPORT_TIMEOUT) else {
            return;
        };
        let sent = Sent {
            node,
            number: if self.defect == Defect::NumberNotRaised {
                // The number that stands in the record.
                number.saturating_sub(1).max(1)
            } else {
                number
            },
            report: report.clone(),
        };
        let window = report.window;
        if has_faults && self.chance(10) {
            let delay = Duration::from_millis(self.random.random_range(100..6_000));
            self.late_reports.push((self.now + delay, sent));
            return;
        }
        let is_accepted = self.accept(&sent, false);
        if has_faults && self.chance(10) {
            return;
        }
        let holding = &mut self.nodes[node].holding;
        if is_accepted {
            holding.on_report_done(window);
        } else {
            holding.on_fenced();
        }
    }

    /// Processes a report at the platform. `is_late` tells whether its caller may have lost the duty since it was sent.
    fn accept(&mut self, sent: &Sent, is_late: bool) -> bool {
        let known = *self.holders.entry(sent.number).or_insert(sent.node);
        if known != sent.node {
            let vm = &self.nodes[sent.node].vm;
            let what = format!("{vm} uses the number {} of vm-{known}", sent.number);
            self.violate(what);
        }
        if sent.number < self.highest {
            if !is_late {
                self.violate(format!("a holder acts after it lost the duty: {sent:?}"));
            }
            return false;
        }
        self.highest = sent.number;
        self.last_accepted_at = self.now;
        let report = self
            .accepted
            .entry(sent.report.window)
            .or_insert_with(|| sent.report.clone());
        if *report != sent.report {
            let what = format!("window {} has two reports", sent.report.window);
            self.violate(what);
        }
        true
    }
}

fn first_violation(defect: Defect) -> Option<(u64, String)> {
    let mut runs = (0..SEEDS).map(|seed| (seed, World::new(defect, seed).run()));
    runs.find_map(|(seed, violation)| Some((seed, violation?)))
}

/// Guards against two reports for one window, two holders with one number, a holder that acts after its lease, and a duty
/// that nobody takes over.
#[test]
fn holders_never_contradict_each_other() {
    assert_eq!(first_violation(Defect::None), None);
}

/// Guards against an exploration that would not notice these faults.
#[test]
fn exploration_detects_defects() {
    let defects = [
        Defect::SendBeforeWrite,
        Defect::WriteWithoutCompare,
        Defect::NumberNotRaised,
        Defect::ClockStopsAsleep,
        Defect::EraIgnored,
    ];
    let undetected: Vec<_> = defects
        .into_iter()
        .filter(|defect| first_violation(*defect).is_none())
        .collect();
    assert_eq!(undetected, []);
}

/// Guards against calls counted in wrong windows when the time of day jumps, and against a process that starts with a wrong
/// clock and stays there.
#[test]
fn jumps_of_a_clock_do_not_move_windows() {
    let at = Duration::from_secs;
    let mut time = TrueTime::default();
    time.observe(at(1), 100_001_000);
    time.observe(at(2), 100_002_000 + 8_000);
    time.observe(at(3), 100_003_000 - 3_000);
    assert_eq!(time.at(at(3)), Some(at(100_003)));
    let mut started_in_jump = TrueTime::default();
    started_in_jump.observe(at(3), 100_003_000 + 8_000);
    started_in_jump.on_peer(at(4), 1, 100_004_000);
    started_in_jump.on_peer(at(4), 2, 100_004_020);
    started_in_jump.observe(at(4), 100_004_000 + 8_000);
    assert_eq!(
        started_in_jump.at(at(4)),
        Some(Duration::from_millis(100_004_020))
    );
}

/// Guards against counts that are lost with a message or a receiver, or counted twice.
#[test]
fn counts_arrive_once_despite_lost_messages() {
    let mut random = StdRng::seed_from_u64(5);
    let mut sender = UsageSender::default();
    let (mut book, mut received) = (UsageBook::default(), 0);
    let mut begun: HashMap<u64, u64> = HashMap::new();
    let mut receiver_boot = 1;
    let mut deliver = |sender: &mut UsageSender, is_lost: bool, restarts: bool| {
        if restarts {
            (book, received) = (UsageBook::default(), 0);
            receiver_boot += 1;
        }
        let pending = sender.pending(9, 220);
        if let Some((base, sequence, items)) = pending.filter(|_| !is_lost) {
            book.merge(4, (7, 1), items);
            if base <= received {
                received = received.max(sequence);
            }
            sender.on_acknowledged(9, receiver_boot, received);
        }
        book.sums(4)
    };
    for round in 0..200 {
        for _ in 0..random.random_range(0..40) {
            let workspace = random.random_range(0..60);
            sender.on_begun(4, workspace);
            *begun.entry(workspace).or_default() += 1;
        }
        deliver(&mut sender, random.random_range(0..3) == 0, round == 150);
    }
    let mut sums = HashMap::new();
    for _ in 0..20 {
        sums = deliver(&mut sender, false, false);
    }
    assert_eq!(sums, begun);
}

/// Guards against tables that grow without bound when counts name odd windows.
#[test]
fn counts_of_odd_windows_are_ignored() {
    let mut book = UsageBook::default();
    let items = [0, 93, 94, 95, 101, 102, u64::MAX].map(|window| UsageItem {
        window,
        workspace: 1,
        count: 1,
    });
    assert_eq!(book.merge(100, (7, 1), items), 5);
}
