//! Time and memory of request handling: choice of a server, admission, output-length estimates and crash suspicion.

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::{Duration, Instant};

use tanagerford_core::admission::{
    Action, Admission, AdmissionSettings, ClassSettings, FinishKind, Request,
};
use tanagerford_core::estimate::{EstimateKey, OutputEstimator};
use tanagerford_core::routing::{
    Attempt, LoadHint, ResponseMeasurements, RouteRequest, Router, RouterSettings, Server,
};
use tanagerford_core::straggler::PaceSample;
use tanagerford_core::suspect::{RunningRequest, SuspectLimits, SuspectTable};

use crate::fleet::ratio;
use crate::{POOLS, TIERS, WORKSPACES, ZONES, resident_bytes, time_us};

/// In-flight requests of an entry per server.
const IN_FLIGHT_PER_SERVER: usize = 2;

/// Time between two requests that arrive at a sidecar; the rate is twice its capacity.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of request classes in the estimator's keys.
const CLASS_COUNT: usize = 3;

/// Cost of routing at one number of servers.
pub struct RouterCost {
    pub servers: usize,
    pub bytes_per_server: f64,
    pub request_us: f64,
    pub tick_us: f64,
}

/// Cost of admission at one wait limit.
pub struct AdmissionCost {
    pub wait_limit: Duration,
    /// Mean queue length.
    pub waiting: f64,
    pub request_us: f64,
}

/// Cost of an estimator of output lengths.
pub struct EstimatorCost {
    pub keys_per_tier: usize,
    pub keys_recorded: usize,
    pub keys_retained: usize,
    pub bytes: usize,
    pub record_us: f64,
}

/// Memory of a suspicion table at its maximum size.
pub struct SuspectCost {
    /// Crash records per fingerprint.
    pub records: usize,
    pub entries: usize,
    pub bytes: usize,
}

/// Entry that routes requests to all pools on a virtual clock.
struct Entry {
    router: Router,
    pools: Vec<String>,
    in_flight: VecDeque<Attempt>,
    request_number: usize,
    now: Duration,
}

impl Entry {
    fn new(servers: usize) -> Self {
        let mut router = Router::new(RouterSettings {
            tiers: TIERS,
            zone: "zone-0".into(),
            region_zones: Vec::new(),
            seed: 1,
        });
        let pools: Vec<String> = (0..POOLS).map(|pool| format!("model-{pool:02}")).collect();
        for (number, pool) in pools.iter().enumerate() {
            let pool_servers = (number..servers).step_by(POOLS).map(|server| Server {
                id: format!("sidecar-{server:05}"),
                zone: format!("zone-{}", server / POOLS % ZONES),
                incarnation: 1,
                leaving: false,
            });
            router.set_servers(Duration::ZERO, pool, pool_servers);
        }
        let mut entry = Self {
            router,
            pools,
            in_flight: VecDeque::new(),
            request_number: 0,
            now: Duration::ZERO,
        };
        for _ in 0..servers * IN_FLIGHT_PER_SERVER {
            entry.start_request();
        }
        for _ in 0..servers * 20 {
            entry.replace_oldest_request();
        }
        entry.router.on_tick(entry.now);
        entry
    }

    fn start_request(&mut self) {
        self.request_number += 1;
        self.now += Duration::from_micros(250);
        let workspace = self.request_number * 7 % WORKSPACES;
        let request = RouteRequest {
            pool: &self.pools[self.request_number % POOLS],
            tier: tier(workspace),
            prefix_hash: u64::try_from(workspace).ok(),
        };
        if let Some(choice) = self.router.choose(self.now, &request, &[]) {
            self.in_flight.push_back(choice.attempt);
        }
    }

    /// Starts a request and completes the oldest one.
    fn replace_oldest_request(&mut self) {
        self.start_request();
        let Some(oldest) = self.in_flight.pop_front() else {
            return;
        };
        let busy = u32::try_from(self.request_number % 7).unwrap_or_default();
        let answer = ResponseMeasurements {
            load: Some(LoadHint {
                running: 4 * busy,
                batch_limit: 32,
                busy_by_tier: vec![busy; usize::from(TIERS)],
                leaving: false,
            }),
            first_token: Some(Duration::from_millis(200)),
            pace: Some(PaceSample::Tokens {
                tokens: 200,
                elapsed: Duration::from_secs(6),
                batch: 4 * busy,
            }),
            prompt_tokens: 1_000,
        };
        self.router.on_response(self.now, oldest, &answer);
    }
}

fn tier(workspace: usize) -> u8 {
    u8::try_from(workspace % usize::from(TIERS)).unwrap_or_default()
}

