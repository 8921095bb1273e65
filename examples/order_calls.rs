//! Measures the number of calls to the key-value service per order and the latency of claims, on a virtual clock.
//!
//! ```text
//! cargo run --release --example order_calls -- [--seconds N] [--seed N]
//! ```
//!
//! Shards are assigned to sidecars by rendezvous hashing, and each sidecar runs the production code of the order log. A
//! call to the key-value service takes 3 ms, an order at its backend server 30 ms. Orders arrive as a Poisson process.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use getopts::Options;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tanagerford_core::order::{OrderKey, Owner, PacerLimits, shard_owner};
use tanagerford_kv::kv::{
    Call, Commit, KeyValue, Kv, LeaseId, Revision, Transaction, WatchEvent, Write,
};
use tanagerford_kv::memory::Memory;
use tanagerford_node::orders::{
    ClaimDecision, OrderClock, OrderLogCore, OrderRequest, OrderSettings, StoredResponse, Ticket,
};

const POOL: &str = "orders";
const KV_CALL_TIME: Duration = Duration::from_millis(3);
const BACKEND_TIME: Duration = Duration::from_millis(30);
const UNIX_START: Duration = Duration::from_secs(1_700_000_000);

/// Virtual clock in microseconds.
#[derive(Debug, Clone, Default)]
struct Clock {
    now_us: Arc<AtomicU64>,
}

impl Clock {
    fn now(&self) -> Duration {
        Duration::from_micros(self.now_us.load(Ordering::Relaxed))
    }

    fn advance_to(&self, time: Duration) {
        let time_us = u64::try_from(time.as_nanos().div_ceil(1_000)).unwrap_or(u64::MAX);
        self.now_us.fetch_max(time_us, Ordering::Relaxed);
    }
}

/// In-memory key-value service whose reads and commits advance the virtual clock. It counts the bytes that are written.
#[derive(Debug)]
struct SlowKv {
    inner: Memory,
    clock: Clock,
    written_bytes: AtomicU64,
}

impl SlowKv {
    fn advance_clock(&self) {
        self.clock.advance_to(self.clock.now() + KV_CALL_TIME);
    }
}

impl Kv for SlowKv {
    fn get(&self, key: &str, timeout: Duration) -> Call<Option<KeyValue>> {
        self.advance_clock();
        self.inner.get(key, timeout)
    }

    fn list(&self, prefix: &str, timeout: Duration) -> Call<Vec<KeyValue>> {
        self.advance_clock();
        self.inner.list(prefix, timeout)
    }

    fn commit(&self, transaction: &Transaction, timeout: Duration) -> Call<Commit> {
        self.advance_clock();
        let bytes_of = |write: &Write| match write {
            Write::Put { value, .. } => value.len() as u64,
            Write::Delete { .. } => 0,
        };
        let bytes = transaction.writes.iter().map(bytes_of).sum();
        self.written_bytes.fetch_add(bytes, Ordering::Relaxed);
        let committed = self.inner.commit(transaction, timeout);
        // This program has no watches. Without compaction, the stored events would retain a copy of every written page.
        self.inner.compact();
        committed
    }

    fn grant_lease(&self, ttl: Duration, timeout: Duration) -> Call<LeaseId> {
        self.inner.grant_lease(ttl, timeout)
    }

    fn renew_lease(&self, lease: LeaseId, timeout: Duration) -> Call<Duration> {
        self.inner.renew_lease(lease, timeout)
    }

    fn revoke_lease(&self, lease: LeaseId, timeout: Duration) -> Call<()> {
        self.inner.revoke_lease(lease, timeout)
    }

    fn watch(&self, prefix: &str, from: Revision, timeout: Duration) -> Call<Vec<WatchEvent>> {
        self.inner.watch(prefix, from, timeout)
    }
}

/// Parameters of one row of the table.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    sidecars: u32,
    orders_per_s: u32,
    pacer: PacerLimits,
}

/// Results of one row of the table, summed over all sidecars.
#[derive(Debug)]
struct Measurement {
    orders: u64,
    calls: u64,
    written_bytes: u64,
    /// Time from the arrival of an order until its claim is stored.
    claim_delay_us: Histogram<u64>,
}

