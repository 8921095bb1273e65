//! Results of a load file by policy, seed and class of requests, as a table and as JSON.

use std::fmt::Write;
use std::ops::Range;
use std::thread;
use std::time::Duration;

use serde::Serialize;

use crate::arrivals::Job;
use crate::load::Load;
use crate::simulation;

/// Interval of the series of values in [`RunResult::seconds`].
const SERIES_INTERVAL_S: f64 = 1.0;

/// Length of the windows of [`RunResult::largest_unserved_share`] in seconds.
const UNSERVED_WINDOW_S: usize = 5;

/// Outcome of a request from its caller's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Complete; first event and pauses within their limits.
    OnTime,
    /// Complete, but the first event missed its objective.
    LateStart,
    /// Complete, first event on time, but a pause between events exceeded its limit.
    Paused,
    /// Refused without having run, or timed out before the caller's latest try was sent to a server.
    Refused,
    /// Sent to a server that may have run it, without a complete response.
    Failed,
    /// The caller disconnected before its deadline; the request is not counted.
    GaveUp,
}

/// Value of a set of requests, in units of the classes' values.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Value {
    /// Value if every response met its objectives.
    pub owed: f64,
    /// Value of the actual responses; late ones count with their class's late value.
    pub earned: f64,
}

impl Value {
    /// Returns `earned / owed`; 1 if nothing was owed.
    #[must_use]
    pub fn earned_share(&self) -> f64 {
        if self.owed > 0.0 {
            self.earned / self.owed
        } else {
            1.0
        }
    }

    fn add(&mut self, other: Self) {
        self.owed += other.owed;
        self.earned += other.earned;
    }
}

/// Counts of the requests of one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ClassCounts {
    /// Requests with an outcome, without those that callers gave up early.
    pub offered: u32,
    /// Complete; first event and pauses within their limits.
    pub on_time: u32,
    /// Complete, but the first event missed its objective.
    pub late_start: u32,
    /// Complete, first event on time, but a pause between events exceeded its limit.
    pub paused: u32,
    /// Refused without having run, or timed out before the caller's latest try was sent to a server.
    pub refused: u32,
    /// Sent to a server that may have run them, without a complete response.
    pub failed: u32,
    /// Value of the counted requests.
    pub value: Value,
    /// Times from sending to the first event, in the order of the outcomes.
    #[serde(skip)]
    first_event_times: Vec<Duration>,
}

impl ClassCounts {
    /// Returns the given quantile (0 to 1) of the time to the first event in milliseconds; `None` if no request had one.
    fn first_event_ms(&self, quantile: f64) -> Option<f64> {
        let mut times = self.first_event_times.clone();
        times.sort_unstable();
        let last = times.len().checked_sub(1)?;
        let position = f64::from(u32::try_from(last).unwrap_or(u32::MAX)) * quantile;
        let at = (0..=last).find(|index| f64::from(u32::try_from(*index).unwrap_or(0)) >= position);
        at.map(|index| times[index].as_secs_f64() * 1_000.0)
    }
}

/// Result of one policy with one seed; figures cover the whole run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunResult {
    /// Counts of each class, in the order of the load file.
    pub classes: Vec<ClassCounts>,
    /// Value of the requests sent in each second of the run.
    pub seconds: Vec<Value>,
    /// Prompt tokens that engines prefilled, including repeated work.
    pub prefilled_tokens: u64,
    /// Prompt tokens that engines copied from each other.
    pub fetched_tokens: u64,
    /// Prompt tokens of the requests with at least one event, each counted once.
    pub prompt_tokens: u64,
    /// Preemptions by engines.
    pub preempted: u64,
    /// Calls sent to servers, including retries by entries.
    pub sends: u64,
    /// Retries by entries.
    pub repeats: u64,
    /// Load summaries that entries sent, counted once for each receiver.
    pub messages: u64,
    /// Bytes of request bodies sent to another availability zone.
    pub cross_zone_bytes: u64,
    /// Calls that reached a server more than half a second after the caller's disconnect.
    pub sent_after_leaving: u64,
    /// Disconnects and timeouts of callers that the entry noticed more than half a second late.
    pub noticed_late: u64,
    /// Messages about permits for limited engines.
    #[serde(skip)]
    pub permit_messages: u64,
    /// Requests at the engines that limited their rate, one item for each engine and disturbance.
    #[serde(skip)]
    pub limited_engines: Vec<LimitedEngine>,
    /// Requests at the engines that asked for rests, one item for each engine and disturbance.
    #[serde(skip)]
    pub resting_engines: Vec<RestingEngine>,
    /// Counts of each class by the second in which the caller sent the request.
    #[serde(skip)]
    class_seconds: Vec<Vec<SecondCounts>>,
    /// Value and late value of each class.
    #[serde(skip)]
    class_values: Vec<(f64, f64)>,
}

