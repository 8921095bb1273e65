//! Tests of the command `sheet load`.

mod workdir;

use std::thread;

use tanagerford_kv::memory::{Faults, Memory};
use tanagerford_standin::kv::KvStandin;
use workdir::{Run, Workdir};

const CONFIGURATION: &str = include_str!("../docs/examples/zarqa.json");
const SHEET: &str = include_str!("../docs/examples/zarqa-tiers.csv");

/// Key-value service with the example configuration as generation 1.
struct Service {
    memory: Memory,
    standin: KvStandin,
    workdir: Workdir,
}

impl Service {
    fn start(test: &str) -> Self {
        let memory = Memory::new();
        let standin = KvStandin::start(memory.clone()).expect("a port is free");
        let workdir = Workdir::new(test);
        workdir.write("zarqa.json", CONFIGURATION);
        let service = Self {
            memory,
            standin,
            workdir,
        };
        assert_eq!(
            service.run(&["config", "apply"], "zarqa.json").code,
            Some(0)
        );
        service
    }

    fn run(&self, command: &[&str], file: &str) -> Run {
        let url = self.standin.url();
        self.workdir.run(&[command, &["--kv", &url, file]].concat())
    }

    fn tier_of(&self, workspace: &str) -> String {
        let url = self.standin.url();
        let shown = self.workdir.run(&["config", "show", "--kv", &url]).stdout;
        let shown: serde_json::Value = serde_json::from_str(&shown).expect("JSON");
        let workspaces = shown["workspaces"].as_array().expect("an array");
        let found = workspaces.iter().find(|item| item["name"] == workspace);
        found.expect("the workspace exists")["tier"]
            .as_str()
            .expect("a name")
            .to_owned()
    }
}

/// Guards against a sheet that is reported as loaded and is not in force.
#[test]
fn sheet_is_in_force_after_loading() {
    let service = Service::start("sheet-load");
    service.workdir.write(
        "tiers.csv",
        SHEET.replace("quarry-labels,late", "quarry-labels,prompt"),
    );
    insta::assert_snapshot!(service.run(&["sheet", "load"], "tiers.csv"));
    assert_eq!(service.tier_of("quarry-labels"), "prompt");
    service
        .workdir
        .write("one.csv", "workspace,tier\nquarry-labels,overdue\n");
    let partial = service.run(&["sheet", "load", "--partial"], "one.csv");
    assert_eq!(
        partial.stdout,
        "generation 3: 1 workspaces changed their tier\n"
    );
}

/// Guards against a sheet with findings that changes some tiers.
#[test]
fn sheet_with_findings_changes_nothing() {
    let service = Service::start("sheet-findings");
    let faulty = SHEET
        .replace("tidal-maps", "tidal-map")
        .replace("bluewater-offset,prompt", "");
    service.workdir.write("tiers.csv", faulty);
    let revision = service.memory.revision();
    insta::assert_snapshot!(service.run(&["sheet", "load"], "tiers.csv"));
    assert_eq!(service.memory.revision(), revision);
}

/// Guards against two planners whose sheets are both reported as loaded.
#[test]
fn one_of_two_racing_planners_wins() {
    let service = Service::start("sheet-race");
    service
        .workdir
        .write("a.csv", SHEET.replace("overdue", "late"));
    service
        .workdir
        .write("b.csv", SHEET.replace("overdue", "prompt"));
    let load = |file| service.run(&["sheet", "load", "--base", "1"], file);
    let runs = thread::scope(|scope| {
        let runs = ["a.csv", "b.csv"].map(|file| scope.spawn(move || load(file)));
        runs.map(|run| run.join().expect("the command ends"))
    });
    let (won, lost): (Vec<Run>, Vec<Run>) = runs.into_iter().partition(|run| run.code == Some(0));
    assert_eq!((won.len(), lost.len()), (1, 1));
    insta::assert_snapshot!(lost[0]);
}

/// Guards against a loaded sheet that is reported as failed because the answer to the write was lost.
#[test]
fn lost_answer_to_the_write_is_resolved() {
    let service = Service::start("sheet-lost-answer");
    service
        .workdir
        .write("tiers.csv", SHEET.replace("overdue", "late"));
    // The first call reads the configuration, the second one writes it.
    service.memory.set_faults(Faults {
        responses_before_loss: 1,
        responses_to_lose: 1,
        ..Faults::default()
    });
    let run = service.run(&["sheet", "load"], "tiers.csv");
    assert_eq!(
        run.stdout,
        "generation 2: 2 workspaces changed their tier\n"
    );
    assert_eq!(service.tier_of("tidal-maps"), "late");
}

/// Guards against an outage that is reported as anything but "not applied".
#[test]
fn outage_is_a_failure() {
    let mut service = Service::start("sheet-outage");
    service.workdir.write("tiers.csv", SHEET);
    service.memory.set_faults(Faults {
        responses_before_loss: 1,
        calls_until_rate_limit: Some(1),
        ..Faults::default()
    });
    let limited = service.run(&["sheet", "load"], "tiers.csv");
    insta::assert_snapshot!("rate_limit", limited);
    let url = service.standin.url();
    service.standin = KvStandin::start(Memory::new()).expect("a port is free");
    let down = service
        .workdir
        .run(&["sheet", "load", "--kv", &url, "tiers.csv"]);
    insta::assert_snapshot!("service_down", down);
    insta::assert_snapshot!(
        "nothing_published",
        service.run(&["sheet", "load"], "tiers.csv")
    );
}
