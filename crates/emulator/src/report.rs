//! What each class of callers got, as numbers, as a table and as JSON.

use std::fmt::Write;
use std::thread;
use std::time::Duration;

use serde::Serialize;

use crate::arrivals::Job;
use crate::load::Load;
use crate::simulation;

/// Width of a window of the series, in seconds.
const WINDOW_S: f64 = 1.0;

/// End of a request from its caller's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Complete, with its first event and all others in time.
    OnTime,
    /// Complete, but the first event was late.
    LateStart,
    /// Complete, but a pause between events was too long.
    Paused,
    /// Not run.
    Refused,
    /// Run or begun without a complete answer.
    Failed,
    /// The caller left before its deadline.
    GaveUp,
}

/// Value that was owed and earned.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Value {
    /// Value of the requests if all were answered in time.
    pub owed: f64,
    /// Value of the answers.
    pub earned: f64,
}

impl Value {
    /// Returns the earned share; 1 when nothing was owed.
    #[must_use]
    pub fn share(&self) -> f64 {
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

/// Requests of one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ClassCounts {
    /// Requests that callers sent and did not give up early.
    pub offered: u32,
    /// Complete and in time.
    pub on_time: u32,
    /// Complete, with a late first event.
    pub late_start: u32,
    /// Complete, with a pause that was too long.
    pub paused: u32,
    /// Not run.
    pub refused: u32,
    /// Run or begun without a complete answer.
    pub failed: u32,
    /// Value owed and earned.
    pub value: Value,
    #[serde(skip)]
    first_events: Vec<Duration>,
}

impl ClassCounts {
    /// Returns the time to the first event that the given share of the answered requests kept, in milliseconds.
    #[must_use]
    pub fn first_event_ms(&self, share: f64) -> Option<f64> {
        let mut times = self.first_events.clone();
        times.sort_unstable();
        let last = times.len().checked_sub(1)?;
        let position = f64::from(u32::try_from(last).unwrap_or(u32::MAX)) * share;
        let at = (0..=last).find(|index| f64::from(u32::try_from(*index).unwrap_or(0)) >= position);
        at.map(|index| times[index].as_secs_f64() * 1_000.0)
    }
}

/// Result of one policy with one seed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Played {
    /// Counts of each class, in the order of the load file.
    pub classes: Vec<ClassCounts>,
    /// Value by the second in which requests were sent.
    pub seconds: Vec<Value>,
    /// Prompt tokens that engines read.
    pub prefilled_tokens: u64,
    /// Prompt tokens of all requests that were sent to servers once.
    pub prompt_tokens: u64,
    /// Requests that engines preempted.
    pub preempted: u64,
    /// Calls to servers.
    pub sends: u64,
    /// Calls to servers beyond the first of each request.
    pub repeats: u64,
    /// Messages between entries.
    pub messages: u64,
    /// Bytes of request bodies that left their availability zone.
    pub cross_zone_bytes: u64,
    /// Calls that reached a server more than half a second after their caller had left.
    pub sent_after_leaving: u64,
    /// Callers whose leaving, or the end of whose patience, the entry noticed more than half a second late.
    pub noticed_late: u64,
    #[serde(skip)]
    worths: Vec<(f64, f64)>,
}

impl Played {
    pub(crate) fn new(load: &Load) -> Self {
        let seconds = (0..).take_while(|second| f64::from(*second) * WINDOW_S < load.length_s);
        Self {
            classes: vec![ClassCounts::default(); load.classes.len()],
            seconds: seconds.map(|_| Value::default()).collect(),
            prefilled_tokens: 0,
            prompt_tokens: 0,
            preempted: 0,
            sends: 0,
            repeats: 0,
            messages: 0,
            cross_zone_bytes: 0,
            sent_after_leaving: 0,
            noticed_late: 0,
            worths: load
                .classes
                .iter()
                .map(|class| (class.worth, class.late_worth))
                .collect(),
        }
    }