/// Measures the router with `servers` servers in all pools.
pub fn router_cost(servers: usize) -> RouterCost {
    const ROUTERS: usize = 8;
    let before = resident_bytes();
    let mut entries: Vec<Entry> = (0..ROUTERS).map(|_| Entry::new(servers)).collect();
    let bytes = resident_bytes().saturating_sub(before);
    let entry = &mut entries[0];
    let request_us = time_us(50_000, || entry.replace_oldest_request());
    let tick_us = time_us(500, || entry.router.on_tick(entry.now));
    // Leaked, because the next measurement would reuse freed memory, which would hide its growth.
    std::mem::forget(entries);
    RouterCost {
        servers,
        bytes_per_server: ratio(bytes, servers * ROUTERS),
        request_us,
        tick_us,
    }
}

/// Sidecar that admits requests on a virtual clock.
struct Sidecar {
    admission: Admission,
    wait_limit: Duration,
    running: VecDeque<u64>,
    request_number: u64,
    now: Duration,
}

impl Sidecar {
    /// Offers a request, and completes the oldest running one at every second call.
    fn offer_request(&mut self) {
        self.request_number += 1;
        self.now += ARRIVAL_INTERVAL;
        let workspace = usize::try_from(self.request_number).unwrap_or_default() * 7 % WORKSPACES;
        let request = Request {
            id: self.request_number,
            tier: tier(workspace),
            class: "chat".to_owned(),
            workspace: format!("workspace-{workspace:04}"),
            model: "model-00".to_owned(),
            prompt_tokens: 1_000,
            max_tokens: 400,
            wait_limit: self.wait_limit,
            deadline: self.now + self.wait_limit + Duration::from_mins(1),
            resumable: true,
            max_other_requests: None,
        };
        let actions = self.admission.offer(self.now, request);
        self.apply(actions);
        if !self.request_number.is_multiple_of(2) {
            return;
        }
        if let Some(id) = self.running.pop_front() {
            black_box(self.admission.on_token(self.now, id, 200));
            let actions = self.admission.on_finish(self.now, id, FinishKind::Complete);
            self.apply(actions);
        }
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { id } => self.running.push_back(id),
                Action::Preempt { id, .. } => self.running.retain(|running| *running != id),
                Action::Refuse { .. } => {}
            }
        }
    }
}

/// Measures admission at twice the capacity. The wait limit determines how many requests wait.
pub fn admission_cost(wait_limit: Duration) -> AdmissionCost {
    const REQUESTS: u32 = 4_000;
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
    let mut sidecar = Sidecar {
        admission: Admission::new(settings),
        wait_limit,
        running: VecDeque::new(),
        request_number: 0,
        now: Duration::ZERO,
    };
    for _ in 0..5_000 {
        sidecar.offer_request();
    }
    let before = sidecar.admission.load().waiting;
    let request_us = time_us(REQUESTS, || sidecar.offer_request());
    let after = sidecar.admission.load().waiting;
    AdmissionCost {
        wait_limit,
        waiting: f64::from(before + after) / 2.0,
        request_us,
    }
}

/// Measures an estimator after responses for every combination of class, model and workspace.
pub fn estimator_cost(keys_per_tier: usize) -> EstimatorCost {
    const SAMPLES: u32 = 4;
    let before = resident_bytes();
    let started_at = Instant::now();
    let mut estimator = OutputEstimator::new(200, keys_per_tier);
    let mut keys_recorded = 0;
    for class in (0..CLASS_COUNT).map(|class| format!("class-{class}")) {
        for model in (0..POOLS).map(|model| format!("model-{model:02}")) {
            for workspace in 0..WORKSPACES {
                let key = EstimateKey {
                    tier: tier(workspace),
                    class: &class,
                    model: &model,
                    workspace: &format!("workspace-{workspace:04}"),
                };
                for sample in 0..SAMPLES {
                    estimator.record(key, 50 + sample * 200);
                }
                keys_recorded += 1;
            }
        }
    }
    let bytes = resident_bytes().saturating_sub(before);
    let record_us =
        started_at.elapsed().as_secs_f64() * 1e6 / ratio(keys_recorded, 1) / f64::from(SAMPLES);
    let keys_retained = estimator.len();
    std::mem::forget(estimator);
    EstimatorCost {
        keys_per_tier,
        keys_recorded,
        keys_retained,
        bytes,
        record_us,
    }
}

/// Measures a suspicion table at its maximum size with `records` crash records per fingerprint.
pub fn suspect_cost(records: u64) -> SuspectCost {
    let limits = SuspectLimits::default();
    let entries = u64::try_from(limits.entries).unwrap_or_default();
    let per_workspace = u64::try_from(limits.workspace_entries).unwrap_or(1);
    let running: Vec<RunningRequest> = (0..entries)
        .map(|number| RunningRequest {
            fingerprint: number.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            workspace: number / per_workspace,
        })
        .collect();
    let before = resident_bytes();
    let mut table = SuspectTable::new(limits);
    for (batch, running) in (0_u64..).zip(running.chunks(32)) {
        for crash in 0..records {
            table.on_crash(Duration::from_secs(1), batch * records + crash, running);
        }
    }
    let bytes = resident_bytes().saturating_sub(before);
    let entries = table.len();
    std::mem::forget(table);
    SuspectCost {
        records: usize::try_from(records).unwrap_or_default(),
        entries,
        bytes,
    }
}
