//! Requests that callers send: times, sizes, prompt parts and what disturbs them.

use std::time::Duration;

use rand::RngExt;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use rand_pcg::Pcg64;
use tanagerford_core::dispatch::{Demand, PartId, PromptPart};

use crate::load::{Class, Disturbance, DisturbanceKind, Load, SharedPart, Stream, Tokens};

/// Tokens of the smallest prompt or part.
const MIN_TOKENS: f64 = 8.0;
/// Weight of a request that does not depend on its size; the rest is proportional to it.
const FIXED_WEIGHT: f64 = 0.3;
/// Largest weight of a request.
const MAX_WEIGHT: f64 = 4.0;
/// What a generated token counts against a prompt token in the weight of a request.
const OUTPUT_WEIGHT: f64 = 10.0;

/// Request that a caller sends.
#[derive(Debug, Clone)]
pub struct Job {
    /// Time at which the caller sends it.
    pub at: Duration,
    /// Number of its class.
    pub class: usize,
    /// Availability zone of the caller.
    pub zone: usize,
    /// What it asks of a server.
    pub demand: Demand,
    /// Tokens of the answer; the server knows them, the entry does not.
    pub output_tokens: u32,
    /// Time at a plain service.
    pub work: Duration,
    /// Time after which the caller leaves.
    pub patience: Duration,
    /// How often the caller comes back.
    pub retries: u32,
    /// Whether the caller comes back at once instead of waiting as told.
    pub is_abusive: bool,
    /// Whether the caller leaves before its deadline, so that nothing is owed.
    pub gives_up: bool,
    /// Value of the request against the mean of its class.
    pub weight: f64,
}

/// Parts of one position that a class's prompts choose from.
#[derive(Debug)]
struct Variants {
    parts: Vec<PromptPart>,
    /// Ranks by which variants are asked for; evenly without it.
    ranks: Option<Zipf<f64>>,
}

/// Draws the requests of a load, in order of their times.
#[must_use]
pub fn arrivals(load: &Load, random: &mut Pcg64) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (number, class) in load.classes.iter().enumerate() {
        jobs.extend(class_arrivals(load, number, class, random));
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

fn class_arrivals(load: &Load, number: usize, class: &Class, random: &mut Pcg64) -> Vec<Job> {
    let variants: Vec<Variants> = class.stream.as_ref().map_or_else(Vec::new, |stream| {
        let shared = stream.parts.iter().enumerate();
        shared
            .map(|(position, part)| draw_variants(number, position, part, random))
            .collect()
    });
    let busiest = class.rate_per_s * largest_factor(load, class);
    let Ok(gap) = Exp::new(busiest) else {
        return Vec::new();
    };
    let mut jobs = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s += gap.sample(random);
        if at_s >= load.length_s {
            break;
        }
        // A process of the largest rate, thinned to the rate of the moment, is one of the wanted rate.
        let rate = class.rate_per_s * factor(load, class, at_s);
        if random.random::<f64>() * busiest < rate {
            jobs.push(draw_job(load, number, class, &variants, at_s, random));
        }
    }
    let mean = jobs.iter().map(|job| job.weight).sum::<f64>() / count(jobs.len());
    for job in &mut jobs {
        let size = job.weight / mean;
        job.weight = (FIXED_WEIGHT + (1.0 - FIXED_WEIGHT) * size).min(MAX_WEIGHT);
    }
    jobs
}

/// Returns a count as a number to calculate with, at least 1.
fn count(len: usize) -> f64 {
    f64::from(u32::try_from(len.max(1)).unwrap_or(u32::MAX))
}

fn active(load: &Load, at_s: f64) -> impl Iterator<Item = &Disturbance> {
    let all = load.disturbances.iter();
    all.filter(move |one| one.at_s <= at_s && at_s < one.at_s + one.for_s)
}

fn burst_factor(disturbance: &Disturbance, name: &str) -> f64 {
    match &disturbance.kind {
        DisturbanceKind::Burst { class, x } if class.as_deref().is_none_or(|c| c == name) => *x,
        _ => 1.0,
    }
}

fn factor(load: &Load, class: &Class, at_s: f64) -> f64 {
    active(load, at_s)
        .map(|one| burst_factor(one, &class.name))
        .product()
}

fn largest_factor(load: &Load, class: &Class) -> f64 {
    let starts = load.disturbances.iter().map(|one| one.at_s);
    let factors = starts.map(|at_s| factor(load, class, at_s));
    factors.fold(1.0, f64::max)
}

