//! Runs one case: starts the stand-ins and the entries, plays the disruption unless `TROUBLE=0`, and checks the rule.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod kit;

use std::process::{Command, exit};
use std::thread;
use std::time::Duration;

use kit::{
    Entry, Pace, Record, Store, Worker, call, call_with_patience, configuration, is_trouble,
};

/// Bound `drainMs` in the settings of the entries.
const DRAIN_MS: u64 = 2_000;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let record = Record::new();
    let result = match case.as_str() {
        "twice" => twice(&record),
        "drain" => drain(&record),
        "route" => route(&record),
        "order" => order(&record),
        "gone" => gone(&record),
        "worker" => worker(record),
        _ => None,
    };
    let code = match result {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    };
    record.add(format!("result: exit {code}"));
    record.save();
    exit(code);
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A worker turns slow in the middle of a resumable stream; does the stream go on elsewhere while it still works on it?
fn twice(record: &Record) -> Option<bool> {
    /// Time from the start of work to the first event; the users want the first token within 0.5 s.
    const FIRST_MS: u64 = 500;
    /// Pause between events; the route's `gapTargetMs` is 200.
    const PAUSE_MS: u64 = 180;
    /// Largest dose of `srv_grey` with `slow` in the site file.
    const SLOW_FACTOR: f64 = 7.5;
    const SLOW_TIME_MS: u64 = 6_500;
    const LIMIT_MS: u64 = 400;

    let store = Store::start(record, 1);
    store.put("op/config", configuration());
    let pace = Pace {
        first_ms: FIRST_MS,
        pause_ms: PAUSE_MS,
        events: 20,
        is_unframed: false,
    };
    let workers: Vec<_> = (1..=8)
        .map(|n| Worker::start(record, &format!("i-lm{n}"), "lm-prepress", 64, pace))
        .collect();
    let plain = Worker::start(
        record,
        "i-app1",
        "plate-app",
        6,
        Pace {
            first_ms: 15,
            pause_ms: 0,
            events: 0,
            is_unframed: false,
        },
    );
    for worker in workers.iter().chain([&plain]) {
        worker.beat(&store);
    }
    let entry = Entry::start(record, 1, store.addresses[0])?;
    pause(3_500);
    let mut callers = Vec::new();
    // Eight streams; those at one of the workers meet the disruption.
    for number in 0..16 {
        let (callers_address, record) = (entry.callers, record.clone());
        callers.push(thread::spawn(move || {
            let more = "X-Tanagerford-Model: m\r\nX-Tanagerford-Token-Counts: 826,120\r\n\
                        X-Tanagerford-Prompt-Prefix: 1a:119,2b:79,";
            let more = format!("{more}{:x}:628\r\n", 0x9000 + number);
            let path = format!("/note/{number}");
            call(
                callers_address,
                &record,
                "POST",
                &path,
                &format!("note-{number}"),
                12_000,
                &more,
            )
        }));
        pause(60);
    }
    pause(900);
    let busiest = workers
        .iter()
        .max_by_key(|worker| worker.runs.lock().unwrap().len())?;
    if is_trouble() {
        let slow = Pace {
            pause_ms: (PAUSE_MS as f64 * SLOW_FACTOR) as u64,
            first_ms: (FIRST_MS as f64 * SLOW_FACTOR) as u64,
            ..pace
        };
        record.add(format!(
            "trouble: {} works {SLOW_FACTOR} times as long",
            busiest.id
        ));
        *busiest.pace.lock().unwrap() = slow;
        pause(SLOW_TIME_MS);
        record.add(format!("trouble: {} works as usual again", busiest.id));
        *busiest.pace.lock().unwrap() = pace;
    }
    for caller in callers {
        let answer = caller.join().ok()?;
        if answer.status != 200 {
            record.add(format!(
                "note: a stream got {}: {}",
                answer.status, answer.body
            ));
        }
    }
    pause(500);
    let mut is_broken = false;
    let mut count = 0;
    let now = record.now_ms();
    for other in &workers {
        for next in other
            .runs
            .lock()
            .unwrap()
            .clone()
            .iter()
            .filter(|run| run.after_event.is_some())
        {
            for before in workers.iter().filter(|worker| worker.id != other.id) {
                for run in before
                    .runs
                    .lock()
                    .unwrap()
                    .iter()
                    .filter(|run| run.id == next.id && run.began_ms < next.began_ms)
                {
                    let both = run.ended_ms.unwrap_or(now).saturating_sub(next.began_ms);
                    let next_ms = next.ended_ms.unwrap_or(now).saturating_sub(next.began_ms);
                    let both = both.min(next_ms);
                    if both > LIMIT_MS {
                        is_broken = true;
                        count += 1;
                        record.add(format!(
                            "TWICE: {} goes on at {} after event {:?}, and {} still works on it {both} ms later",
                            next.id, other.id, next.after_event, before.id
                        ));
                    }
                }
            }
        }
    }
    record.add(format!("requests that went on at another worker while the one before still worked 400 ms later: {count}"));
    drop(entry);
    Some(is_broken)
}

