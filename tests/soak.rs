//! Randomized soak of the command `gateway`: real processes, faults from outside of them, and promises that are checked
//! while it runs, from what callers and backend servers see.
//!
//! CI plays [`SEEDS`] and every seed that ever failed. `TANAGERFORD_SOAK=FIRST-LAST` plays other ones by hand:
//! `TANAGERFORD_SOAK=1-50 cargo test --test soak -- --nocapture`.

#[path = "../platform/tests/support/mod.rs"]
mod support;
mod workdir;

#[path = "soak/backend.rs"]
mod backend;
#[path = "soak/caller.rs"]
mod caller;
#[path = "soak/ledger.rs"]
mod ledger;
#[path = "soak/proxy.rs"]
mod proxy;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use backend::{Backend, Mode};
use ledger::Ledger;
use proxy::Proxy;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use support::store::StoreStandin;
use support::{CONFIGURATION, read_message, wait_until};
use workdir::process::Process;
use workdir::{Workdir, platform_settings};

/// Seeds of the short run.
const SEEDS: [u64; 2] = [7, 8];
/// Seeds that failed once, each with its cause.
const REGRESSIONS: [u64; 0] = [];
/// Time after the end of a fault in which its traces may still show: a silent server is left out for up to 4 s.
const SETTLE_TIME: Duration = Duration::from_secs(5);
const ENTRIES: usize = 3;
const SERVERS: usize = 3;
const CALLERS: u32 = 6;
/// Faults of one run, and the time from one to the next.
const FAULTS: u32 = 6;
const STARTED: &str = "entry has started";

/// Entries with the links between them and the store.
struct Fleet {
    slots: Vec<Slot>,
}

struct Slot {
    workdir: Workdir,
    store: Proxy,
    process: Mutex<Option<Process>>,
    address: Mutex<Option<SocketAddr>>,
}

impl Fleet {
    fn start(seed: u64, store: &StoreStandin) -> Self {
        let slots = (0..ENTRIES).map(|index| {
            let link = Proxy::start(store.address);
            let workdir = Workdir::new(&format!("soak_{seed}_{index}"));
            let (vm, zone) = (format!("front-{index}"), format!("zone-{index}"));
            let settings = platform_settings(&vm, &zone, link.address, 300);
            workdir.write("settings.toml", settings);
            Slot {
                workdir,
                store: link,
                process: Mutex::default(),
                address: Mutex::default(),
            }
        });
        let fleet = Self {
            slots: slots.collect(),
        };
        (0..ENTRIES).for_each(|index| fleet.run(index));
        fleet
    }

    /// Starts the process of an entry.
    fn run(&self, index: usize) {
        let slot = &self.slots[index];
        let arguments = ["gateway", "--settings", "settings.toml"];
        let process = Process::start(&slot.workdir, &arguments, STARTED);
        *slot.address.lock().expect("lock") = Some(process.address(STARTED, "callers"));
        *slot.process.lock().expect("lock") = Some(process);
    }

    /// Addresses of the entries that take new connections.
    fn addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.slots.iter();
        addresses
            .filter_map(|slot| *slot.address.lock().expect("lock"))
            .collect()
    }

    fn take(&self, index: usize) -> Option<Process> {
        let slot = &self.slots[index];
        slot.address.lock().expect("lock").take();
        slot.process.lock().expect("lock").take()
    }

    fn signal(&self, index: usize, act: impl FnOnce(&Process)) {
        let process = self.slots[index].process.lock().expect("lock");
        if let Some(process) = process.as_ref() {
            act(process);
        }
    }
}

/// Configuration of a version, with or without the key that comes and goes.
fn configuration(version: u64, has_third_key: bool) -> String {
    let quay = if has_third_key {
        r#", {"name": "quay", "apiKeys": ["key-3"], "priority": 2}"#
    } else {
        ""
    };
    CONFIGURATION
        .replace("\"version\": 7", &format!("\"version\": {version}"))
        .replace("\"priority\": 1}]", &format!("\"priority\": 1}}{quay}]"))
}

