//! Moving averages of the servers' paces and their medians over the pool, grouped by batch size or kind of call.

use std::time::Duration;

use super::PaceSample;

/// Number of groups of comparable samples: batch sizes 1, 2, 3-4, 5-8 and so on up to 65 or more, or kinds of calls.
const GROUPS: usize = 8;
/// Fewest tokens after the first for a stream to be measured. In shorter streams the arrival of network chunks dominates.
const MIN_STREAM_TOKENS: u32 = 8;
/// Weight of a new sample in the moving average of the pace.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Fewest servers with a recent pace for which a median is computed.
const MIN_MEDIAN_SERVERS: usize = 3;
/// Age above which a pace is excluded from the median.
const PACE_LIFETIME: Duration = Duration::from_mins(1);

/// Moving average of the samples of one server in one group.
#[derive(Debug, Clone, Copy)]
struct Pace {
    seconds: f64,
    batch: f64,
    updated_at: Duration,
}

/// Medians of the paces and of the batch sizes of one group.
#[derive(Debug, Clone, Copy)]
struct Median {
    seconds: f64,
    batch: f64,
}

/// Sample as time per token or per call.
#[derive(Debug, Clone, Copy)]
struct NormalizedSample {
    group: usize,
    seconds: f64,
    /// 0 for calls.
    batch: f64,
}

/// Result of comparing a sample with the pool.
#[derive(Debug, Clone, Copy)]
pub(super) enum Comparison {
    /// The stream is too short to be measured.
    Ignored,
    /// Too few servers have comparable samples.
    NoMedian,
    /// Pace of the sample divided by the upper bound for a healthy server.
    Ratio(f64),
}

#[derive(Debug, Default)]
pub(super) struct PaceTable {
    paces: Vec<[Option<Pace>; GROUPS]>,
    medians: [Option<Median>; GROUPS],
}

impl PaceTable {
    pub(super) fn reset(&mut self, server: usize) {
        self.ensure_index(server);
        self.paces[server] = [None; GROUPS];
    }

    /// Records a sample and compares it with the medians of the last update.
    pub(super) fn add_sample(
        &mut self,
        now: Duration,
        server: usize,
        sample: &PaceSample,
    ) -> Comparison {
        let Some(sample) = normalize(sample) else {
            return Comparison::Ignored;
        };
        self.ensure_index(server);
        let pace = self.paces[server][sample.group].get_or_insert(Pace {
            seconds: sample.seconds,
            batch: sample.batch,
            updated_at: now,
        });
        pace.seconds += (sample.seconds - pace.seconds) * SAMPLE_WEIGHT;
        pace.batch += (sample.batch - pace.batch) * SAMPLE_WEIGHT;
        pace.updated_at = now;
        match self.expected_seconds(&sample) {
            Some(expected_seconds) => Comparison::Ratio(sample.seconds / expected_seconds),
            None => Comparison::NoMedian,
        }
    }

    pub(super) fn update_medians(&mut self, now: Duration, pool: &[usize]) {
        if let Some(&last) = pool.iter().max() {
            self.ensure_index(last);
        }
        for group in 0..GROUPS {
            let paces = pool.iter().filter_map(|&server| self.paces[server][group]);
            let recent: Vec<Pace> = paces
                .filter(|pace| now.saturating_sub(pace.updated_at) <= PACE_LIFETIME)
                .collect();
            self.medians[group] = median(&recent);
        }
    }

    /// Returns an upper bound of a healthy server's pace for the batch size of `sample`.
    ///
    /// The time per token does not decrease with the batch size, so the median of a larger batch is an upper bound. It
    /// grows at most in proportion to the batch size, so the scaled median of a smaller batch is an upper bound, too.
    fn expected_seconds(&self, sample: &NormalizedSample) -> Option<f64> {
        let same = self.medians[sample.group];
        if sample.batch == 0.0 {
            return same.map(|median| median.seconds);
        }
        if let Some(median) = same {
            return Some(scaled_bound(&median, sample.batch));
        }
        let below = self.medians[..sample.group].iter().rev().flatten().next();
        let above = self.medians[sample.group..].iter().flatten().next();
        let bounds = below
            .into_iter()
            .chain(above)
            .map(|median| scaled_bound(median, sample.batch));
        bounds.min_by(f64::total_cmp)
    }

    fn ensure_index(&mut self, server: usize) {
        if self.paces.len() <= server {
            self.paces.resize(server + 1, [None; GROUPS]);
        }
    }
}

fn scaled_bound(median: &Median, batch: f64) -> f64 {
    median.seconds * (batch / median.batch).max(1.0)
}

fn normalize(sample: &PaceSample) -> Option<NormalizedSample> {
    match *sample {
        PaceSample::Tokens {
            tokens,
            elapsed,
            batch,
        } => {
            let batch = batch.max(1);
            let group = (batch.next_power_of_two().trailing_zeros() as usize).min(GROUPS - 1);
            let seconds = elapsed.as_secs_f64() / f64::from(tokens.max(1));
            (tokens >= MIN_STREAM_TOKENS).then_some(NormalizedSample {
                group,
                seconds,
                batch: f64::from(batch),
            })
        }
        PaceSample::Call { kind, elapsed } => Some(NormalizedSample {
            group: usize::from(kind) % GROUPS,
            seconds: elapsed.as_secs_f64(),
            batch: 0.0,
        }),
    }
}

fn median(paces: &[Pace]) -> Option<Median> {
    if paces.len() < MIN_MEDIAN_SERVERS {
        return None;
    }
    Some(Median {
        seconds: lower_median(paces.iter().map(|pace| pace.seconds)).max(1e-6),
        batch: lower_median(paces.iter().map(|pace| pace.batch)),
    })
}

fn lower_median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    let index = (values.len() - 1) / 2;
    *values.select_nth_unstable_by(index, f64::total_cmp).1
}
