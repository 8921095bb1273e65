//! Cost of the decisions for one request: server selection at the entry and admission at the sidecar.
//!
//! Each iteration starts and ends one request: in the steady state the oldest request ends when a new one starts.

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use tanagerford_core::admission::{
    Action, Admission, AdmissionSettings, ClassSettings, FinishKind, Request,
};
use tanagerford_core::routing::{
    Attempt, LoadHint, ResponseMeasurements, RouteRequest, Router, RouterSettings, Server,
};
use tanagerford_core::straggler::PaceSample;

const POOL: &str = "chat";
const TIERS: u8 = 4;
const ZONES: usize = 8;
const WORKERS: usize = 860;
const WORKSPACES: u64 = 1100;
/// Requests that the entry has in flight per server.
const IN_FLIGHT_PER_SERVER: usize = 2;
/// Time between two requests at the entry.
const ENTRY_GAP: Duration = Duration::from_micros(250);
/// Time between two requests at the sidecar.
const SIDECAR_GAP: Duration = Duration::from_millis(50);
/// Wait limit with which admission sheds load early, so that only a few requests wait.
const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Wait limit with which the queues fill up.
const LONG_WAIT_LIMIT: Duration = Duration::from_hours(1);

/// Returns the workspace of the `number`-th request, which also determines its prefix and tier.
fn workspace(number: u64, workspaces: u64) -> u64 {
    number.wrapping_mul(0x9E37_79B9_7F4A_7C15) % workspaces
}

fn tier(workspace: u64) -> u8 {
    u8::try_from(workspace % u64::from(TIERS)).expect("tiers are few")
}

/// An entry in the steady state.
struct Entry {
    router: Router,
    workspaces: u64,
    has_prefix: bool,
    in_flight: VecDeque<Attempt>,
    number: u64,
    now: Duration,
}

impl Entry {
    fn new(workers: usize, workspaces: u64, has_prefix: bool) -> Self {
        let mut router = Router::new(RouterSettings {
            tiers: TIERS,
            zone: "z0".into(),
            region_zones: Vec::new(),
            seed: 1,
        });
        let servers = (0..workers).map(|number| Server {
            id: format!("worker-{number}"),
            zone: format!("z{}", number % ZONES),
            incarnation: 1,
            leaving: false,
        });
        router.set_servers(Duration::ZERO, POOL, servers);
        let mut entry = Self {
            router,
            workspaces,
            has_prefix,
            in_flight: VecDeque::new(),
            number: 0,
            now: Duration::ZERO,
        };
        for _ in 0..workers * IN_FLIGHT_PER_SERVER {
            let attempt = entry.begin();
            entry.in_flight.push_back(attempt);
        }
        for _ in 0..workers * 10 {
            entry.request();
        }
        entry.router.on_tick(entry.now);
        entry
    }

    fn begin(&mut self) -> Attempt {
        self.number += 1;
        self.now += ENTRY_GAP;
        let workspace = workspace(self.number, self.workspaces);
        let request = RouteRequest {
            pool: POOL,
            tier: tier(workspace),
            prefix_hash: self.has_prefix.then_some(workspace),
        };
        let choice = self.router.choose(self.now, &request, &[]);
        choice.expect("a server is usable").attempt
    }

    fn request(&mut self) {
        let attempt = self.begin();
        self.in_flight.push_back(attempt);
        let oldest = self.in_flight.pop_front().expect("requests are in flight");
        let busy = u32::try_from(self.number % 7).expect("small");
        let answer = ResponseMeasurements {
            load: Some(LoadHint {
                running: 4 * busy,
                batch_limit: 32,
                busy_by_tier: vec![busy; usize::from(TIERS)],
                leaving: false,
            }),
            first_token: Some(Duration::from_millis(200 + 10 * self.number % 13)),
            pace: Some(PaceSample::Tokens {
                tokens: 200,
                elapsed: Duration::from_secs(6),
                batch: 4 * busy,
            }),
            prompt_tokens: 1000,
        };
        self.router.on_response(self.now, oldest, &answer);
    }
}

/// A sidecar that receives twice the load that it can run.
struct Sidecar {
    admission: Admission,
    workspaces: u64,
    wait_limit: Duration,
    running: VecDeque<u64>,
    number: u64,
    now: Duration,
}

