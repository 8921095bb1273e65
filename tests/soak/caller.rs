//! Callers of the soak test: they reuse connections, send requests of all kinds and check every answer.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::Environment;
use super::backend::{EVENTS, VERSIONS, event, is_stream, may_repeat};
use super::request_log::RequestLog;
use super::support::{Received, read_message};

/// Timeout of reads; longer than the longest route timeout, which is 8 s.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const PATHS: [&str; 5] = ["/orders/1", "/looks/1", "/drafts/1", "/chat/1", EXTRA_PATH];
/// Path whose route some configurations lack.
pub const EXTRA_PATH: &str = "/extra/1";
/// Shortest timeout of a route. A request that silent servers kept waiting for so long may fail.
const SHORTEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which a caller sets a connection aside.
const MAX_SET_ASIDE: Duration = Duration::from_secs(4);
/// API keys with their workspaces. Configurations alternate between having and lacking the third key.
pub const KEYS: [(&str, &str); 3] = [
    ("key-1", "harbour"),
    ("key-2", "harbour"),
    ("key-3", "quay"),
];

struct Connection {
    address: SocketAddr,
    reader: BufReader<TcpStream>,
    last_used: Instant,
    /// Shortest idle timeout that the entry may have had in force when the connection opened.
    first_idle_timeout: Duration,
}

impl Connection {
    fn open(environment: &Environment, address: SocketAddr) -> Option<Self> {
        let first_idle_timeout = environment.idle_timeout_since(Instant::now());
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        Some(Self {
            address,
            reader: BufReader::new(stream),
            last_used: Instant::now(),
            first_idle_timeout,
        })
    }

    fn exchange(&mut self, request: &str) -> Option<Received> {
        self.reader.get_mut().write_all(request.as_bytes()).ok()?;
        let answer = read_message(&mut self.reader);
        self.last_used = Instant::now();
        answer
    }
}

/// Sends requests until `stop` is set; returns the number of successful answers.
pub fn call_until(stop: &AtomicBool, environment: &Environment, seed: u64, caller: u32) -> u32 {
    let (fleet, request_log) = (&environment.fleet, &environment.request_log);
    let mut random = Pcg64::seed_from_u64(seed ^ u64::from(caller) << 32);
    let mut idle_connection: Option<Connection> = None;
    // Connection that is used again at the given time, mostly near the end of the idle timeout.
    let mut set_aside: Option<(Connection, Instant)> = None;
    let mut served = 0;
    let mut number = 0;
    while !stop.load(Ordering::Acquire) {
        number += 1;
        let id = format!("{caller}-{number}");
        let addresses = fleet.addresses();
        let (Some(path), Some(key)) = (PATHS.choose(&mut random), KEYS.choose(&mut random)) else {
            continue;
        };
        let is_due = set_aside
            .as_ref()
            .is_some_and(|(_, use_at)| Instant::now() >= *use_at);
        let due = set_aside.take_if(|_| is_due).filter(|(connection, _)| {
            addresses.contains(&connection.address)
                && connection.last_used.elapsed() < longest_idle(environment, connection)
        });
        let reused = idle_connection.take().filter(|_| random.random_bool(0.8));
        let open = || {
            addresses
                .choose(&mut random)
                .copied()
                .and_then(|address| Connection::open(environment, address))
        };
        let due = due.map(|(connection, _)| connection);
        let was_due = due.is_some();
        let Some(mut connection) = due.or(reused).or_else(open) else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        let idle = connection.last_used.elapsed();
        let begin = Instant::now();
        let answer = connection.exchange(&request(connection.address, path, &id, *key));
        if answer.is_none() && request_log.runs(&id) == 0 && !request_log.was_disturbed(begin) {
            // An entry that stops is taken out of the addresses before, and a request may cross its close.
            if fleet.addresses().contains(&connection.address) {
                request_log.add_violation(format!(
                    "{id} ({path}) got no answer on a connection that was idle for {idle:?} and opened at an idle timeout of {:?}",
                    connection.first_idle_timeout
                ));
            }
        }
        served += u32::from(check_answer(
            request_log,
            begin,
            path,
            &id,
            key.0,
            answer.as_ref(),
        ));
        let is_closing = answer
            .as_ref()
            .is_none_or(|answer| answer.header("connection") == Some("close"));
        idle_connection = Some(connection)
            .filter(|connection| !is_closing && addresses.contains(&connection.address));
        let is_kept = set_aside.is_none() && random.random_bool(if was_due { 0.9 } else { 0.1 });
        if let Some(connection) = idle_connection.take_if(|_| is_kept) {
            let longest = longest_idle(environment, &connection).min(MAX_SET_ASIDE);
            let idle = longest.mul_f64(random.random_range(0.5..0.95));
            set_aside = Some((connection, Instant::now() + idle));
        }
        std::thread::sleep(Duration::from_millis(random.random_range(0..20)));
    }
    served
}

