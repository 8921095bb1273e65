//! Failures of processes, backend servers and the platform, against the real processes over the stand-ins.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use common::{
    Answer, Fleet, LATE_KEY, chat_body, configuration, engine_backend, expected_text, key_sha256,
    open_links, post_to, publish_to, read_line, restart_sidecar, settings, start_entry,
    start_sidecar, state, wait_until,
};
use tanagerford_core::config::Workspace;
use tanagerford_kv::memory::{Faults, Memory};
use tanagerford_kv::vm_list::{Vm, VmListClient, VmState};
use tanagerford_node::process::SidecarProcess;
use tanagerford_node::stop::StopSignal;
use tanagerford_standin::engine::{Behaviour, Engine};
use tanagerford_standin::service;
use tanagerford_standin::vm_list::VmListStandin;

/// Longest time for a graceful stop in a test.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

fn fast() -> Behaviour {
    Behaviour {
        first_token: Duration::ZERO,
        cached_first_token: Duration::ZERO,
        token_gap: Duration::ZERO,
        token_gap_per_request: Duration::ZERO,
        ..Behaviour::default()
    }
}

fn slow() -> Behaviour {
    Behaviour {
        token_gap: Duration::from_millis(10),
        ..fast()
    }
}

fn chat(fleet: &Fleet, content: &str) -> Answer {
    fleet
        .post("/v1/chat/completions", &[], &chat_body(content, 4, false))
        .expect("answer arrives")
}

