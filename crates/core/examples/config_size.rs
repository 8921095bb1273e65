//! Measures the configuration at full size: its length, the length of updates and the time to apply an update.
//!
//! Run with `cargo run --release --example config_size -p tanagerford-core`. `docs/configuration.md` quotes the output.

use std::time::{Duration, Instant};

use tanagerford_core::config::active::ActiveConfiguration;
use tanagerford_core::config::check::check;
use tanagerford_core::config::section::{SectionUpdate, Sections};
use tanagerford_core::config::{Class, Configuration, LatencyTarget, Model, Tier, Workspace};

const TIERS: [&str; 4] = ["prepaid", "prompt", "late", "overdue"];
const MODEL_COUNT: usize = 13;

const KEYS_PER_WORKSPACE: usize = 2;

/// Number of runs of the timed step; the fastest is reported.
const REPETITIONS: usize = 20;

fn main() {
    for workspaces in [275, 550, 1_100, 2_200] {
        measure(workspaces);
    }
}

fn measure(workspaces: usize) {
    let before = configuration(workspaces);
    assert!(check(&before).is_empty(), "the configuration is valid");
    let sections = Sections::split(&before, None);
    let small_update = update(&before, &sections, workspaces);
    let large_update = update(&before, &sections, 20);
    let apply_time = fastest_run(|| {
        let merged = Sections::with_update(Some(&sections), &large_update).and_then(|s| s.merge());
        let configuration = merged.expect("the sections are complete");
        ActiveConfiguration::new(configuration).expect("all references resolve");
    });
    println!(
        "{workspaces} workspaces: whole {} bytes, one changed {} bytes in {} sections, \
         every twentieth changed {} bytes in {} sections, taking an update {} us",
        json_bytes(&sections.changed_since(0)),
        json_bytes(&small_update),
        small_update.sections.len(),
        json_bytes(&large_update),
        large_update.sections.len(),
        apply_time.as_micros()
    );
}

fn configuration(workspaces: usize) -> Configuration {
    let tier = |name: &str| Tier {
        name: name.to_owned(),
        weight: 1,
        reserved_permille: 100,
    };
    let class = Class {
        name: "chat".to_owned(),
        target: LatencyTarget::Tokens {
            first_token_ms: 500,
            token_gap_ms: 38,
        },
        priority: 0,
        longest_wait_ms: 20_000,
        max_in_flight: 256,
    };
    let model = |number: usize| Model {
        name: format!("model-{number:02}"),
        pool: "engines".to_owned(),
        class: "chat".to_owned(),
        resumable: true,
        checks_fencing: false,
    };
    Configuration {
        generation: 1,
        tiers: TIERS.map(tier).into(),
        classes: vec![class],
        workspaces: (0..workspaces).map(workspace).collect(),
        models: (0..MODEL_COUNT).map(model).collect(),
        services: Vec::new(),
    }
}

fn workspace(number: usize) -> Workspace {
    let key = |index: usize| format!("{:064x}", number * KEYS_PER_WORKSPACE + index);
    Workspace {
        name: format!("workspace-{number:05}"),
        key_sha256: (0..KEYS_PER_WORKSPACE).map(key).collect(),
        tier: TIERS[number % TIERS.len()].to_owned(),
    }
}

/// Returns the update that moves every workspace at a multiple of `step` to another tier.
fn update(before: &Configuration, sections: &Sections, step: usize) -> SectionUpdate {
    let mut after = before.clone();
    after.generation = 2;
    for workspace in after.workspaces.iter_mut().step_by(step) {
        let other_tier = TIERS.iter().find(|name| **name != workspace.tier);
        other_tier
            .unwrap_or(&TIERS[0])
            .to_string()
            .clone_into(&mut workspace.tier);
    }
    Sections::split(&after, Some(sections)).changed_since(1)
}

fn json_bytes(update: &SectionUpdate) -> usize {
    update
        .sections
        .iter()
        .map(|section| section.json.len())
        .sum()
}

fn fastest_run(run: impl Fn()) -> Duration {
    let times = (0..REPETITIONS).map(|_| {
        let started_at = Instant::now();
        run();
        started_at.elapsed()
    });
    times.min().unwrap_or_default()
}