struct Arrival {
    at: Duration,
    key: OrderKey,
}

/// Sidecar with its orders on its own virtual clock. Sidecars do not share shards and therefore need no common clock.
struct Sidecar<'a> {
    clock: Clock,
    core: OrderLogCore,
    waiting: Vec<(Duration, OrderRequest, Ticket)>,
    running: BinaryHeap<Reverse<(Duration, OrderKey)>>,
    measurement: &'a mut Measurement,
}

impl Sidecar<'_> {
    /// Runs until all orders are complete and the order log has no further work.
    fn run(&mut self, arrivals: &[Arrival]) {
        let mut arrivals = arrivals.iter().peekable();
        loop {
            let arrival_at = arrivals.peek().map(|arrival| arrival.at);
            let finish_at = self.running.peek().map(|Reverse((at, _))| *at);
            let due_at = self.core.due_at();
            let Some(next_at) = [arrival_at, finish_at, due_at].into_iter().flatten().min() else {
                return;
            };
            self.clock.advance_to(next_at);
            let now = self.clock.now();
            while let Some(arrival) = arrivals.next_if(|arrival| arrival.at <= now) {
                let order = OrderRequest {
                    key: arrival.key,
                    body: 1,
                    released: None,
                };
                self.waiting.push((arrival.at, order, Ticket::default()));
            }
            self.finish_orders(now);
            self.poll_claims();
            self.core.step();
            self.poll_claims();
        }
    }

    /// Records the responses of all orders that are complete at `now`.
    fn finish_orders(&mut self, now: Duration) {
        while let Some(Reverse((at, key))) = self.running.peek().copied() {
            if at > now {
                return;
            }
            self.running.pop();
            let response = StoredResponse {
                status: 200,
                headers: Vec::new(),
                body: Vec::new().into(),
            };
            self.core.finish(&key, response);
        }
    }

    /// Starts the waiting orders whose claims are stored.
    fn poll_claims(&mut self) {
        let (core, running, measurement) = (&self.core, &mut self.running, &mut self.measurement);
        let now = self.clock.now();
        self.waiting
            .retain_mut(|(at, order, ticket)| match core.try_claim(order, ticket) {
                None => true,
                Some(ClaimDecision::Run(_)) => {
                    let delay_us =
                        u64::try_from(now.saturating_sub(*at).as_micros()).unwrap_or(u64::MAX);
                    measurement.claim_delay_us.saturating_record(delay_us);
                    running.push(Reverse((now + BACKEND_TIME, order.key)));
                    measurement.orders += 1;
                    false
                }
                Some(decision) => panic!("unexpected claim decision: {decision:?}"),
            });
    }
}

/// Returns the arrivals of each sidecar, with exponentially distributed intervals between orders.
fn arrivals(case: &Case, seconds: u32, seed: u64) -> BTreeMap<u32, Vec<Arrival>> {
    let servers: Vec<String> = (0..case.sidecars)
        .map(|number| format!("w{number}"))
        .collect();
    let shards = settings(0, case).shards;
    let owners: Vec<u32> = (0..shards)
        .map(|shard| {
            let owner = shard_owner(POOL, shard, servers.iter().map(String::as_str));
            let owner = servers
                .iter()
                .position(|server| Some(server.as_str()) == owner);
            u32::try_from(owner.unwrap_or(0)).unwrap_or(0)
        })
        .collect();
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let end = Duration::from_secs(u64::from(seconds));
    let mut arrivals: BTreeMap<u32, Vec<Arrival>> = BTreeMap::new();
    let mut at = Duration::ZERO;
    for number in 0_u64.. {
        let uniform: f64 = random.random();
        at += Duration::from_secs_f64(-(1.0 - uniform).ln() / f64::from(case.orders_per_s));
        if at >= end {
            break;
        }
        let key = OrderKey::new("north", &number.to_string());
        let owner = owners[key.shard(shards) as usize];
        arrivals.entry(owner).or_default().push(Arrival { at, key });
    }
    arrivals
}

fn settings(sidecar: u32, case: &Case) -> OrderSettings {
    let owner = Owner {
        server: format!("w{sidecar}"),
        incarnation: 1,
    };
    OrderSettings {
        pacer: case.pacer,
        ..OrderSettings::new(POOL, owner)
    }
}