/// The store cuts a waiting watch just before the entry of a worker is removed; does the worker get requests too late?
fn drain(record: &Record) -> Option<bool> {
    let store = Store::start(record, 2);
    store.put("op/config", configuration());
    let pace = Pace {
        first_ms: 15,
        pause_ms: 0,
        events: 0,
        is_unframed: false,
    };
    let workers: Vec<_> = (1..=4)
        .map(|n| Worker::start(record, &format!("i-app{n}"), "plate-app", 6, pace))
        .collect();
    let engine = Worker::start(
        record,
        "i-lm1",
        "lm-prepress",
        64,
        Pace {
            first_ms: 60,
            pause_ms: 60,
            events: 5,
            is_unframed: false,
        },
    );
    for worker in workers.iter().chain([&engine]) {
        worker.beat(&store);
    }
    let entries = [
        Entry::start(record, 1, store.addresses[0])?,
        Entry::start(record, 2, store.addresses[1])?,
    ];
    pause(4_000);
    let callers: Vec<_> = (0..2)
        .flat_map(|entry| (0..10).map(move |caller| (entry, caller)))
        .map(|(entry, caller)| {
            let (address, record) = (entries[entry].callers, record.clone());
            let caller = caller as u64;
            thread::spawn(move || {
                let mut bad = 0;
                for number in 0..120 {
                    let id = format!("burn-{}-{caller}-{number}", entry + 1);
                    let answer = call(
                        address,
                        &record,
                        "POST",
                        &format!("/burn/{id}"),
                        &id,
                        1_000,
                        "",
                    );
                    bad += usize::from(answer.status != 200);
                    pause(25 + caller);
                }
                bad
            })
        })
        .collect();
    pause(1_000);
    let leaving = &workers[0];
    if is_trouble() {
        store.cut_waiting_watch(0);
        pause(15);
    }
    let left_ms = leaving.leave(&store);
    let mut bad = 0;
    for caller in callers {
        bad += caller.join().ok()?;
    }
    let runs = leaving.runs.lock().unwrap();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.began_ms > left_ms + DRAIN_MS)
        .collect();
    for run in &late {
        record.add(format!(
            "DRAIN: {} reaches {} {} ms after the removal of its entry was confirmed",
            run.id,
            leaving.id,
            run.began_ms - left_ms
        ));
    }
    record.add(format!(
        "requests later than {DRAIN_MS} ms: {}; requests without success: {bad}",
        late.len()
    ));
    let is_broken = !late.is_empty();
    drop(entries);
    Some(is_broken)
}

