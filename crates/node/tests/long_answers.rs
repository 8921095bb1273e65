//! Long answers of backend servers, and answers without end, whose callers read slowly or not at all.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use common::{
    KEY, agent, chat_body, configuration, engine_backend, open_links, publish_to, service_backend,
    start_entry, start_sidecar, wait_until,
};
use tanagerford_kv::memory::Memory;
use tanagerford_node::process::{EntryProcess, SidecarProcess};

/// Memory that a node may spend at the size that decides the design.
const NODE_MEMORY_BYTES: u64 = 64_000_000;
/// Callers at the same time, each with an answer without end.
const CALLERS: usize = 2;
/// Frames that may arrive at the entry after the callers have left: a window of the shortest chunks for each.
const MAX_LATE_FRAMES: u64 = 2 * 1024 * 1024 / 256;
/// Time in which a server without limit writes many times that memory.
const WRITE_TIME: Duration = Duration::from_secs(2);

/// Backend server that is a plain service and an engine. Each `POST`, and each request for `/endless`, gets a long answer.
#[derive(Debug, Clone)]
struct LongAnswerServer {
    address: SocketAddr,
    written_bytes: Arc<AtomicU64>,
    open_answers: Arc<AtomicU64>,
    whole_answers: Arc<AtomicU64>,
}

impl LongAnswerServer {
    /// Starts a server that repeats a text, up to a length or without end.
    fn start(repeated: &str, length: Option<usize>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback port");
        let server = Self {
            address: listener.local_addr().expect("address"),
            written_bytes: Arc::default(),
            open_answers: Arc::default(),
            whole_answers: Arc::default(),
        };
        let accepting = server.clone();
        let data = repeated.repeat(16 * 1024 / repeated.len());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, data) = (accepting.clone(), data.clone());
                thread::spawn(move || server.serve(stream, &data, length));
            }
        });
        server
    }

    fn serve(&self, mut stream: TcpStream, data: &str, length: Option<usize>) {
        let mut reader = BufReader::new(stream.try_clone().expect("clone"));
        while let Some(line) = read_head(&mut reader) {
            if !line.starts_with("POST") && !line.contains("/endless") {
                let load =
                    r#"{"running":0,"waiting":0,"max_batch":8,"token_gap_us":100,"age_ms":0}"#;
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", load.len());
                if stream.write_all((head + load).as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.open_answers.fetch_add(1, Ordering::AcqRel);
            let framing = length.map_or("X-Length: none".to_owned(), |length| {
                format!("Content-Length: {length}")
            });
            let head =
                format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n");
            let mut written = stream.write_all(head.as_bytes());
            let mut left = length.unwrap_or(usize::MAX);
            while written.is_ok() && left > 0 {
                let part = &data.as_bytes()[..data.len().min(left)];
                written = stream.write_all(part);
                left -= part.len();
                let bytes = u64::try_from(part.len()).expect("length");
                self.written_bytes.fetch_add(bytes, Ordering::Relaxed);
            }
            self.open_answers.fetch_sub(1, Ordering::AcqRel);
            if written.is_err() {
                return;
            }
            self.whole_answers.fetch_add(1, Ordering::AcqRel);
        }
    }
}

/// Reads a head and the body that its length announces; returns the first line.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|read| *read > 0)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(first)
}

struct Path {
    server: LongAnswerServer,
    entry: EntryProcess,
    _sidecars: [SidecarProcess; 2],
}

/// Starts an entry with sidecars of the server, once as an engine and once as a plain service.
fn start_path(repeated: &str, length: Option<usize>) -> Path {
    let kv = Arc::new(Memory::new());
    publish_to(&kv, &configuration());
    let server = LongAnswerServer::start(repeated, length);
    let entry = start_entry("entry-0", &kv, vec![]);
    let seeds = vec![entry.gossip_address()];
    let engine = engine_backend(server.address);
    let service = service_backend(server.address);
    let sidecars = [
        start_sidecar("engine-0", &engine, &kv, seeds.clone()),
        start_sidecar("plates-0", &service, &kv, seeds),
    ];
    wait_until(|| open_links(&entry) == 2);
    Path {
        server,
        entry,
        _sidecars: sidecars,
    }
}