/// Requests that reached an engine while it limited their rate.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitedEngine {
    /// Position of the engine.
    pub engine: usize,
    /// Limit in requests per second.
    pub rate: f64,
    /// Time at which the engine began to name the limit.
    pub began_at: Duration,
    /// Times at which requests reached the engine, in ascending order.
    pub arrivals: Vec<Duration>,
}

impl LimitedEngine {
    /// Returns the largest number of requests within any span of the given length that begins at `from` or later.
    #[must_use]
    pub fn most_arrivals(&self, from: Duration, span: Duration) -> usize {
        let arrivals = self.arrivals.iter().filter(|at| **at >= from);
        let arrivals: Vec<_> = arrivals.copied().collect();
        let counts = arrivals.iter().enumerate().map(|(first, at)| {
            let end = arrivals.partition_point(|other| *other < *at + span);
            end - first
        });
        counts.max().unwrap_or_default()
    }
}

/// Requests that reached an engine from the time on at which it began to ask for rests.
#[derive(Debug, Clone, PartialEq)]
pub struct RestingEngine {
    /// Position of the engine.
    pub engine: usize,
    /// Time of each rest.
    pub rest: Duration,
    /// Times at which requests reached the engine, with the positions of their entries, in ascending order.
    pub arrivals: Vec<(Duration, usize)>,
    /// Those requests that it turned away, each of which begins a rest.
    pub refusals: Vec<(Duration, usize)>,
}

impl RestingEngine {
    /// Returns the largest number of requests from one entry between `grace` after a refusal and the end of its rest.
    #[must_use]
    pub fn most_arrivals_at_rest(&self, grace: Duration) -> usize {
        let counts = self.refusals.iter().map(|(at, entry)| {
            let rest = *at + grace..*at + self.rest;
            let arrivals = self.arrivals.iter();
            arrivals
                .filter(|(arrived_at, from)| from == entry && rest.contains(arrived_at))
                .count()
        });
        counts.max().unwrap_or_default()
    }
}

/// Requests of one class that were sent in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct SecondCounts {
    offered: u32,
    /// Requests that got no complete response.
    unserved: u32,
}

impl RunResult {
    pub(crate) fn new(load: &Load) -> Self {
        let seconds =
            (0..).take_while(|second| f64::from(*second) * SERIES_INTERVAL_S < load.length_s);
        Self {
            classes: vec![ClassCounts::default(); load.classes.len()],
            seconds: seconds.map(|_| Value::default()).collect(),
            prefilled_tokens: 0,
            fetched_tokens: 0,
            prompt_tokens: 0,
            preempted: 0,
            sends: 0,
            repeats: 0,
            messages: 0,
            cross_zone_bytes: 0,
            sent_after_leaving: 0,
            noticed_late: 0,
            permit_messages: 0,
            limited_engines: Vec::new(),
            resting_engines: Vec::new(),
            class_seconds: vec![Vec::new(); load.classes.len()],
            class_values: load
                .classes
                .iter()
                .map(|class| (class.value, class.late_value))
                .collect(),
        }
    }

