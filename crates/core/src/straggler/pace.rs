//! Paces of the servers and the pool's medians, by batch size or by kind of call.

use std::time::Duration;

use super::PaceSample;

/// Groups of comparable samples: batch sizes 1, 2, 3-4, 5-8 up to 65 and more, or kinds of calls.
const GROUPS: usize = 8;
/// Shortest stream that is measured, in tokens after the first; shorter ones measure the arrival of chunks.
const MIN_TOKENS: u32 = 8;
/// Weight of a new sample in a server's pace.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Servers with a recent pace that a median requires.
const MIN_PEERS: usize = 3;
/// Time after which a pace no longer enters the median.
const PACE_LIFETIME: Duration = Duration::from_mins(1);

/// Moving average of one server's samples in one group.
#[derive(Debug, Clone, Copy)]
struct Pace {
    seconds: f64,
    batch: f64,
    at: Duration,
}

/// Median of the servers' paces in one group, and of the batch sizes it belongs to.
#[derive(Debug, Clone, Copy)]
struct Median {
    seconds: f64,
    batch: f64,
}

/// Sample reduced to what is compared.
#[derive(Debug, Clone, Copy)]
struct Reduced {
    group: usize,
    seconds: f64,
    /// 0 for calls.
    batch: f64,
}

/// Sample relative to the pool.
#[derive(Debug, Clone, Copy)]
pub(super) enum Comparison {
    /// The sample is too short to tell anything.
    Ignored,
    /// Too few other servers have comparable samples.
    NoMedian,
    /// Sample divided by the upper bound of a healthy server's pace.
    Ratio(f64),
}

#[derive(Debug, Default)]
pub(super) struct PaceTable {
    paces: Vec<[Option<Pace>; GROUPS]>,
    medians: [Option<Median>; GROUPS],
}

impl PaceTable {
    pub(super) fn reset(&mut self, server: usize) {
        self.grow(server);
        self.paces[server] = [None; GROUPS];
    }

    /// Records a sample and compares it with the pool.
    pub(super) fn add(&mut self, now: Duration, server: usize, sample: &PaceSample) -> Comparison {
        let Some(sample) = reduce(sample) else {
            return Comparison::Ignored;
        };
        self.grow(server);
        let pace = self.paces[server][sample.group].get_or_insert(Pace {
            seconds: sample.seconds,
            batch: sample.batch,
            at: now,
        });
        pace.seconds += (sample.seconds - pace.seconds) * SAMPLE_WEIGHT;
        pace.batch += (sample.batch - pace.batch) * SAMPLE_WEIGHT;
        pace.at = now;
        match self.expected(&sample) {
            Some(expected) => Comparison::Ratio(sample.seconds / expected),
            None => Comparison::NoMedian,
        }
    }

    pub(super) fn update_medians(&mut self, now: Duration, pool: &[usize]) {
        if let Some(&last) = pool.iter().max() {
            self.grow(last);
        }
        for group in 0..GROUPS {
            let paces = pool.iter().filter_map(|&server| self.paces[server][group]);
            let recent: Vec<Pace> = paces
                .filter(|pace| now.saturating_sub(pace.at) <= PACE_LIFETIME)
                .collect();
            self.medians[group] = median(&recent);
        }
    }

    /// Upper bound of the pace of a healthy server.
    ///
    /// The pace does not fall with the batch size, so the median of a larger batch is a bound. It grows at most in
    /// proportion, so the median of a smaller batch is one after scaling.
    fn expected(&self, sample: &Reduced) -> Option<f64> {
        let same = self.medians[sample.group];
        if sample.batch == 0.0 {
            return same.map(|median| median.seconds);
        }
        if let Some(median) = same {
            return Some(bound(&median, sample.batch));
        }
        let below = self.medians[..sample.group].iter().rev().flatten().next();
        let above = self.medians[sample.group..].iter().flatten().next();
        let bounds = below
            .into_iter()
            .chain(above)
            .map(|median| bound(median, sample.batch));
        bounds.min_by(f64::total_cmp)
    }

    fn grow(&mut self, server: usize) {
        if self.paces.len() <= server {
            self.paces.resize(server + 1, [None; GROUPS]);
        }
    }
}

fn bound(median: &Median, batch: f64) -> f64 {
    median.seconds * (batch / median.batch).max(1.0)
}

fn reduce(sample: &PaceSample) -> Option<Reduced> {
    match *sample {
        PaceSample::Tokens {
            tokens,
            elapsed,
            batch,
        } => {
            let batch = batch.max(1);
            let group = (batch.next_power_of_two().trailing_zeros() as usize).min(GROUPS - 1);
            let seconds = elapsed.as_secs_f64() / f64::from(tokens.max(1));
            (tokens >= MIN_TOKENS).then_some(Reduced {
                group,
                seconds,
                batch: f64::from(batch),
            })
        }
        PaceSample::Call { kind, elapsed } => Some(Reduced {
            group: usize::from(kind) % GROUPS,
            seconds: elapsed.as_secs_f64(),
            batch: 0.0,
        }),
    }
}

fn median(paces: &[Pace]) -> Option<Median> {
    if paces.len() < MIN_PEERS {
        return None;
    }
    Some(Median {
        seconds: middle(paces.iter().map(|pace| pace.seconds)).max(1e-6),
        batch: middle(paces.iter().map(|pace| pace.batch)),
    })
}

fn middle(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    let index = (values.len() - 1) / 2;
    *values.select_nth_unstable_by(index, f64::total_cmp).1
}