    pub(crate) fn record(&mut self, job: &Job, outcome: Outcome, first: Option<Duration>) {
        if outcome == Outcome::GaveUp {
            return;
        }
        let (worth, late_worth) = self.worths[job.class];
        let class = &mut self.classes[job.class];
        class.offered += 1;
        let (count, earned) = match outcome {
            Outcome::OnTime => (&mut class.on_time, worth),
            Outcome::LateStart => (&mut class.late_start, late_worth),
            Outcome::Paused => (&mut class.paused, late_worth),
            Outcome::Refused => (&mut class.refused, 0.0),
            Outcome::Failed | Outcome::GaveUp => (&mut class.failed, 0.0),
        };
        *count += 1;
        let value = Value {
            owed: worth * job.weight,
            earned: earned * job.weight,
        };
        class.value.add(value);
        if let Some(first) = first {
            class.first_events.push(first);
            self.prompt_tokens += u64::from(job.demand.prompt_tokens);
        }
        let second = usize::try_from(job.at.as_secs()).unwrap_or(usize::MAX);
        if let Some(window) = self.seconds.get_mut(second) {
            window.add(value);
        }
    }

    /// Returns the value of all classes.
    #[must_use]
    pub fn value(&self) -> Value {
        let mut sum = Value::default();
        for class in &self.classes {
            sum.add(class.value);
        }
        sum
    }

    /// Returns the smallest share of a second.
    #[must_use]
    pub fn worst_second(&self) -> f64 {
        self.seconds.iter().map(Value::share).fold(1.0, f64::min)
    }
}

/// Results of one policy over all seeds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyReport {
    /// Name of the policy.
    pub name: String,
    /// Results by seed.
    pub played: Vec<Played>,
}

impl PolicyReport {
    /// Returns the mean of a figure over the seeds.
    #[must_use]
    pub fn mean(&self, figure: impl Fn(&Played) -> f64) -> f64 {
        let count = f64::from(u32::try_from(self.played.len().max(1)).unwrap_or(u32::MAX));
        self.played.iter().map(figure).sum::<f64>() / count
    }
}

/// Results of a load file.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the load.
    pub load: String,
    /// Seeds that were played.
    pub seeds: Vec<u64>,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Results by policy.
    pub policies: Vec<PolicyReport>,
}

/// Plays every policy of a load with every seed.
#[must_use]
pub fn experiment(load: &Load) -> Report {
    let runs = load.policies.iter().flat_map(|policy| {
        let seeds = load.seeds.iter();
        seeds.map(move |seed| (policy, *seed))
    });
    // Every run has its own state and random numbers, so their threads do not change the results.
    let mut played = thread::scope(|scope| {
        let threads: Vec<_> = runs
            .map(|(policy, seed)| scope.spawn(move || simulation::play(load, policy, seed)))
            .collect();
        let results = threads.into_iter().map(|thread| {
            let result = thread.join();
            result.unwrap_or_else(|panic| std::panic::resume_unwind(panic))
        });
        results.collect::<Vec<_>>()
    })
    .into_iter();
    let policies = load.policies.iter().map(|policy| PolicyReport {
        name: policy.name.clone(),
        played: played.by_ref().take(load.seeds.len()).collect(),
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
    /// Returns the results as a table for people; figures are means over the seeds.
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
                policy.mean(|played| played.value().share()),
                policy.mean(Played::worst_second),
                policy.mean(|played| ratio(played.prefilled_tokens, played.prompt_tokens)),
                policy.mean(|played| float(played.preempted)),
                policy.mean(|played| float(played.repeats)),
                policy.mean(|played| float(played.messages)),
                policy.mean(|played| float(played.cross_zone_bytes) / 1e6),
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
                    policy.mean(|played| {
                        let class = &played.classes[index];
                        f64::from(count(class)) / f64::from(class.offered.max(1))
                    })
                };
                let first = |quantile| {
                    policy.mean(|played| {
                        played.classes[index]
                            .first_event_ms(quantile)
                            .unwrap_or(f64::NAN)
                    })
                };
                let _ = writeln!(
                    table,
                    "  {:<16} {:>8.0} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>8.0} {:>8.0}",
                    name,
                    policy.mean(|played| f64::from(played.classes[index].offered)),
                    share(|class| class.on_time),
                    share(|class| class.late_start),
                    share(|class| class.paused),
                    share(|class| class.refused),
                    share(|class| class.failed),
                    policy.mean(|played| played.classes[index].value.share()),
                    first(0.5),
                    first(0.95),
                );
            }
        }
        table
    }
}

fn float(count: u64) -> f64 {
    // Counts of a run stay far below 2^32 thousands.
    f64::from(u32::try_from(count / 1_000).unwrap_or(u32::MAX)) * 1_000.0
        + f64::from(u32::try_from(count % 1_000).unwrap_or(0))
}

fn ratio(part: u64, whole: u64) -> f64 {
    float(part) / float(whole.max(1))
}
