//! Random requests of callers: arrival times, sizes, prompt parts and the effects of disturbances.

use std::time::Duration;

use rand::RngExt;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use rand_pcg::Pcg64;
use tanagerford_core::dispatch::{Demand, PartId, PromptPart};

use crate::load::{Class, Disturbance, DisturbanceKind, Load, SharedPart, Stream, Tokens};

/// Lower bound of drawn sizes, unless the largest size of the distribution is smaller.
const MIN_SIZE: f64 = 8.0;
/// Part of a request's weight that is independent of its size; the rest is proportional to the size.
const FIXED_WEIGHT: f64 = 0.3;
const MAX_WEIGHT: f64 = 4.0;
/// Weight of a generated token relative to that of a prompt token.
const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;

/// Request that a caller sends.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// Time since the start of the run at which the caller sends the request.
    pub(crate) at: Duration,
    /// Position of its class in the load file.
    pub(crate) class: usize,
    /// Availability zone of the caller, from 0.
    pub(crate) zone: usize,
    /// Size of the request as entries know it when they choose a server.
    pub(crate) demand: Demand,
    /// Tokens of the whole response; 0 for a plain service.
    pub(crate) output_tokens: u32,
    /// Time that a plain service needs for the request; zero for engines.
    pub(crate) service_time: Duration,
    /// Time from sending to the caller's disconnect.
    pub(crate) caller_timeout: Duration,
    /// Largest count of retries by the caller after refusals.
    pub(crate) retries: u32,
    /// Whether the caller retries at once instead of waiting for the advised time.
    pub(crate) is_abusive: bool,
    /// Whether the caller disconnects before its deadline, so that its request does not count.
    pub(crate) leaves_early: bool,
    /// Factor on the value of the class; grows with the size of the request and has a mean of about 1.
    pub(crate) weight: f64,
}

/// Alternative prompt parts at one position of a class's prompts.
#[derive(Debug)]
struct PartVariants {
    parts: Vec<PromptPart>,
    /// Distribution over the variants by rank; uniform if absent.
    popularity: Option<Zipf<f64>>,
}

/// Draws the requests of all classes of a load, sorted by the time at which they are sent.
pub(crate) fn arrivals(load: &Load, random: &mut Pcg64) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (class_index, class) in load.classes.iter().enumerate() {
        jobs.extend(class_arrivals(load, class_index, class, random));
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

fn class_arrivals(load: &Load, class_index: usize, class: &Class, random: &mut Pcg64) -> Vec<Job> {
    let variants: Vec<PartVariants> = class.stream.as_ref().map_or_else(Vec::new, |stream| {
        let shared = stream.parts.iter().enumerate();
        shared
            .map(|(position, part)| draw_variants(class_index, position, part, random))
            .collect()
    });
    let max_rate = class.rate_per_s * max_rate_factor(load, class);
    let Ok(gap) = Exp::new(max_rate) else {
        return Vec::new();
    };
    let mut jobs = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s += gap.sample(random);
        if at_s >= load.length_s {
            break;
        }
        // Thinning: accepting the arrivals of a Poisson process at the maximum rate with probability rate / max_rate
        // gives a Poisson process at the current rate.
        let rate = class.rate_per_s * rate_factor(load, class, at_s);
        if random.random::<f64>() * max_rate < rate {
            jobs.push(draw_job(load, class_index, class, &variants, at_s, random));
        }
    }
    let mean = jobs.iter().map(|job| job.weight).sum::<f64>() / positive_count(jobs.len());
    for job in &mut jobs {
        let size = job.weight / mean;
        job.weight = (FIXED_WEIGHT + (1.0 - FIXED_WEIGHT) * size).min(MAX_WEIGHT);
    }
    jobs
}

/// Converts a count to a number of at least 1, so that it can be a divisor.
fn positive_count(len: usize) -> f64 {
    f64::from(u32::try_from(len.max(1)).unwrap_or(u32::MAX))
}

fn active_disturbances(load: &Load, at_s: f64) -> impl Iterator<Item = &Disturbance> {
    let all = load.disturbances.iter();
    all.filter(move |disturbance| {
        disturbance.at_s <= at_s && at_s < disturbance.at_s + disturbance.for_s
    })
}

fn burst_rate_factor(disturbance: &Disturbance, name: &str) -> f64 {
    match &disturbance.kind {
        DisturbanceKind::Burst { class, factor } if class.as_deref().is_none_or(|c| c == name) => {
            *factor
        }
        _ => 1.0,
    }
}

fn rate_factor(load: &Load, class: &Class, at_s: f64) -> f64 {
    active_disturbances(load, at_s)
        .map(|disturbance| burst_rate_factor(disturbance, &class.name))
        .product()
}

fn max_rate_factor(load: &Load, class: &Class) -> f64 {
    let starts = load.disturbances.iter().map(|disturbance| disturbance.at_s);
    let factors = starts.map(|at_s| rate_factor(load, class, at_s));
    factors.fold(1.0, f64::max)
}

