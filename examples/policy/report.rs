//! Results of one run by tier and class, as a table or JSON lines.

use std::fmt::Write;

use serde::Serialize;

use crate::driver::Driver;
use crate::gate::Policy;
use crate::request::RequestState;
use crate::scenario::{ARRIVAL_SECS, Scenario};

pub const TABLE_HEAD: &str = "scenario                 policy           tier class       requests  attain goodput    shed  wasted  wait_ms";

/// Results of the requests of one tier and class; both are `None` in the row over all requests.
#[derive(Serialize)]
pub struct Row {
    pub scenario: String,
    pub policy: &'static str,
    pub tier: Option<u8>,
    pub class: Option<&'static str>,
    pub requests: usize,
    /// Share of the requests whose response is complete and met its latency targets.
    pub attainment: f64,
    /// Such responses per second of the arrival period.
    pub goodput: f64,
    /// Share of the requests without a complete response.
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
            let requests = driver
                .requests
                .iter()
                .filter(|state| state.job.tier == tier && state.job.class == class);
            let name = scenario.deployment.classes[class].name;
            row(
                scenario,
                policy,
                Some(tier),
                Some(name),
                &requests.collect::<Vec<_>>(),
            )
        });
        let all: Vec<&RequestState> = driver.requests.iter().collect();
        let top_tier: Vec<&RequestState> = all
            .iter()
            .copied()
            .filter(|state| state.job.tier == 0)
            .collect();
        Self {
            rows: rows.collect(),
            total: row(scenario, policy, None, None, &all),
            crashes: driver.crashes,
            top_attainment: row(scenario, policy, None, None, &top_tier).attainment,
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
            let result = writeln!(
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
            result.expect("writing to a string does not fail");
        }
        text
    }
}

fn row(
    scenario: &Scenario,
    policy: Policy,
    tier: Option<u8>,
    class: Option<&'static str>,
    requests: &[&RequestState],
) -> Row {
    let on_time = requests
        .iter()
        .filter(|state| state.is_on_time(&scenario.deployment.classes[state.job.class]))
        .count();
    let shed = requests.iter().filter(|state| !state.is_complete).count();
    let waits = requests.iter().filter_map(|state| {
        let until = state.first_token.or(state.ended_at)?;
        Some(until.saturating_sub(state.job.at).as_millis())
    });
    let wasted: f64 = requests.iter().map(|state| state.work_wasted).sum();
    let total_work: f64 = requests.iter().map(|state| state.work_done).sum();
    let share = |count: usize| to_f64(count) / to_f64(requests.len().max(1));
    Row {
        scenario: scenario.name.clone(),
        policy: policy.name(),
        tier,
        class,
        requests: requests.len(),
        attainment: round_to_six_decimals(share(on_time)),
        goodput: round_to_six_decimals(to_f64(on_time) / ARRIVAL_SECS),
        shed: round_to_six_decimals(share(shed)),
        wasted_share: round_to_six_decimals(wasted / total_work.max(1e-9)),
        longest_wait_ms: waits.max().unwrap_or(0),
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
pub fn to_f64(count: usize) -> f64 {
    count as f64
}

fn round_to_six_decimals(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}