    pub(crate) fn record(&mut self, job: &Job, outcome: Outcome, first: Option<Duration>) {
        if outcome == Outcome::GaveUp {
            return;
        }
        let (value, late_value) = self.class_values[job.class];
        let class = &mut self.classes[job.class];
        class.offered += 1;
        let (count, earned) = match outcome {
            Outcome::OnTime => (&mut class.on_time, value),
            Outcome::LateStart => (&mut class.late_start, late_value),
            Outcome::Paused => (&mut class.paused, late_value),
            Outcome::Refused => (&mut class.refused, 0.0),
            Outcome::Failed | Outcome::GaveUp => (&mut class.failed, 0.0),
        };
        *count += 1;
        let value = Value {
            owed: value * job.weight,
            earned: earned * job.weight,
        };
        class.value.add(value);
        if let Some(first) = first {
            class.first_event_times.push(first);
            self.prompt_tokens += u64::from(job.demand.prompt_tokens);
        }
        let second = usize::try_from(job.at.as_secs()).unwrap_or(usize::MAX);
        if let Some(window) = self.seconds.get_mut(second) {
            window.add(value);
            let seconds = &mut self.class_seconds[job.class];
            seconds.resize(self.seconds.len(), SecondCounts::default());
            seconds[second].offered += 1;
            seconds[second].unserved += u32::from(earned == 0.0);
        }
    }

    /// Returns the largest share of a class's requests that got no complete response in any five seconds from the second
    /// `from_s` on.
    #[must_use]
    pub fn largest_unserved_share(&self, class: usize, from_s: usize) -> f64 {
        let windows = self.class_seconds[class][from_s..].windows(UNSERVED_WINDOW_S);
        let shares = windows.map(|window| {
            let sum = |count: fn(&SecondCounts) -> u32| window.iter().map(count).sum::<u32>();
            f64::from(sum(|second| second.unserved))
                / f64::from(sum(|second| second.offered).max(1))
        });
        shares.fold(0.0, f64::max)
    }

    /// Returns the number of a class's requests sent in a range of seconds that got a complete response.
    #[must_use]
    pub fn served(&self, class: usize, seconds: Range<usize>) -> u32 {
        let counts = self.class_seconds[class][seconds].iter();
        counts.map(|second| second.offered - second.unserved).sum()
    }

    /// Returns the sum of the values of all classes.
    #[must_use]
    pub fn value(&self) -> Value {
        let mut sum = Value::default();
        for class in &self.classes {
            sum.add(class.value);
        }
        sum
    }

    /// Returns the smallest earned share of any second.
    fn worst_second(&self) -> f64 {
        self.seconds
            .iter()
            .map(Value::earned_share)
            .fold(1.0, f64::min)
    }
}

/// Results of one policy with all seeds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyReport {
    /// Name of the policy in the load file.
    pub name: String,
    /// One result for each seed, in the order of the seeds.
    #[serde(rename = "played")]
    pub runs: Vec<RunResult>,
}

impl PolicyReport {
    /// Returns the mean of a figure over the seeds.
    fn mean(&self, figure: impl Fn(&RunResult) -> f64) -> f64 {
        let count = f64::from(u32::try_from(self.runs.len().max(1)).unwrap_or(u32::MAX));
        self.runs.iter().map(figure).sum::<f64>() / count
    }
}

/// Results of a load file.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the load, from the load file.
    pub load: String,
    /// Seeds of the runs.
    pub seeds: Vec<u64>,
    /// Names of the classes, in the order of [`RunResult::classes`].
    pub classes: Vec<String>,
    /// Results in the order of the policies in the load file.
    pub policies: Vec<PolicyReport>,
}

