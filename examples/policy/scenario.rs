//! Deployments, scenarios and their random arrivals.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tanagerford_core::config::{Class, Configuration, LatencyTarget, Tier};

use crate::engine;
use crate::report::to_f64;

/// Period in which requests arrive.
pub const ARRIVAL_SECS: f64 = 120.0;
/// Calls that an application worker runs at the same time.
pub const WORKER_CONCURRENCY: u32 = 8;
/// Share of each tier in the load, highest tier first.
const TIER_SHARES: [f64; 4] = [0.30, 0.30, 0.25, 0.15];
/// Shares of the workspaces in the load of each tier; a few workspaces are large.
const WORKSPACES: [&[f64]; 4] = [
    &[0.6, 0.25, 0.15],
    &[0.5, 0.3, 0.2],
    &[0.7, 0.3],
    &[0.8, 0.2],
];

/// Class of requests: model requests, or calls to an application worker.
#[derive(Clone, Copy)]
pub struct ClassSpec {
    pub name: &'static str,
    /// Tokens of the prompt prefix that requests of a workspace share, of the rest of the prompt, and of the mean response.
    /// All zero for calls.
    pub tokens: [u32; 3],
    /// Mean duration of a call; zero for model requests.
    pub call_ms: f64,
    /// Target of the time to the first token, or to the whole response of a call.
    pub target_ms: u64,
    pub longest_wait_ms: u64,
    pub priority: u8,
    /// Share of the pool's capacity that the class uses at load 1.
    pub share: f64,
}

/// Target of the mean time between tokens for all model classes.
pub const TOKEN_GAP_MS: u64 = 45;

#[derive(Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub engines: usize,
    pub workers: usize,
    pub zones: usize,
    pub classes: [ClassSpec; 4],
}

const fn model(
    name: &'static str,
    tokens: [u32; 3],
    limits_ms: [u64; 2],
    priority: u8,
    share: f64,
) -> ClassSpec {
    let [target_ms, longest_wait_ms] = limits_ms;
    ClassSpec {
        name,
        tokens,
        call_ms: 0.0,
        target_ms,
        longest_wait_ms,
        priority,
        share,
    }
}

const fn call(
    name: &'static str,
    call_ms: f64,
    limits_ms: [u64; 2],
    priority: u8,
    share: f64,
) -> ClassSpec {
    let [target_ms, longest_wait_ms] = limits_ms;
    ClassSpec {
        name,
        tokens: [0; 3],
        call_ms,
        target_ms,
        longest_wait_ms,
        priority,
        share,
    }
}

pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "zarqa",
        engines: 9,
        workers: 4,
        zones: 4,
        classes: [
            model("preflight", [4_000, 600, 120], [2_500, 6_000], 0, 0.6),
            model("proof-note", [1_500, 200, 300], [4_000, 12_000], 1, 0.4),
            call("plate-burn", 400.0, [3_000, 5_000], 0, 0.8),
            call("ink-lookup", 150.0, [1_000, 3_000], 1, 0.2),
        ],
    },
    Deployment {
        name: "dalisay",
        engines: 12,
        workers: 3,
        zones: 3,
        classes: [
            model("quote", [2_000, 300, 250], [2_000, 5_000], 0, 0.5),
            model("chat", [800, 150, 150], [1_000, 4_000], 1, 0.5),
            call("reorder", 350.0, [3_000, 5_000], 0, 0.8),
            call("stock", 150.0, [800, 2_000], 1, 0.2),
        ],
    },
];

#[derive(Clone)]
pub struct Scenario {
    pub name: String,
    pub deployment: Deployment,
    /// Mean load relative to the capacity of the pools.
    pub load: f64,
    /// Class whose request rate is multiplied by five from 40 s to 70 s.
    pub burst_class: Option<usize>,
    /// Factor on the load of the lowest tier.
    pub lowest_tier_factor: f64,
    /// Sigma of the log-normal distribution of response lengths and call durations.
    pub size_sigma: f64,
    /// Whether one engine is three times as slow as the others.
    pub has_straggler: bool,
    /// Whether an engine crashes at 50 s.
    pub has_crash: bool,
    /// Whether copies of a request arrive that crashes the engine that runs it.
    pub has_poison: bool,
    /// Delay of the engines' load reports.
    pub report_delay: Duration,
}

impl Scenario {
    pub fn has_faults(&self) -> bool {
        self.has_straggler || self.has_crash || self.has_poison
    }
}

pub fn all() -> Vec<Scenario> {
    DEPLOYMENTS.iter().flat_map(scenarios_of).collect()
}

fn scenarios_of(deployment: &Deployment) -> Vec<Scenario> {
    let base = |name: &str| Scenario {
        name: format!("{}-{name}", deployment.name),
        deployment: *deployment,
        load: 0.7,
        burst_class: None,
        lowest_tier_factor: 1.0,
        size_sigma: 0.6,
        has_straggler: false,
        has_crash: false,
        has_poison: false,
        report_delay: Duration::from_secs(1),
    };
    let mut scenarios = vec![
        base("steady-0.7"),
        Scenario {
            load: 2.0,
            ..base("overload-2.0")
        },
        Scenario {
            lowest_tier_factor: 10.0,
            ..base("late-payers-10x")
        },
        Scenario {
            has_straggler: true,
            ..base("straggler")
        },
        Scenario {
            has_crash: true,
            ..base("crash")
        },
        Scenario {
            has_poison: true,
            ..base("poison")
        },
        Scenario {
            size_sigma: 1.5,
            ..base("long-tail")
        },
        Scenario {
            report_delay: Duration::from_secs(15),
            load: 1.2,
            ..base("lagging-reports")
        },
    ];
    for (index, class) in deployment.classes.iter().enumerate() {
        let burst_class = Some(index);
        scenarios.push(Scenario {
            burst_class,
            ..base(&format!("burst-{}", class.name))
        });
    }
    scenarios
}