fn draw_variants(
    class: usize,
    position: usize,
    shared: &SharedPart,
    random: &mut Pcg64,
) -> PartVariants {
    let class = u64::try_from(class).unwrap_or(0);
    let position = u64::try_from(position).unwrap_or(0);
    let parts = (0..shared.variants.max(1)).map(|variant| PromptPart {
        id: part_id(class, position, u64::from(variant)),
        tokens: draw_tokens(shared.tokens, random),
    });
    let parts: Vec<_> = parts.collect();
    PartVariants {
        popularity: Zipf::new(positive_count(parts.len()), shared.skew).ok(),
        parts,
    }
}

fn part_id(class: u64, position: u64, variant: u64) -> PartId {
    (class + 1) << 48 | (position + 1) << 40 | variant
}

fn draw_tokens(tokens: Tokens, random: &mut Pcg64) -> u32 {
    // The mean of a log-normal variable is exp(location + variance / 2).
    let location = tokens.mean.max(1.0).ln() - tokens.spread * tokens.spread / 2.0;
    let drawn = LogNormal::new(location, tokens.spread)
        .map_or(tokens.mean, |distribution| distribution.sample(random));
    round_to_u32(drawn.clamp(MIN_SIZE.min(tokens.max), tokens.max))
}

/// Rounds a size to the nearest integer. The size must be within the range of `u32`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sizes are clamped to the limits of the load file"
)]
fn round_to_u32(size: f64) -> u32 {
    size.round() as u32
}

fn draw_job(
    load: &Load,
    class_index: usize,
    class: &Class,
    variants: &[PartVariants],
    at_s: f64,
    random: &mut Pcg64,
) -> Job {
    let mut job = Job {
        at: Duration::from_secs_f64(at_s),
        class: class_index,
        zone: random.random_range(0..load.zones),
        demand: Demand {
            body_bytes: class.body_bytes,
            rank: class.rank,
            ..Demand::default()
        },
        output_tokens: 0,
        service_time: Duration::ZERO,
        caller_timeout: Duration::from_secs_f64(class.deadline_ms / 1_000.0),
        retries: class.retries,
        is_abusive: false,
        leaves_early: false,
        weight: 1.0,
    };
    if let Some(stream) = &class.stream {
        let event_tokens = load.engines.as_ref().map_or(1, |pool| pool.event_tokens);
        let hot_share = hot_share(load, class, at_s);
        fill_prompt(&mut job, stream, variants, hot_share, random);
        let events = draw_tokens(stream.events, random).max(1);
        job.output_tokens = events * event_tokens;
        job.demand.output_tokens = job.output_tokens;
        job.weight = f64::from(job.demand.prompt_tokens)
            + OUTPUT_TOKEN_WEIGHT * f64::from(job.output_tokens);
    } else {
        let work_ms = Tokens {
            mean: class.work_ms,
            spread: 0.5,
            max: class.work_ms * 8.0,
        };
        job.service_time = Duration::from_millis(u64::from(draw_tokens(work_ms, random)));
    }
    for disturbance in active_disturbances(load, at_s) {
        match &disturbance.kind {
            DisturbanceKind::GiveUp { share, after_ms } if random.random_bool(*share) => {
                job.leaves_early = true;
                job.caller_timeout = Duration::from_secs_f64(after_ms / 1_000.0);
            }
            DisturbanceKind::RetryAbuse { share, factor } if random.random_bool(*share) => {
                job.is_abusive = true;
                job.retries *= factor;
            }
            _ => {}
        }
    }
    job
}

/// Returns the share of a class's requests that use its hot part at a time.
fn hot_share(load: &Load, class: &Class, at_s: f64) -> f64 {
    let shares = active_disturbances(load, at_s).map(|disturbance| match &disturbance.kind {
        DisturbanceKind::HotPart { class: name, share } if *name == class.name => *share,
        _ => 0.0,
    });
    shares.fold(0.0, f64::max)
}

fn fill_prompt(
    job: &mut Job,
    stream: &Stream,
    variants: &[PartVariants],
    hot_share: f64,
    random: &mut Pcg64,
) {
    let Some(last) = variants.last() else {
        job.demand.prompt_tokens = draw_tokens(stream.own_tokens, random);
        return;
    };
    let chosen = if hot_share > 0.0 && random.random_bool(hot_share) {
        0
    } else {
        choose_variant(last, random)
    };
    // All requests with the same variant of the last part share the parts before it, so the parts form a tree.
    let parts = variants.iter().map(|position| {
        let index = chosen % position.parts.len();
        position.parts[index]
    });
    job.demand.parts = parts.collect();
    let shared: u32 = job.demand.parts.iter().map(|part| part.tokens).sum();
    let own = PromptPart {
        id: random.random::<PartId>() | 1 << 63,
        tokens: draw_tokens(stream.own_tokens, random),
    };
    job.demand.parts.push(own);
    job.demand.prompt_tokens = shared + own.tokens;
}

fn choose_variant(variants: &PartVariants, random: &mut Pcg64) -> usize {
    let len = variants.parts.len();
    let Some(popularity) = &variants.popularity else {
        return random.random_range(0..len);
    };
    let rank = usize::try_from(round_to_u32(popularity.sample(random))).unwrap_or(len);
    rank.clamp(1, len) - 1
}
