//! Backend server of the soak: answers every request in its own way and tells the ledger what it runs.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::ledger::Ledger;
use super::support::{Received, STREAM_HEAD, chunk, read_message};

/// Events of a stream.
pub const EVENTS: u32 = 6;
/// Time between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// What a server does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Normal,
    /// Refuses without running.
    Shed,
    /// Runs and closes the connection without an answer.
    Lose,
    /// Runs and closes in the middle of the answer.
    Cut,
    /// Runs and reports a failure of its own.
    Fail,
    /// Answers half a second late.
    Slow,
}

#[derive(Debug, Clone)]
pub struct Backend {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
}

/// Returns whether requests of a path may run more than once.
pub fn may_repeat(path: &str) -> bool {
    path.starts_with("/looks/") || path.starts_with("/chat/")
}

/// Returns the event `number` of a request's stream.
pub fn event(id: &str, number: u32) -> String {
    format!("id: {number}\ndata: {id}/{number}\n\n")
}

impl Backend {
    pub fn start(ledger: &Arc<Ledger>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback port");
        let backend = Self {
            address: listener.local_addr().expect("address"),
            mode: Arc::new(Mutex::new(Mode::Normal)),
        };
        let (handle, ledger) = (backend.clone(), Arc::clone(ledger));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (backend, ledger) = (handle.clone(), Arc::clone(&ledger));
                thread::spawn(move || backend.serve(stream, &ledger));
            }
        });
        backend
    }

    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().expect("lock") = mode;
    }

    fn serve(&self, stream: TcpStream, ledger: &Ledger) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            if self.answer(&request, &mut writer, ledger).is_none() {
                return;
            }
        }
    }

    /// Answers a request; `None` closes the connection.
    fn answer(&self, request: &Received, writer: &mut TcpStream, ledger: &Ledger) -> Option<()> {
        let mode = *self.mode.lock().expect("lock");
        let id = request.id();
        let path = request.line.split(' ').nth(1).unwrap_or_default();
        if mode == Mode::Shed {
            let shed = format!(
                "HTTP/1.1 503 Full\r\nX-Tanagerford-Attempt-Id: {id}\r\n\
                 X-Tanagerford-Not-Executed: full\r\nContent-Length: 0\r\n\r\n"
            );
            return writer.write_all(shed.as_bytes()).ok();
        }
        ledger.run(id, may_repeat(path));
        let workspace = request.header("x-tanagerford-tenant");
        if workspace != request.header("x-soak-workspace") || request.header("x-api-key").is_some()
        {
            ledger.violation(format!("{id} came with workspace {workspace:?} or its key"));
        }
        if request.body != format!("body of {id}").as_bytes() {
            ledger.violation(format!("{id} came with another body"));
        }
        match mode {
            Mode::Lose => return None,
            Mode::Fail => {
                let failure = format!(
                    "HTTP/1.1 500 Failure\r\nX-Tanagerford-Attempt-Id: {id}\r\n\
                     X-Tanagerford-Response-Seal: seal\r\nContent-Length: 0\r\n\r\n"
                );
                return writer.write_all(failure.as_bytes()).ok();
            }
            Mode::Slow => thread::sleep(Duration::from_millis(500)),
            Mode::Normal | Mode::Cut | Mode::Shed => {}
        }
        if path.starts_with("/chat/") || path.starts_with("/drafts/") {
            return stream(request, writer, mode == Mode::Cut);
        }
        let body = format!("answer of {id}");
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Tanagerford-Attempt-Id: {id}\r\nX-Tanagerford-Response-Seal: seal\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        if mode == Mode::Cut {
            let _ = writer.write_all((head + &body[..4]).as_bytes());
            return None;
        }
        writer.write_all((head + &body).as_bytes()).ok()
    }
}

fn stream(request: &Received, writer: &mut TcpStream, is_cut: bool) -> Option<()> {
    let id = request.id();
    let after: u32 = request
        .header("last-event-id")
        .and_then(|last| last.parse().ok())
        .unwrap_or(0);
    writer
        .write_all(STREAM_HEAD.replace("{id}", id).as_bytes())
        .ok()?;
    for number in after + 1..=EVENTS {
        if is_cut && number > EVENTS / 2 {
            let _ = writer.write_all(b"9\r\nid: 4\nda");
            return None;
        }
        writer
            .write_all(chunk(&event(id, number)).as_bytes())
            .ok()?;
        thread::sleep(EVENT_INTERVAL);
    }
    writer.write_all(b"0\r\n\r\n").ok()
}