fn measure(case: &Case, seconds: u32, seed: u64) -> Measurement {
    let claim_delay_us =
        Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|error| panic!("{error}"));
    let mut measurement = Measurement {
        orders: 0,
        calls: 0,
        written_bytes: 0,
        claim_delay_us,
    };
    let memory = Memory::new();
    for (number, arrivals) in arrivals(case, seconds, seed) {
        let clock = Clock::default();
        let kv = Arc::new(SlowKv {
            inner: memory.client(),
            clock: clock.clone(),
            written_bytes: AtomicU64::new(0),
        });
        let order_clock = clock.clone();
        let order_clock = OrderClock::from_fn(move || order_clock.now(), UNIX_START);
        let core = OrderLogCore::new(kv.clone(), settings(number, case), order_clock);
        core.set_owned_shards(&(0..16).collect::<Vec<u32>>());
        core.step();
        let calls_before = core.counts().calls;
        let mut sidecar = Sidecar {
            clock,
            core,
            waiting: Vec::new(),
            running: BinaryHeap::new(),
            measurement: &mut measurement,
        };
        sidecar.run(&arrivals);
        let calls = sidecar.core.counts().calls - calls_before;
        measurement.calls += calls;
        measurement.written_bytes += kv.written_bytes.load(Ordering::Relaxed);
    }
    measurement
}

fn cases() -> Vec<Case> {
    let unlimited = PacerLimits {
        write_interval: Duration::ZERO,
        completion_delay: Duration::ZERO,
        ..PacerLimits::default()
    };
    let writers = [
        ("shared, 3 writers", 3, PacerLimits::shared(80, 3)),
        ("shared, 16 writers", 16, PacerLimits::shared(80, 16)),
        ("unlimited, 3 writers", 3, unlimited),
    ];
    let mut cases = Vec::new();
    for (name, sidecars, pacer) in writers {
        let rates = [1, 10, 100, 1_000];
        cases.extend(rates.map(|orders_per_s| Case {
            name,
            sidecars,
            orders_per_s,
            pacer,
        }));
    }
    cases
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts and microseconds of a short run fit into 53 bits"
)]
fn table_row(case: &Case, measurement: &Measurement) -> String {
    let orders = measurement.orders.max(1) as f64;
    let delay_ms =
        |quantile| measurement.claim_delay_us.value_at_quantile(quantile) as f64 / 1_000.0;
    format!(
        "| {} | {} | {} | {} | {:.3} | {:.1} | {:.1} | {:.1} | {:.0} |",
        case.name,
        case.orders_per_s,
        measurement.orders,
        measurement.calls,
        measurement.calls as f64 / orders,
        delay_ms(0.5),
        delay_ms(0.99),
        delay_ms(1.0),
        measurement.written_bytes as f64 / orders / 1_000.0,
    )
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seconds", "virtual seconds per row, default 30", "N");
    options.optopt("", "seed", "seed of the arrivals, default 1", "N");
    let parsed = options.parse(std::env::args().skip(1));
    let Ok(parsed) = parsed else {
        eprint!("{}", options.usage("order_calls [--seconds N] [--seed N]"));
        return ExitCode::from(2);
    };
    let (Ok(seconds), Ok(seed)) = (
        parsed.opt_get_default("seconds", 30),
        parsed.opt_get_default("seed", 1),
    ) else {
        eprint!("{}", options.usage("order_calls [--seconds N] [--seed N]"));
        return ExitCode::from(2);
    };
    println!(
        "| writer | orders/s | orders | calls | calls per order | claim p50 ms | p99 ms | max ms | KB per order |"
    );
    println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    let rows = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for (number, case) in cases().into_iter().enumerate() {
            let rows = &rows;
            scope.spawn(move || {
                let row = table_row(&case, &measure(&case, seconds, seed));
                if let Ok(mut rows) = rows.lock() {
                    rows.insert(number, row);
                }
            });
        }
    });
    for row in rows.into_inner().unwrap_or_default().values() {
        println!("{row}");
    }
    ExitCode::SUCCESS
}