/// Sends a request and leaves its answer unread.
fn send(entry: SocketAddr, target: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(entry).expect("connection");
    let length = body.len();
    let request = format!(
        "{target} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {length}\r\nIdempotency-Key: {}\r\n\r\n{body}",
        rand::random::<u64>()
    );
    stream.write_all(request.as_bytes()).expect("request");
    stream
}

/// Guards against an entry and a sidecar that keep the bytes of answers without end until their memory is used up or the link
/// between them is closed, and with it the calls of others.
#[test]
fn an_unread_answer_without_end_does_not_fill_the_memory() {
    let chat = chat_body("ticket", 100, true);
    let event = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    let cases = [
        ("GET /plates/endless", "", "endless "),
        ("POST /plates/orders", "plate 7", "endless "),
        ("POST /v1/chat/completions", &chat, event),
    ];
    for (target, body, repeated) in cases {
        let running = start_path(repeated, None);
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| send(running.entry.address(), target, body))
            .collect();
        let open_answers = || running.server.open_answers.load(Ordering::Acquire);
        wait_until(|| open_answers() == CALLERS as u64);
        thread::sleep(WRITE_TIME);
        let written = running.server.written_bytes.load(Ordering::Relaxed);
        assert!(written <= NODE_MEMORY_BYTES, "{target}: {written} bytes");
        // The server is read no further, its calls go on, and so do those of others.
        assert_eq!(open_answers(), CALLERS as u64, "{target}");
        assert_eq!(open_links(&running.entry), 2, "{target}");
        drop(callers);
        if !target.contains("/orders") {
            wait_until(|| open_answers() == 0);
            continue;
        }
        // An order goes on without its caller, and what its server writes then is not sent to the entry.
        let more = running.server.written_bytes.load(Ordering::Relaxed) + 4 * NODE_MEMORY_BYTES;
        wait_until(|| running.server.written_bytes.load(Ordering::Relaxed) >= more);
        let state = common::state(running.entry.operator_address());
        let late_frames = state["late_frames"].as_u64().expect("number");
        assert!(late_frames <= MAX_LATE_FRAMES, "{late_frames}");
    }
}

/// Length of an answer that exceeds what is kept of it on the way many times.
const LONG_BYTES: usize = 24 * 1024 * 1024;
/// Text that such an answer repeats.
const DIGITS: &str = "0123456789abcdef";

/// Guards against a long answer that is cut or never ends because its caller reads more slowly than its server writes.
#[test]
fn a_slow_caller_gets_a_long_answer_whole() {
    let running = start_path(DIGITS, Some(LONG_BYTES));
    let response = agent()
        .get(format!("http://{}/plates/endless", running.entry.address()))
        .header("Authorization", format!("Bearer {KEY}"))
        .call()
        .expect("the answer begins");
    let mut body = response.into_body().into_reader();
    let mut received = Vec::new();
    let mut buffer = vec![0; 256 * 1024];
    loop {
        let read = body.read(&mut buffer).expect("a part of the answer");
        if read == 0 {
            break;
        }
        received.extend_from_slice(&buffer[..read]);
        thread::sleep(Duration::from_millis(2));
    }
    let whole = DIGITS.repeat(LONG_BYTES / DIGITS.len());
    assert!(received == whole.as_bytes(), "{} bytes", received.len());
}

/// Guards against an order whose answer is not read to its end, and so not kept for a repetition, because its caller has left.
#[test]
fn the_answer_to_an_order_is_read_whole_when_its_caller_leaves() {
    let running = start_path(DIGITS, Some(LONG_BYTES));
    let mut caller = send(running.entry.address(), "POST /plates/orders", "plate 7");
    caller
        .read_exact(&mut [0; 4 * 1024])
        .expect("a part of the answer");
    drop(caller);
    wait_until(|| running.server.whole_answers.load(Ordering::Acquire) == 1);
}