/// Runs every policy of a load with every seed, each in its own thread.
#[must_use]
pub fn experiment(load: &Load) -> Report {
    let runs = load.policies.iter().flat_map(|policy| {
        let seeds = load.seeds.iter();
        seeds.map(move |seed| (policy, *seed))
    });
    // Runs share no state and no random number generator, so running them in parallel does not change the results.
    let mut results = thread::scope(|scope| {
        let threads: Vec<_> = runs
            .map(|(policy, seed)| scope.spawn(move || simulation::run(load, policy, seed)))
            .collect();
        let joined = threads.into_iter().map(|thread| {
            let result = thread.join();
            result.unwrap_or_else(|panic| std::panic::resume_unwind(panic))
        });
        joined.collect::<Vec<_>>()
    })
    .into_iter();
    let policies = load.policies.iter().map(|policy| PolicyReport {
        name: policy.name.clone(),
        runs: results.by_ref().take(load.seeds.len()).collect(),
    });
    Report {
        load: load.name.clone(),
        seeds: load.seeds.clone(),
        classes: load
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect(),
        policies: policies.collect(),
    }
}

impl Report {
    /// Formats the results as a text table; figures are means over the seeds.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_emulator::{load, report};
    ///
    /// let load = load::decode(include_bytes!("../loads/small.json")).unwrap();
    /// let table = report::experiment(&load).table();
    /// assert!(table.starts_with("small: 1 seed"));
    /// ```
    #[must_use]
    pub fn table(&self) -> String {
        let mut table = String::new();
        let plural = if self.seeds.len() == 1 { "" } else { "s" };
        // Writing to a string cannot fail.
        let _ = writeln!(table, "{}: {} seed{plural}", self.load, self.seeds.len());
        for policy in &self.policies {
            let _ = writeln!(
                table,
                "\n{}: value {:.3}, worst second {:.3}, read {:.2} of prompts, preempted {:.0}, repeats {:.0}, messages {:.0}, {:.1} MB between zones",
                policy.name,
                policy.mean(|run| run.value().earned_share()),
                policy.mean(RunResult::worst_second),
                policy.mean(|run| ratio(run.prefilled_tokens, run.prompt_tokens)),
                policy.mean(|run| count_to_f64(run.preempted)),
                policy.mean(|run| count_to_f64(run.repeats)),
                policy.mean(|run| count_to_f64(run.messages)),
                policy.mean(|run| count_to_f64(run.cross_zone_bytes) / 1e6),
            );
            let _ = writeln!(
                table,
                "  {:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
                "class",
                "offered",
                "on time",
                "late",
                "paused",
                "refused",
                "failed",
                "value",
                "p50 ms",
                "p95 ms"
            );
            for (index, name) in self.classes.iter().enumerate() {
                let share = |count: fn(&ClassCounts) -> u32| {
                    policy.mean(|run| {
                        let class = &run.classes[index];
                        f64::from(count(class)) / f64::from(class.offered.max(1))
                    })
                };
                let first = |quantile| {
                    policy.mean(|run| {
                        run.classes[index]
                            .first_event_ms(quantile)
                            .unwrap_or(f64::NAN)
                    })
                };
                let _ = writeln!(
                    table,
                    "  {:<16} {:>8.0} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>8.0} {:>8.0}",
                    name,
                    policy.mean(|run| f64::from(run.classes[index].offered)),
                    share(|class| class.on_time),
                    share(|class| class.late_start),
                    share(|class| class.paused),
                    share(|class| class.refused),
                    share(|class| class.failed),
                    policy.mean(|run| run.classes[index].value.earned_share()),
                    first(0.5),
                    first(0.95),
                );
            }
        }
        table
    }
}

/// Converts a count without the lossy cast from `u64` to `f64`.
fn count_to_f64(count: u64) -> f64 {
    // The counts of a run are far below 2^32 thousands, so the conversion is exact.
    f64::from(u32::try_from(count / 1_000).unwrap_or(u32::MAX)) * 1_000.0
        + f64::from(u32::try_from(count % 1_000).unwrap_or(0))
}

fn ratio(part: u64, whole: u64) -> f64 {
    count_to_f64(part) / count_to_f64(whole.max(1))
}