/// Everything that faults act on.
struct World {
    store: StoreStandin,
    fleet: Fleet,
    servers: Vec<(Backend, Proxy)>,
    ledger: Arc<Ledger>,
    /// Version of the configuration, and whether it holds the key that comes and goes.
    configuration: Mutex<(u64, bool)>,
    /// Number of the next request that looks whether all is well.
    next_check: AtomicU32,
}

impl World {
    fn start(seed: u64) -> Self {
        let ledger = Arc::new(Ledger::default());
        let store = StoreStandin::start();
        store.put("op/config", &configuration(7, true));
        let servers = ["plain", "engines"].into_iter().flat_map(|pool| {
            let (ledger, store) = (&ledger, &store);
            (0..SERVERS).map(move |index| {
                let backend = Backend::start(ledger);
                let link = Proxy::start(backend.address);
                let entry = format!(
                    r#"{{"service":"{pool}","address":"{}","zone":"zone-{index}","slots":16,"state":"ready","sequence":1}}"#,
                    link.address
                );
                store.put(&format!("servers/{pool}-{index}"), &entry);
                (backend, link)
            })
        });
        let servers = servers.collect();
        Self {
            fleet: Fleet::start(seed, &store),
            store,
            servers,
            ledger,
            configuration: Mutex::new((7, true)),
            next_check: AtomicU32::new(0),
        }
    }

    fn configure(&self) {
        let mut current = self.configuration.lock().expect("lock");
        *current = (current.0 + 2, !current.1);
        self.store
            .put("op/config", &configuration(current.0, current.1));
    }

    /// Brings one fault, waits, and ends it; returns its name.
    fn disturb(&self, random: &mut Pcg64) -> &'static str {
        let entry = random.random_range(0..ENTRIES);
        let server = random.random_range(0..self.servers.len());
        let length = Duration::from_millis(random.random_range(100..900));
        match random.random_range(0..9_u8) {
            0 => self.unplanned(|world| {
                drop(world.fleet.take(entry));
                thread::sleep(length);
                world.fleet.run(entry);
                "entry killed"
            }),
            1 => self.unplanned(|world| {
                world.fleet.signal(entry, Process::pause);
                thread::sleep(length);
                world.fleet.signal(entry, Process::resume);
                "entry paused"
            }),
            2 => {
                // Callers go on using their open connections until the process is gone.
                if let Some(mut process) = self.fleet.take(entry) {
                    process.terminate();
                    if !process.wait().success() {
                        self.ledger
                            .violation("an entry did not end well after SIGTERM");
                    }
                }
                self.fleet.run(entry);
                "entry stopped"
            }
            3 => {
                self.fleet.signal(entry, Process::hang_up);
                thread::sleep(length);
                "settings read again"
            }
            4 => {
                let link = &self.fleet.slots[entry].store;
                match random.random_range(0..4_u8) {
                    0 => link.reset(),
                    1 => link.mute(),
                    2 => link.hold(random.random_bool(0.5), true),
                    _ => link.refuse(),
                }
                self.configure();
                thread::sleep(length);
                self.fleet.slots[entry].store.restore();
                "store link disturbed beside a new configuration"
            }
            5 => {
                self.store.refuse_calls(Some(503));
                thread::sleep(length);
                self.store.refuse_calls(None);
                "store refuses"
            }
            6 => self.unplanned(|world| {
                let link = &world.servers[server].1;
                match random.random_range(0..4_u8) {
                    0 => link.reset(),
                    1 => link.mute(),
                    2 => link.hold(true, true),
                    _ => link.delay(Duration::from_millis(200)),
                }
                thread::sleep(length);
                link.restore();
                "server link disturbed"
            }),
            7 => {
                let modes = [Mode::Shed, Mode::Lose, Mode::Cut, Mode::Fail, Mode::Slow];
                let mode = modes.choose(random).copied().unwrap_or(Mode::Slow);
                self.unplanned(|world| {
                    world.servers[server].0.set_mode(mode);
                    thread::sleep(length);
                    world.servers[server].0.set_mode(Mode::Normal);
                    "server misbehaves"
                })
            }
            _ => {
                self.configure();
                "new configuration"
            }
        }
    }

    fn unplanned(&self, act: impl FnOnce(&Self) -> &'static str) -> &'static str {
        let fault = self.ledger.begin_fault();
        let name = act(self);
        self.ledger.end_fault(fault);
        name
    }

    /// Waits until every entry serves every kind of request, and takes and refuses keys as the last configuration says.
    fn wait_recovered(&self) {
        let (_, has_third_key) = *self.configuration.lock().expect("lock");
        for (index, address) in self.fleet.addresses().into_iter().enumerate() {
            let status = |path: &str, key: (&str, &str)| {
                let number = self.next_check.fetch_add(1, Ordering::Relaxed);
                let id = format!("check-{index}-{number}");
                exchange(address, &caller::request(path, &id, key))
            };
            wait_until(|| {
                let kinds = ["/orders/1", "/looks/1", "/drafts/1", "/chat/1"];
                let expected = if has_third_key { "200" } else { "401" };
                kinds
                    .iter()
                    .all(|path| status(path, caller::KEYS[0]).as_deref() == Some("200"))
                    && status("/looks/1", caller::KEYS[2]).as_deref() == Some(expected)
            });
        }
    }
}