/// Returns for how long a caller may leave a connection idle before it uses it again.
fn longest_idle(environment: &Environment, connection: &Connection) -> Duration {
    let idle_timeout = environment.idle_timeout_since(connection.last_used);
    idle_timeout.mul_f64(0.8)
}

/// Returns whether a request may fail: an unplanned fault disturbed it, or silent servers used up its time.
fn is_excused(request_log: &RequestLog, begin: Instant) -> bool {
    let is_late = begin.elapsed() >= SHORTEST_TIMEOUT && request_log.was_silent(begin);
    is_late || request_log.was_disturbed(begin)
}

/// Returns a request to the entry at an address. Backend servers check its body and whether the entry derived the workspace
/// from the key, and tell entries apart by the port.
pub fn request(entry: SocketAddr, path: &str, id: &str, (key, workspace): (&str, &str)) -> String {
    let body = format!("body of {id}");
    format!(
        "POST {path} HTTP/1.1\r\nHost: app.example\r\nX-Tanagerford-Attempt-Id: {id}\r\n\
         X-Tanagerford-Deadline-Remaining: 8000\r\nX-Api-Key: {key}\r\nX-Soak-Workspace: {workspace}\r\n\
         X-Soak-Entry: {}\r\nContent-Length: {}\r\n\r\n{body}",
        entry.port(),
        body.len()
    )
}

/// Checks the answer to a request and records violations; returns whether the answer is a success.
fn check_answer(
    request_log: &RequestLog,
    begin: Instant,
    path: &str,
    id: &str,
    key: &str,
    answer: Option<&Received>,
) -> bool {
    let Some(answer) = answer else {
        if request_log.runs(id) > 0 && !is_excused(request_log, begin) {
            request_log.add_violation(format!(
                "{id} ({path}) ran and its connection ended without a whole answer after {:?}",
                begin.elapsed()
            ));
        }
        return false;
    };
    if let Some(seal) = answer.header("x-tanagerford-response-seal") {
        request_log.record_answer(id, seal);
    }
    let status = answer.line.split(' ').nth(1).unwrap_or_default();
    match status {
        "200" => {
            // A whole stream has the events of one version.
            let bodies = if is_stream(path) {
                let events = |version| (1..=EVENTS).map(move |number| event(id, number, version));
                VERSIONS.map(|version| events(version).collect())
            } else {
                VERSIONS.map(|_| format!("answer of {id}"))
            };
            if answer.id() != id || answer.header("x-tanagerford-response-seal").is_none() {
                request_log.add_violation(format!(
                    "{id} got a success of {:?} or without seal",
                    answer.id()
                ));
            }
            if !bodies.iter().any(|body| answer.body == body.as_bytes()) {
                let text = String::from_utf8_lossy(&answer.body);
                request_log.add_violation(format!("{id} ({path}) got the body {text:?}"));
            }
            return true;
        }
        "503" | "429" | "408" | "421" => request_log.record_not_run(id, status, may_repeat(path)),
        "401" if key == KEYS[2].0 => return false,
        "404" if path == EXTRA_PATH => return false,
        "500" if answer.header("x-tanagerford-response-seal").is_some() => {}
        "502" | "504" => {}
        _ => request_log.add_violation(format!("{id} ({path}) got {}", answer.line)),
    }
    if !is_excused(request_log, begin) {
        let reason = String::from_utf8_lossy(&answer.body);
        request_log.add_violation(format!(
            "{id} ({path}) got {} {reason} without a fault",
            answer.line
        ));
    }
    false
}
