//! Callers of the soak test: they reuse connections, send requests of all kinds and check every answer.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::Fleet;
use super::backend::{EVENTS, VERSIONS, event, may_repeat};
use super::request_log::RequestLog;
use super::support::{Received, read_message};

/// Timeout of reads; longer than the longest route timeout, which is 8 s.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const PATHS: [&str; 4] = ["/orders/1", "/looks/1", "/drafts/1", "/chat/1"];
/// API keys with their workspaces. Configurations alternate between having and lacking the third key.
pub const KEYS: [(&str, &str); 3] = [
    ("key-1", "harbour"),
    ("key-2", "harbour"),
    ("key-3", "quay"),
];

struct Connection {
    address: SocketAddr,
    reader: BufReader<TcpStream>,
    requests: u32,
}

impl Connection {
    fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        Some(Self {
            address,
            reader: BufReader::new(stream),
            requests: 0,
        })
    }

    fn exchange(&mut self, request: &str) -> Option<Received> {
        self.requests += 1;
        self.reader.get_mut().write_all(request.as_bytes()).ok()?;
        read_message(&mut self.reader)
    }
}

/// Sends requests until `stop` is set; returns the number of successful answers.
pub fn call_until(
    stop: &AtomicBool,
    fleet: &Fleet,
    request_log: &Arc<RequestLog>,
    seed: u64,
    caller: u32,
) -> u32 {
    let mut random = Pcg64::seed_from_u64(seed ^ u64::from(caller) << 32);
    let mut idle_connection: Option<Connection> = None;
    let mut served = 0;
    let mut number = 0;
    while !stop.load(Ordering::Acquire) {
        number += 1;
        let id = format!("{caller}-{number}");
        let addresses = fleet.addresses();
        let (Some(path), Some(key)) = (PATHS.choose(&mut random), KEYS.choose(&mut random)) else {
            continue;
        };
        let reused = idle_connection.take().filter(|_| random.random_bool(0.8));
        let open = || {
            addresses
                .choose(&mut random)
                .copied()
                .and_then(Connection::open)
        };
        let Some(mut connection) = reused.or_else(open) else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        let begin = Instant::now();
        let answer = connection.exchange(&request(path, &id, *key));
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
        std::thread::sleep(Duration::from_millis(random.random_range(0..20)));
    }
    served
}

/// Returns a request. Backend servers check its body and whether the entry derived the workspace from the key.
pub fn request(path: &str, id: &str, (key, workspace): (&str, &str)) -> String {
    let body = format!("body of {id}");
    format!(
        "POST {path} HTTP/1.1\r\nHost: app.example\r\nX-Tanagerford-Attempt-Id: {id}\r\n\
         X-Tanagerford-Deadline-Remaining: 8000\r\nX-Api-Key: {key}\r\nX-Soak-Workspace: {workspace}\r\n\
         Content-Length: {}\r\n\r\n{body}",
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
        if request_log.runs(id) > 0 && !request_log.was_disturbed(begin) {
            request_log.add_violation(format!(
                "{id} ({path}) ran and its connection ended without an answer"
            ));
        }
        return false;
    };
    let status = answer.line.split(' ').nth(1).unwrap_or_default();
    match status {
        "200" => {
            // A whole stream has the events of one version.
            let bodies = if path.starts_with("/chat/") || path.starts_with("/drafts/") {
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
        "401" if key == KEYS[2].0 => {}
        "500" if answer.header("x-tanagerford-response-seal").is_some() => {}
        "502" | "504" => {}
        _ => request_log.add_violation(format!("{id} ({path}) got {}", answer.line)),
    }
    if status != "401" && !request_log.was_disturbed(begin) {
        request_log.add_violation(format!("{id} ({path}) got {} without a fault", answer.line));
    }
    false
}