/// Another writer leaves an incomplete entry under the id of a model worker that names another service.
fn route(record: &Record) -> Option<bool> {
    let store = Store::start(record, 1);
    store.put("op/config", configuration());
    let pace = Pace {
        first_ms: 15,
        pause_ms: 0,
        events: 0,
        is_unframed: false,
    };
    let workers: Vec<_> = (1..=2)
        .map(|n| Worker::start(record, &format!("i-app{n}"), "plate-app", 6, pace))
        .collect();
    let engine = Worker::start(
        record,
        "i-0f3a91c2",
        "lm-prepress",
        64,
        Pace {
            first_ms: 60,
            pause_ms: 60,
            events: 5,
            is_unframed: false,
        },
    );
    for worker in workers.iter().chain([&engine]) {
        worker.beat(&store);
        pause(200);
    }
    let entry = Entry::start(record, 1, store.addresses[0])?;
    pause(3_500);
    let callers: Vec<_> = (0..16)
        .map(|caller| {
            let (address, record) = (entry.callers, record.clone());
            let caller = caller as u64;
            thread::spawn(move || {
                for number in 0..150 {
                    let id = format!("burn-{caller}-{number}");
                    call(
                        address,
                        &record,
                        "POST",
                        &format!("/burn/{id}"),
                        &id,
                        1_000,
                        "",
                    );
                    pause(5 + caller % 5);
                }
            })
        })
        .collect();
    pause(1_000);
    if is_trouble() {
        let text = format!(
            r#"{{"service":"plate-app","address":"{}","zone":"zone-a","slots":6,"state":"ready"}}"#,
            engine.address
        );
        engine.wait_after_beat(50);
        record.add(format!(
            "trouble: another writer writes servers/{}: {text}",
            engine.id
        ));
        store.put(&format!("servers/{}", engine.id), &text);
    }
    for caller in callers {
        caller.join().ok()?;
    }
    let runs = engine.runs.lock().unwrap();
    let foreign: Vec<_> = runs
        .iter()
        .filter(|run| run.path.starts_with("/burn/"))
        .collect();
    for run in &foreign {
        record.add(format!(
            "ROUTE: {} is run by {} of the service {}",
            run.id, engine.id, engine.service
        ));
    }
    record.add(format!(
        "orders of plate-app that lm-prepress ran: {}",
        foreign.len()
    ));
    let is_broken = !foreign.is_empty();
    drop(entry);
    Some(is_broken)
}

/// Runs a worker in a process of its own until it is killed.
fn worker(mut record: Record) -> ! {
    let arguments: Vec<String> = std::env::args().collect();
    let number = |index: usize| arguments[index].parse().expect("a number");
    record.is_echoed = true;
    let pace = Pace {
        first_ms: number(4),
        pause_ms: number(5),
        events: number(6),
        is_unframed: number(7) == 1,
    };
    let worker = Worker::start(&record, &arguments[2], &arguments[3], 64, pace);
    println!("{}", worker.address);
    // The input ends when the program that started this process ends.
    let _ = std::io::stdin().read_line(&mut String::new());
    exit(0);
}

/// A worker whose streams have no length crashes; do the cut streams look complete?
fn order(record: &Record) -> Option<bool> {
    const EVENTS: u64 = 20;
    let store = Store::start(record, 1);
    store.put("op/config", configuration());
    let pace = Pace {
        first_ms: 100,
        pause_ms: 100,
        events: EVENTS,
        is_unframed: true,
    };
    let spawned =
        (1..=7).map(|n| Worker::spawn(record, &format!("i-lm{n}"), "lm-prepress", 64, pace));
    let (mut workers, mut processes): (Vec<_>, Vec<_>) =
        spawned.collect::<Option<Vec<_>>>()?.into_iter().unzip();
    let plain = Pace {
        first_ms: 15,
        pause_ms: 0,
        events: 0,
        is_unframed: false,
    };
    workers.push(Worker::start(record, "i-app1", "plate-app", 6, plain));
    for worker in &workers {
        worker.beat(&store);
    }
    let entry = Entry::start(record, 1, store.addresses[0])?;
    pause(3_500);
    let callers: Vec<_> = (0..28)
        .map(|number| {
            let (address, record) = (entry.callers, record.clone());
            pause(30);
            thread::spawn(move || {
                let more = "X-Tanagerford-Model: m\r\nX-Tanagerford-Token-Counts: 826,120\r\n\
                            X-Tanagerford-Prompt-Prefix: 1a:119,2b:79,";
                let more = format!("{more}{:x}:628\r\n", 0x9000 + number);
                let id = format!("note-{number}");
                let answer = call(
                    address,
                    &record,
                    "POST",
                    &format!("/note/{number}"),
                    &id,
                    12_000,
                    &more,
                );
                (id, answer)
            })
        })
        .collect();
    pause(600);
    if is_trouble() {
        let streams =
            |worker: &Worker| record.count(&format!("{} (lm-prepress): begins", worker.id));
        let busiest = (0..processes.len()).max_by_key(|index| streams(&workers[*index]))?;
        workers[busiest].set_beating(false);
        record.add(format!(
            "trouble: the worker {} crashes (SIGKILL)",
            workers[busiest].id
        ));
        processes[busiest].kill();
    }
    let mut is_broken = false;
    for caller in callers {
        let (id, answer) = caller.join().ok()?;
        let numbers: Vec<u64> = answer
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect();
        let is_whole = numbers.iter().copied().eq(1..=EVENTS);
        if answer.status == 200 && answer.is_complete && !is_whole {
            is_broken = true;
            record.add(format!(
                "ORDER: the stream {id} ends as complete after event {:?} of {EVENTS}",
                numbers.last()
            ));
        }
    }
    drop(processes);
    drop(entry);
    Some(is_broken)
}