/// Request as the caller sends it.
#[derive(Clone)]
pub struct Job {
    pub at: Duration,
    pub tier: u8,
    pub class: usize,
    pub workspace: String,
    /// Length of the response; zero for calls.
    pub response_tokens: u32,
    /// Duration of a call; zero for model requests.
    pub call_time: Duration,
    /// Whether the request crashes its engine after some tokens.
    pub is_poison: bool,
}

/// Returns the requests of a scenario in the order of their arrival.
pub fn jobs(scenario: &Scenario, seed: u64) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (class, spec) in scenario.deployment.classes.iter().enumerate() {
        for (tier, share) in (0..).zip(TIER_SHARES) {
            // Each tier and class has its own random number generator, so that its arrivals do not depend on the others.
            let mut rng = Pcg64Mcg::seed_from_u64(seed * 64 + u64::from(tier) * 8 + class as u64);
            let tier_factor = if tier == 3 {
                scenario.lowest_tier_factor
            } else {
                1.0
            };
            let rate = scenario.load * share * tier_factor * class_rate(&scenario.deployment, spec);
            add_arrivals(scenario, class, tier, rate, &mut rng, &mut jobs);
        }
    }
    if scenario.has_poison {
        jobs.extend((0..20).map(poison_job));
    }
    jobs.sort_by_key(|job| (job.at, job.tier, job.class));
    jobs
}

/// Returns the requests per second of a class over all tiers at load 1.
fn class_rate(deployment: &Deployment, spec: &ClassSpec) -> f64 {
    let (servers, secs) = if spec.call_ms > 0.0 {
        (
            to_f64(deployment.workers) * f64::from(WORKER_CONCURRENCY),
            spec.call_ms / 1_000.0,
        )
    } else {
        (
            to_f64(deployment.engines),
            engine::nominal_secs(spec.tokens[1], spec.tokens[2]),
        )
    };
    servers * spec.share / secs
}

fn add_arrivals(
    scenario: &Scenario,
    class: usize,
    tier: u8,
    rate: f64,
    rng: &mut Pcg64Mcg,
    jobs: &mut Vec<Job>,
) {
    let spec = &scenario.deployment.classes[class];
    let mut at = 0.0;
    loop {
        let in_burst = scenario.burst_class == Some(class) && (40.0..70.0).contains(&at);
        let factor = if in_burst { 5.0 } else { 1.0 };
        at += -(1.0 - rng.random::<f64>()).ln() / (rate * factor);
        if at >= ARRIVAL_SECS {
            return;
        }
        let size = log_normal(rng, scenario.size_sigma);
        jobs.push(Job {
            at: Duration::from_secs_f64(at),
            tier,
            class,
            workspace: draw_workspace(tier, rng),
            response_tokens: if spec.call_ms > 0.0 {
                0
            } else {
                clamp_tokens(size * f64::from(spec.tokens[2]))
            },
            call_time: Duration::from_secs_f64(size.min(8.0) * spec.call_ms / 1_000.0),
            is_poison: false,
        });
    }
}

fn poison_job(copy: u64) -> Job {
    Job {
        at: Duration::from_secs(20 + 4 * copy),
        tier: 2,
        class: 0,
        workspace: "t2w0".to_owned(),
        response_tokens: 200,
        call_time: Duration::ZERO,
        is_poison: true,
    }
}

fn draw_workspace(tier: u8, rng: &mut impl Rng) -> String {
    let mut remainder: f64 = rng.random();
    let shares = WORKSPACES[usize::from(tier)];
    let index = shares.iter().position(|share| {
        remainder -= share;
        remainder < 0.0
    });
    format!("t{tier}w{}", index.unwrap_or(0))
}

/// Draws from a log-normal distribution with mean 1 by the Box-Muller transform.
fn log_normal(rng: &mut impl Rng, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    (sigma * normal - sigma * sigma / 2.0).exp()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped"
)]
fn clamp_tokens(value: f64) -> u32 {
    value.clamp(1.0, 4_000.0) as u32
}

/// Returns the configuration that all policies use.
pub fn configuration(deployment: &Deployment) -> Configuration {
    let tier = |name: &str, weight, reserved_permille| Tier {
        name: name.to_owned(),
        weight,
        reserved_permille,
    };
    let class = |spec: &ClassSpec| Class {
        name: spec.name.to_owned(),
        target: if spec.call_ms > 0.0 {
            LatencyTarget::Call {
                total_ms: spec.target_ms,
            }
        } else {
            LatencyTarget::Tokens {
                first_token_ms: spec.target_ms,
                token_gap_ms: TOKEN_GAP_MS,
            }
        },
        priority: spec.priority,
        longest_wait_ms: spec.longest_wait_ms,
        max_in_flight: 10_000,
    };
    Configuration {
        generation: 1,
        tiers: vec![
            tier("prompt", 8, 0),
            tier("slow", 4, 30),
            tier("late", 2, 30),
            tier("very-late", 1, 30),
        ],
        classes: deployment.classes.iter().map(class).collect(),
        workspaces: Vec::new(),
        models: Vec::new(),
        services: Vec::new(),
    }
}
