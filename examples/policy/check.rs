//! Smallest margins to the design targets over a range of seeds.

use std::collections::BTreeMap;

use crate::gate::Policy;
use crate::measure;
use crate::report::Report;
use crate::scenario::Scenario;

/// Margin of one run to each target; negative if the target is missed.
struct Margins {
    scenario: String,
    seed: u64,
    targets: Vec<(&'static str, f64)>,
}

/// Prints for each target the run with the smallest margin, and the count of misses by scenario.
pub fn check(scenarios: &[Scenario], first_seed: u64, seeds: u64) {
    let all: Vec<Margins> = std::thread::scope(|scope| {
        let worker = |scenario| move || margins_by_seed(scenario, first_seed, seeds);
        // Scenarios are independent and deterministic, so running them in parallel does not change the figures.
        let groups: Vec<_> = scenarios.chunks(scenarios.len().div_ceil(4)).collect();
        let threads: Vec<_> = groups
            .into_iter()
            .map(|group| {
                scope.spawn(move || {
                    group
                        .iter()
                        .flat_map(|scenario| worker(scenario)())
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a run panicked"))
            .collect()
    });
    println!(
        "{:<22} {:>8}  {:<26} {:>6}  missed (runs)",
        "target", "margin", "worst in", "seed"
    );
    let mut targets: Vec<&str> = Vec::new();
    for (target, _) in all.iter().flat_map(|margins| &margins.targets) {
        if !targets.contains(target) {
            targets.push(*target);
        }
    }
    for target in targets {
        print_target(target, &all);
    }
}

fn print_target(target: &str, all: &[Margins]) {
    let margin = |margins: &Margins| {
        margins
            .targets
            .iter()
            .find(|(name, _)| *name == target)
            .map(|(_, margin)| *margin)
    };
    let mut runs: Vec<(f64, &Margins)> = all
        .iter()
        .filter_map(|run| Some((margin(run)?, run)))
        .collect();
    runs.sort_by(|one, other| one.0.total_cmp(&other.0));
    let mut missed: BTreeMap<&str, u32> = BTreeMap::new();
    for (_, run) in runs.iter().filter(|(margin, _)| *margin < 0.0) {
        *missed.entry(&run.scenario).or_default() += 1;
    }
    let (worst, run) = runs[0];
    let missed: Vec<String> = missed
        .into_iter()
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    let missed = if missed.is_empty() {
        "none".to_owned()
    } else {
        missed.join(", ")
    };
    println!(
        "{target:<22} {worst:>8.4}  {:<26} {:>6}  {missed}",
        run.scenario, run.seed
    );
}

fn margins_by_seed(scenario: &Scenario, first_seed: u64, seeds: u64) -> Vec<Margins> {
    let margins_of_seed = |seed| Margins {
        scenario: scenario.name.clone(),
        seed,
        targets: margins(scenario, seed),
    };
    (first_seed..first_seed + seeds)
        .map(margins_of_seed)
        .collect()
}

fn margins(scenario: &Scenario, seed: u64) -> Vec<(&'static str, f64)> {
    let [fifo, strict, tanagerford] = [Policy::Fifo, Policy::Strict, Policy::Tanagerford]
        .map(|policy| measure(scenario, policy, seed, u8::MAX));
    let top_tier_alone = measure(scenario, Policy::Tanagerford, seed, 0);
    let max_wasted_share = if scenario.has_faults() { 0.05 } else { 0.02 };
    let baseline_wasted_share = fifo.total.wasted_share.min(strict.total.wasted_share);
    let mut margins = vec![
        ("top-tier attainment", tanagerford.top_attainment - 0.95),
        (
            "top tier vs alone",
            0.01 - (top_tier_alone.top_attainment - tanagerford.top_attainment).abs(),
        ),
        (
            "every class served",
            min_completed_share(&tanagerford) - 1e-9,
        ),
        (
            "wasted share",
            max_wasted_share - tanagerford.total.wasted_share,
        ),
        (
            "waste vs baselines",
            baseline_wasted_share + 0.005 - tanagerford.total.wasted_share,
        ),
        (
            "goodput vs strict",
            tanagerford.total.goodput / strict.total.goodput - 0.995,
        ),
    ];
    if scenario.load >= 2.0 {
        margins.push((
            "goodput +5% strict",
            tanagerford.total.goodput / strict.total.goodput - 1.05,
        ));
        margins.push((
            "goodput +5% fifo",
            tanagerford.total.goodput / fifo.total.goodput - 1.05,
        ));
    }
    if scenario.has_poison {
        margins.push(("poison crashes", 2.0 - f64::from(tanagerford.crashes)));
    }
    margins
}

/// Returns the smallest share of completed requests over all tiers and classes that have requests; 1 if none has.
fn min_completed_share(report: &Report) -> f64 {
    let completed = report
        .rows
        .iter()
        .filter(|row| row.requests > 0)
        .map(|row| 1.0 - row.shed);
    completed.fold(1.0, f64::min)
}