/// A worker goes dark and comes back; do requests reach it whose consumers have left long ago?
fn gone(record: &Record) -> Option<bool> {
    /// Time without an event after which consumers abandon a stream of the route.
    const PATIENCE_MS: u64 = 2_000;
    const DARK_MS: u64 = 4_500;
    const LIMIT_MS: u64 = 500;
    /// "More than a few" requests break the rule.
    const FEW: usize = 5;

    let store = Store::start(record, 1);
    store.put("op/config", configuration());
    let pace = Pace {
        first_ms: 100,
        pause_ms: 100,
        events: 9,
        is_unframed: false,
    };
    let spawned =
        (1..=7).map(|n| Worker::spawn(record, &format!("i-lm{n}"), "lm-prepress", 64, pace));
    let (mut workers, processes): (Vec<_>, Vec<_>) =
        spawned.collect::<Option<Vec<_>>>()?.into_iter().unzip();
    let plain = Pace {
        first_ms: 15,
        pause_ms: 0,
        events: 0,
        is_unframed: false,
    };
    workers.push(Worker::start(record, "i-app1", "plate-app", 6, plain));
    for worker in &workers {
        worker.beat(&store);
    }
    let entry = Entry::start(record, 1, store.addresses[0])?;
    pause(3_500);
    let address = entry.callers;
    let log = record.clone();
    let callers = thread::spawn(move || {
        let mut callers = Vec::new();
        for number in 0..140 {
            let record = log.clone();
            callers.push(thread::spawn(move || {
                let more = "X-Tanagerford-Model: m\r\nX-Tanagerford-Token-Counts: 9190,54\r\n\
                            X-Tanagerford-Prompt-Prefix: 3a:2520,4b:3780,";
                let more = format!("{more}{:x}:2890\r\n", 0x7000 + number);
                let id = format!("check-{number}");
                let path = format!("/check/{number}");
                let answer = call_with_patience(
                    address,
                    &record,
                    "POST",
                    &path,
                    &id,
                    4_000,
                    PATIENCE_MS,
                    &more,
                );
                (id, record.now_ms(), answer.status)
            }));
            // The sheet has 30.3 of these a second.
            pause(33);
        }
        callers
    });
    pause(1_200);
    if is_trouble() {
        let streams =
            |worker: &Worker| record.count(&format!("{} (lm-prepress): begins", worker.id));
        let busiest = (0..processes.len()).max_by_key(|index| streams(&workers[*index]))?;
        let process = processes[busiest].id().to_string();
        record.add(format!(
            "trouble: the worker {} goes dark",
            workers[busiest].id
        ));
        Command::new("kill")
            .args(["-STOP", &process])
            .status()
            .ok()?;
        workers[busiest].set_beating(false);
        pause(DARK_MS);
        Command::new("kill")
            .args(["-CONT", &process])
            .status()
            .ok()?;
        workers[busiest].set_beating(true);
        record.add(format!(
            "trouble: the worker {} is back",
            workers[busiest].id
        ));
    }
    let mut ends = Vec::new();
    for caller in callers.join().ok()? {
        ends.push(caller.join().ok()?);
    }
    pause(1_500);
    let mut late = 0;
    for (id, left_ms, _) in ends.iter().filter(|(_, _, status)| *status == 0) {
        for (at, line) in record.lines_with(&format!("begins to work on {id} ")) {
            if at > left_ms + LIMIT_MS {
                late += 1;
                record.add(format!(
                    "GONE: {line}, {} ms after its consumer left",
                    at - left_ms
                ));
            }
        }
    }
    record.add(format!(
        "requests that reached a worker over {LIMIT_MS} ms after their consumer had left: {late}"
    ));
    drop(processes);
    drop(entry);
    Some(late > FEW)
}
