//! Figures of one run.

use std::fmt::Write;

use serde::Serialize;

use crate::driver::{Driver, Work};
use crate::gate::Policy;
use crate::scenario::{ARRIVAL_SECS, Scenario};

pub const TABLE_HEAD: &str = "scenario                 policy           tier class       requests  attain goodput    shed  wasted  wait_ms";

/// Figures of a tier and class; both are absent in the row over all requests.
#[derive(Serialize)]
pub struct Row {
    pub scenario: String,
    pub policy: &'static str,
    pub tier: Option<u8>,
    pub class: Option<&'static str>,
    pub requests: usize,
    /// Share of the requests whose answer is complete and met its latency target.
    pub attainment: f64,
    /// Such answers per second.
    pub goodput: f64,
    /// Share of the requests that got no complete answer.
    pub shed: f64,
    /// Share of the backend servers' work that was repeated or discarded.
    pub wasted_share: f64,
    /// Longest time to the first token or to the refusal.
    pub longest_wait_ms: u128,
}

pub struct Report {
    pub rows: Vec<Row>,
    pub total: Row,
    pub crashes: u32,
    /// Attainment of the highest tier over all classes.
    pub top_attainment: f64,
}

impl Report {
    pub fn new(scenario: &Scenario, policy: Policy, driver: &Driver) -> Self {
        let groups = (0..4).flat_map(|tier| (0..4).map(move |class| (tier, class)));
        let rows = groups.map(|(tier, class)| {
            let works = driver
                .works
                .iter()
                .filter(|work| work.job.tier == tier && work.job.class == class);
            let name = scenario.deployment.classes[class].name;
            row(
                scenario,
                policy,
                Some(tier),
                Some(name),
                &works.collect::<Vec<_>>(),
            )
        });
        let all: Vec<&Work> = driver.works.iter().collect();
        let top: Vec<&Work> = all
            .iter()
            .copied()
            .filter(|work| work.job.tier == 0)
            .collect();
        Self {
            rows: rows.collect(),
            total: row(scenario, policy, None, None, &all),
            crashes: driver.crashes,
            top_attainment: row(scenario, policy, None, None, &top).attainment,
        }
    }

    pub fn json(&self) -> String {
        let rows = self.rows.iter().chain([&self.total]);
        rows.map(|row| serde_json::to_string(row).expect("rows are plain data") + "\n")
            .collect()
    }

    pub fn table(&self) -> String {
        let mut text = String::new();
        for row in self.rows.iter().chain([&self.total]) {
            let tier = row
                .tier
                .map_or_else(|| "all".to_owned(), |tier| tier.to_string());
            let written = writeln!(
                text,
                "{:<24} {:<16} {:>4} {:<12} {:>7} {:>7.3} {:>7.2} {:>7.3} {:>7.4} {:>8}",
                row.scenario,
                row.policy,
                tier,
                row.class.unwrap_or("all"),
                row.requests,
                row.attainment,
                row.goodput,
                row.shed,
                row.wasted_share,
                row.longest_wait_ms,
            );
            written.expect("writing to a string does not fail");
        }
        text
    }
}

fn row(
    scenario: &Scenario,
    policy: Policy,
    tier: Option<u8>,
    class: Option<&'static str>,
    works: &[&Work],
) -> Row {
    let on_time = works
        .iter()
        .filter(|work| work.on_time(&scenario.deployment.classes[work.job.class]))
        .count();
    let shed = works.iter().filter(|work| !work.complete).count();
    let waits = works.iter().filter_map(|work| {
        let until = work.first_token.or(work.ended_at)?;
        Some(until.saturating_sub(work.job.at).as_millis())
    });
    let wasted: f64 = works.iter().map(|work| work.wasted).sum();
    let worked: f64 = works.iter().map(|work| work.done).sum();
    let share = |count: usize| number(count) / number(works.len().max(1));
    Row {
        scenario: scenario.name.clone(),
        policy: policy.name(),
        tier,
        class,
        requests: works.len(),
        attainment: rounded(share(on_time)),
        goodput: rounded(number(on_time) / ARRIVAL_SECS),
        shed: rounded(share(shed)),
        wasted_share: rounded(wasted / worked.max(1e-9)),
        longest_wait_ms: waits.max().unwrap_or(0),
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
pub fn number(count: usize) -> f64 {
    count as f64
}

/// Rounds to six decimals.
fn rounded(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}