impl Sidecar {
    fn new(workspaces: u64, wait_limit: Duration) -> Self {
        let class = ClassSettings {
            longest_wait: wait_limit,
            ..ClassSettings::default()
        };
        let settings = AdmissionSettings {
            classes: [("chat".to_owned(), class)].into(),
            reserved_permille: vec![400, 200, 100, 50],
            prior_batch: 64,
            ..AdmissionSettings::default()
        };
        let mut sidecar = Self {
            admission: Admission::new(settings),
            workspaces,
            wait_limit,
            running: VecDeque::new(),
            number: 0,
            now: Duration::ZERO,
        };
        for _ in 0..5000 {
            sidecar.request();
        }
        sidecar
    }

    fn request(&mut self) {
        self.number += 1;
        self.now += SIDECAR_GAP;
        let workspace = workspace(self.number, self.workspaces);
        let request = Request {
            id: self.number,
            tier: tier(workspace),
            class: "chat".to_owned(),
            workspace: format!("workspace-{workspace}"),
            model: "small".to_owned(),
            prompt_tokens: 1000,
            max_tokens: 400,
            wait_limit: self.wait_limit,
            deadline: self.now + self.wait_limit + Duration::from_mins(1),
            resumable: true,
            max_other_requests: None,
        };
        let actions = self.admission.offer(self.now, request);
        self.apply(actions);
        if self.number.is_multiple_of(2) {
            self.finish_oldest();
        }
    }

    fn finish_oldest(&mut self) {
        let Some(id) = self.running.pop_front() else {
            return;
        };
        black_box(self.admission.on_token(self.now, id, 200));
        let actions = self.admission.on_finish(self.now, id, FinishKind::Complete);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { id } => self.running.push_back(id),
                Action::Preempt { id, .. } => self.running.retain(|&running| running != id),
                Action::Refuse { .. } => {}
            }
        }
    }
}

fn choice_by_workers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice_by_workers");
    for (name, has_prefix) in [("prefix", true), ("no_prefix", false)] {
        for workers in [WORKERS / 16, WORKERS / 4, WORKERS, WORKERS * 4] {
            let mut entry = Entry::new(workers, WORKSPACES, has_prefix);
            let id = BenchmarkId::new(name, workers);
            group.bench_function(id, |bencher| bencher.iter(|| entry.request()));
        }
    }
}

fn choice_by_workspaces(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice_by_workspaces");
    for workspaces in [WORKSPACES / 16, WORKSPACES / 4, WORKSPACES, WORKSPACES * 4] {
        let mut entry = Entry::new(WORKERS, workspaces, true);
        let id = BenchmarkId::from_parameter(workspaces);
        group.bench_function(id, |bencher| bencher.iter(|| entry.request()));
    }
}

fn admission_by_workspaces(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission_by_workspaces");
    for (name, wait_limit) in [("short_queue", WAIT_LIMIT), ("long_queue", LONG_WAIT_LIMIT)] {
        for workspaces in [WORKSPACES / 16, WORKSPACES / 4, WORKSPACES, WORKSPACES * 4] {
            let mut sidecar = Sidecar::new(workspaces, wait_limit);
            let id = BenchmarkId::new(name, workspaces);
            group.bench_function(id, |bencher| bencher.iter(|| sidecar.request()));
        }
    }
}

fn choice_and_admission(criterion: &mut Criterion) {
    let mut entry = Entry::new(WORKERS, WORKSPACES, true);
    let mut sidecar = Sidecar::new(WORKSPACES, WAIT_LIMIT);
    criterion.bench_function("choice_and_admission", |bencher| {
        bencher.iter(|| {
            entry.request();
            sidecar.request();
        });
    });
}

/// Periodic work of the entry, once per second, for comparison; it is not part of a request.
fn tick(criterion: &mut Criterion) {
    let mut entry = Entry::new(WORKERS, WORKSPACES, true);
    criterion.bench_function("tick_per_second", |bencher| {
        bencher.iter(|| entry.router.on_tick(entry.now));
    });
}

/// Short measurements, so that a run takes about a minute.
fn settings() -> Criterion {
    Criterion::default()
        .warm_up_time(Duration::from_secs(1))
        .measurement_time(Duration::from_secs(3))
}

criterion_group!(
    name = benches;
    config = settings();
    targets = choice_by_workers,
    choice_by_workspaces,
    admission_by_workspaces,
    choice_and_admission,
    tick
);
criterion_main!(benches);