/// Sends a request on a connection of its own; returns the status of its answer.
fn exchange(address: SocketAddr, request: &str) -> Option<String> {
    use std::io::{BufReader, Write};
    let mut stream = std::net::TcpStream::connect(address).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let message = read_message(&mut BufReader::new(stream))?;
    message.line.split(' ').nth(1).map(str::to_owned)
}

/// Plays one seed; returns what broke a promise.
fn soak(seed: u64) -> Vec<String> {
    let mut random = Pcg64::seed_from_u64(seed);
    let world = World::start(seed);
    world.wait_recovered();
    let stop = AtomicBool::new(false);
    let mut names = Vec::new();
    let served: u32 = thread::scope(|scope| {
        let callers = (0..CALLERS).map(|number| {
            let (world, stop) = (&world, &stop);
            scope.spawn(move || caller::call_until(stop, &world.fleet, &world.ledger, seed, number))
        });
        let callers: Vec<_> = callers.collect();
        for _ in 0..FAULTS {
            // Some faults overlap with the traces of the one before, others meet a calm fleet.
            thread::sleep(Duration::from_millis(random.random_range(0..700)));
            names.push(world.disturb(&mut random));
        }
        world.wait_recovered();
        stop.store(true, Ordering::Release);
        let served = callers.into_iter().map(|caller| caller.join().unwrap_or(0));
        served.sum()
    });
    println!("seed {seed}: {served} answers; {}", names.join(", "));
    let mut violations = world.ledger.violations();
    if served == 0 {
        violations.push("no request was served".to_owned());
    }
    violations
}

/// Returns the seeds to play.
fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("TANAGERFORD_SOAK") else {
        return SEEDS.into_iter().chain(REGRESSIONS).collect();
    };
    let (first, last) = range.split_once('-').unwrap_or((&range, &range));
    let number = |text: &str| text.parse::<u64>().expect("TANAGERFORD_SOAK is FIRST-LAST");
    (number(first)..=number(last)).collect()
}

/// Guards against promises that hold in calm only: a request that must not be repeated runs once, an answer goes to its
/// caller, a request that "has not run" never runs, a stop cuts nothing, and everything is served again after faults.
#[test]
fn promises_hold_under_random_faults() {
    let failed: Vec<String> = seeds()
        .into_iter()
        .flat_map(|seed| {
            let violations = soak(seed).into_iter();
            violations.map(move |text| format!("seed {seed}: {text}"))
        })
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