fn code(answer: &Answer) -> String {
    answer.json()["error"]["code"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

/// Guards against new work for a backend server that is leaving, and against cut answers while it leaves.
#[test]
fn a_leaving_sidecar_gets_no_new_work_and_finishes_what_runs() {
    let mut fleet = Fleet::start(2, &slow(), &configuration());
    let mut streams: Vec<_> = (0..6)
        .map(|number| fleet.stream(&format!("ticket {number}"), 100))
        .collect();
    for stream in &mut streams {
        read_line(stream);
    }
    let leaving = fleet.sidecars.remove(0);
    let before = fleet.engines[0].requests();
    assert!(before > 0, "the leaving server has work in flight");
    std::thread::scope(|scope| {
        let stop = scope.spawn(move || leaving.stop(STOP_TIMEOUT));
        // The sidecar refuses from the first moment of its stop, so a request may reach it only before that.
        wait_until(|| {
            let state = state(fleet.entry.operator_address());
            let members = state["membership"].to_string();
            members.contains("leaving") || members.contains("dead")
        });
        let at_leave = fleet.engines[0].requests();
        for number in 0..20 {
            let answer = chat(&fleet, &format!("new ticket {number}"));
            assert_eq!(answer.status, 200, "{}", answer.text);
        }
        assert_eq!(fleet.engines[0].requests(), at_leave);
        for stream in &mut streams {
            let mut rest = String::new();
            std::io::Read::read_to_string(stream, &mut rest).expect("answer is whole");
            assert!(rest.contains("[DONE]"));
        }
        assert!(stop.join().expect("stop returns"), "work was cut off");
    });
}

/// Guards against a VM that the platform takes away under a process that nobody told to stop.
#[test]
fn a_process_on_a_leaving_vm_stops_gracefully() {
    let kv = Arc::new(Memory::new());
    publish_to(&kv, &configuration());
    let listed = |state| Vm {
        address: Ipv4Addr::new(127, 0, 0, 2).into(),
        availability_zone: "zone-a".to_owned(),
        state,
    };
    let list =
        VmListStandin::start(vec![listed(VmState::Live)], Duration::ZERO).expect("list starts");
    let entry = start_entry("entry-0", &kv, vec![]);
    let engine = Engine::start(fast()).expect("engine starts");
    let stop = StopSignal::default();
    let mut own = settings("engine-0", 1, vec![entry.gossip_address()]);
    own.gossip_listen = SocketAddr::from(([127, 0, 0, 2], 0));
    own.vm_list = Some(VmListClient::new(&list.url()));
    let backend = engine_backend(engine.address());
    let sidecar = SidecarProcess::start(&own, &backend, Arc::clone(&kv) as _, stop.clone())
        .expect("sidecar starts");
    wait_until(|| open_links(&entry) == 1);
    list.set_vms(vec![listed(VmState::Leaving)]);
    wait_until(|| stop.wait(Duration::ZERO));
    assert!(sidecar.stop(STOP_TIMEOUT));
}

/// Guards against a request that crashes one engine after the other while its caller repeats it, and against innocent
/// requests that are quarantined with it.
#[test]
fn a_poison_request_crashes_at_most_two_engines() {
    let behaviour = Behaviour {
        crash_on: Some("poison".to_owned()),
        restart_after: Duration::from_millis(300),
        ..fast()
    };
    let fleet = Fleet::start(3, &behaviour, &configuration());
    let crashes = || fleet.engines.iter().map(Engine::crashes).sum::<u64>();
    let quarantined = || code(&chat(&fleet, "poison")) == "quarantined";
    wait_until(quarantined);
    assert!(crashes() <= 2, "{} crashes", crashes());
    wait_until(|| chat(&fleet, "innocent ticket").status == 200);
    for _ in 0..5 {
        assert!(quarantined());
    }
    assert!(crashes() <= 2, "{} crashes", crashes());
}

/// Guards against a configuration that reaches only some processes, and against processes that need the key-value
/// service to learn of it.
#[test]
fn a_new_configuration_reaches_every_process() {
    let fleet = Fleet::start(2, &fast(), &configuration());
    let mut changed = configuration();
    changed.workspaces.push(Workspace {
        name: "new customer".replace(' ', "-"),
        key_sha256: vec![key_sha256("new-key")],
        tier: "prompt".to_owned(),
    });
    let address = fleet.entry.address();
    let ask = || {
        post_to(
            address,
            "new-key",
            "/v1/chat/completions",
            &[],
            &chat_body("x", 2, false),
        )
    };
    assert_eq!(ask().expect("refusal arrives").status, 401);
    publish_to(&fleet.kv, &changed);
    wait_until(|| ask().expect("answer arrives").status == 200);
    for sidecar in &fleet.sidecars {
        wait_until(|| state(sidecar.operator_address())["config_generation"] == 2);
    }
}

/// Guards against replaced VMs that wait for a key-value service in a long outage.
#[test]
fn a_restarted_process_takes_the_configuration_from_peers_in_an_outage() {
    let mut fleet = Fleet::start(3, &fast(), &configuration());
    fleet.kv.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let gone = fleet.sidecars.remove(0);
    assert!(gone.stop(STOP_TIMEOUT));
    let backend = engine_backend(fleet.engines[0].address());
    let seeds = vec![fleet.entry.gossip_address()];
    // A client of its own shares the store's contents and not the faults, so it is made to fail as well.
    let client = Arc::new(fleet.kv.client());
    client.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let restarted = restart_sidecar("engine-0", 2, &backend, &client, seeds);
    wait_until(|| state(restarted.operator_address())["config"]["is_ready"] == true);
    assert_eq!(state(restarted.operator_address())["config_generation"], 1);
    wait_until(|| open_links(&fleet.entry) == 4);
    assert_eq!(chat(&fleet, "ticket").status, 200);
}

/// Guards against late payers whose work holds the engine while a paying customer waits.
#[test]
fn late_payers_give_way_to_a_paying_customer() {
    let behaviour = Behaviour {
        token_gap: Duration::from_millis(20),
        max_batch: 256,
        ..fast()
    };
    let fleet = Fleet::start(1, &behaviour, &configuration());
    let address = fleet.entry.address();
    std::thread::scope(|scope| {
        for number in 0..60 {
            scope.spawn(move || {
                let body = chat_body(&format!("late ticket {number}"), 150, false);
                // The outcome for the late payer is either an answer, a refusal or a cut transfer; all are allowed here.
                let _ = post_to(address, LATE_KEY, "/v1/chat/completions", &[], &body);
            });
        }
        wait_until(|| fleet.engines[0].running() >= 8);
        for number in 0..10 {
            let content = format!("ticket {number}");
            let answer = chat(&fleet, &content);
            assert_eq!(answer.status, 200, "{}", answer.text);
            let text = &answer.json()["choices"][0]["message"]["content"];
            assert_eq!(*text, expected_text(&content, 4));
        }
    });
}

/// Guards against calls that share nothing but the entry and still wait for each other: slow order lookups must not
/// delay chat.
#[test]
fn chat_does_not_wait_for_slow_lookups() {
    let fleet = Fleet::start(1, &fast(), &configuration());
    fleet.service.set_behaviour(service::Behaviour {
        lookup_delay: Duration::from_secs(3),
        ..service::Behaviour::default()
    });
    let address = fleet.entry.address();
    let plates = fleet
        .sidecars
        .last()
        .expect("there is a service")
        .operator_address();
    std::thread::scope(|scope| {
        for _ in 0..40 {
            scope.spawn(move || {
                let _ = common::agent()
                    .get(format!("http://{address}/plates/stock"))
                    .header("Authorization", format!("Bearer {}", common::KEY))
                    .call();
            });
        }
        wait_until(|| state(plates)["in_flight"].as_u64() >= Some(8));
        for number in 0..20 {
            assert_eq!(chat(&fleet, &format!("ticket {number}")).status, 200);
        }
        // The lookups are still in flight: none of the chats waited for them.
        assert!(state(plates)["in_flight"].as_u64() >= Some(8));
    });
}

/// Guards against an entry that trusts a sidecar without the fleet key, or the other way round.
#[test]
fn a_process_with_another_fleet_key_is_kept_out() {
    let fleet = Fleet::start(1, &fast(), &configuration());
    let engine = Engine::start(fast()).expect("engine starts");
    let mut foreign = settings("engine-9", 1, vec![fleet.entry.gossip_address()]);
    foreign.fleet_key = tanagerford_link::FleetKey::new(*b"some other key");
    let backend = engine_backend(engine.address());
    let sidecar = SidecarProcess::start(
        &foreign,
        &backend,
        Arc::clone(&fleet.kv) as _,
        StopSignal::default(),
    )
    .expect("sidecar starts");
    let unauthenticated = |address| {
        let state = state(address);
        state["gossip_transport"]["unauthenticated"]
            .as_u64()
            .unwrap_or(0)
    };
    wait_until(|| unauthenticated(fleet.entry.operator_address()) > 0);
    assert_eq!(open_links(&fleet.entry), 2);
    for number in 0..8 {
        assert_eq!(chat(&fleet, &format!("ticket {number}")).status, 200);
    }
    assert_eq!(engine.requests(), 0);
    drop(sidecar);
    let second = start_sidecar(
        "engine-1",
        &engine_backend(engine.address()),
        &fleet.kv,
        vec![fleet.entry.gossip_address()],
    );
    wait_until(|| open_links(&fleet.entry) == 3);
    drop(second);
}

/// Guards against the quarantine of requests that never reached an engine that is down.
#[test]
fn a_request_that_finds_its_engine_down_is_not_suspected() {
    let fleet = Fleet::start(1, &fast(), &configuration());
    let dead = engine_backend(SocketAddr::from(([127, 0, 0, 1], 9)));
    let seeds = vec![fleet.entry.gossip_address()];
    let unreachable = start_sidecar("engine-dead", &dead, &fleet.kv, seeds);
    wait_until(|| open_links(&fleet.entry) == 3);
    for _ in 0..20 {
        let answer = chat(&fleet, "the same ticket");
        assert_ne!(code(&answer), "quarantined", "{}", answer.text);
    }
    assert_eq!(state(unreachable.operator_address())["suspects"], 0);
}

/// Guards against callers that are told that their key is unknown while the entry has no configuration.
#[test]
fn an_entry_without_configuration_is_not_ready() {
    let kv = Arc::new(Memory::new());
    let entry = start_entry("entry-0", &kv, vec![]);
    let body = chat_body("ticket", 2, false);
    let answer = post_to(
        entry.address(),
        common::KEY,
        "/v1/chat/completions",
        &[],
        &body,
    )
    .expect("refusal arrives");
    assert_eq!(answer.status, 503, "{}", answer.text);
    assert_eq!(code(&answer), "not_ready");
}