fn draw_variants(
    class: usize,
    position: usize,
    shared: &SharedPart,
    random: &mut Pcg64,
) -> Variants {
    let class = u64::try_from(class).unwrap_or(0);
    let position = u64::try_from(position).unwrap_or(0);
    let parts = (0..shared.variants.max(1)).map(|variant| PromptPart {
        id: part_id(class, position, u64::from(variant)),
        tokens: draw_tokens(shared.tokens, random),
    });
    let parts: Vec<_> = parts.collect();
    Variants {
        ranks: Zipf::new(count(parts.len()), shared.skew).ok(),
        parts,
    }
}

fn part_id(class: u64, position: u64, variant: u64) -> PartId {
    (class + 1) << 48 | (position + 1) << 40 | variant
}

fn draw_tokens(tokens: Tokens, random: &mut Pcg64) -> u32 {
    // A log-normal variable with the wanted mean: its logarithm's mean is lower by half of the variance.
    let location = tokens.mean.max(1.0).ln() - tokens.spread * tokens.spread / 2.0;
    let drawn = LogNormal::new(location, tokens.spread)
        .map_or(tokens.mean, |distribution| distribution.sample(random));
    whole(drawn.clamp(MIN_TOKENS.min(tokens.max), tokens.max))
}

/// Rounds a size that is known to be small and not negative.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sizes are clamped to the limits of the load file"
)]
fn whole(size: f64) -> u32 {
    size.round() as u32
}

fn draw_job(
    load: &Load,
    number: usize,
    class: &Class,
    variants: &[Variants],
    at_s: f64,
    random: &mut Pcg64,
) -> Job {
    let mut job = Job {
        at: Duration::from_secs_f64(at_s),
        class: number,
        zone: random.random_range(0..load.zones),
        demand: Demand {
            body_bytes: class.body_bytes,
            rank: class.rank,
            ..Demand::default()
        },
        output_tokens: 0,
        work: Duration::ZERO,
        patience: Duration::from_secs_f64(class.deadline_ms / 1_000.0),
        retries: class.retries,
        is_abusive: false,
        gives_up: false,
        weight: 1.0,
    };
    if let Some(stream) = &class.stream {
        let event_tokens = load.engines.as_ref().map_or(1, |pool| pool.event_tokens);
        let hot_share = hot_share(load, class, at_s);
        fill_prompt(&mut job, stream, variants, hot_share, random);
        let events = draw_tokens(stream.events, random).max(1);
        job.output_tokens = events * event_tokens;
        job.demand.output_tokens = job.output_tokens;
        job.weight =
            f64::from(job.demand.prompt_tokens) + OUTPUT_WEIGHT * f64::from(job.output_tokens);
    } else {
        let work_ms = Tokens {
            mean: class.work_ms,
            spread: 0.5,
            max: class.work_ms * 8.0,
        };
        job.work = Duration::from_millis(u64::from(draw_tokens(work_ms, random)));
    }
    for disturbance in active(load, at_s) {
        match &disturbance.kind {
            DisturbanceKind::GiveUp { share, after_ms } if random.random_bool(*share) => {
                job.gives_up = true;
                job.patience = Duration::from_secs_f64(after_ms / 1_000.0);
            }
            DisturbanceKind::RetryAbuse { share, x } if random.random_bool(*share) => {
                job.is_abusive = true;
                job.retries *= x;
            }
            _ => {}
        }
    }
    job
}

/// Share of the requests that ask for the hot part at present.
fn hot_share(load: &Load, class: &Class, at_s: f64) -> f64 {
    let shares = active(load, at_s).map(|one| match &one.kind {
        DisturbanceKind::HotPart { class: name, share } if *name == class.name => *share,
        _ => 0.0,
    });
    shares.fold(0.0, f64::max)
}

fn fill_prompt(
    job: &mut Job,
    stream: &Stream,
    variants: &[Variants],
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
    // A session always has the same parts before its own: they form a tree.
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

fn choose_variant(variants: &Variants, random: &mut Pcg64) -> usize {
    let len = variants.parts.len();
    let Some(ranks) = &variants.ranks else {
        return random.random_range(0..len);
    };
    let rank = usize::try_from(whole(ranks.sample(random))).unwrap_or(len);
    rank.clamp(1, len) - 1
}
