//! Long-running processes of the binary, started in a workdir.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::Workdir;

/// Longest time that a test waits for a state that must come.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Collects the lines of an output in a thread of its own.
fn collect_lines(output: impl Read + Send + 'static, log: &Arc<Mutex<Vec<serde_json::Value>>>) {
    let log = Arc::clone(log);
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let value = serde_json::from_str(&line).unwrap_or(serde_json::Value::String(line));
            log.lock().expect("log is readable").push(value);
        }
    });
}

/// Running process; it is killed when dropped.
pub struct Process {
    child: Child,
    log: Arc<Mutex<Vec<serde_json::Value>>>,
}

impl Process {
    /// Starts the binary and waits until its log has a line with `started`.
    pub fn start(workdir: &Workdir, arguments: &[&str], started: &str) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_tanagerford"))
            .args(arguments)
            .current_dir(workdir.path())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let log = Arc::new(Mutex::new(Vec::new()));
        collect_lines(child.stderr.take().expect("the output is piped"), &log);
        collect_lines(child.stdout.take().expect("the output is piped"), &log);
        let process = Self { child, log };
        wait_until(|| process.logged(started).is_some());
        process
    }

    /// Returns the first log line with this message.
    pub fn logged(&self, message: &str) -> Option<serde_json::Value> {
        let log = self.log.lock().expect("log is readable");
        log.iter().find(|line| line["message"] == message).cloned()
    }

    /// Returns the count of log lines with this message.
    pub fn count(&self, message: &str) -> usize {
        let log = self.log.lock().expect("log is readable");
        log.iter().filter(|line| line["message"] == message).count()
    }

    /// Returns the log lines that carry this request id.
    pub fn lines_of(&self, request_id: &str) -> usize {
        let log = self.log.lock().expect("log is readable");
        log.iter()
            .filter(|line| line["request_id"] == request_id)
            .count()
    }

    /// Returns an address that the line with `message` names.
    pub fn address(&self, message: &str, field: &str) -> SocketAddr {
        let line = self.logged(message).expect("the line was logged");
        let address = line[field].as_str().expect("the line names the address");
        address.parse().expect("address is valid")
    }

    /// Sends SIGTERM, as a service manager does.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends SIGHUP, as a service manager does after a change of the settings.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Kills the process without any notice.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status;
            }
            assert!(Instant::now() < deadline, "the process did not end");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits for a state that must come; fails the test when it does not.
pub fn wait_until(reached: impl Fn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !reached() {
        assert!(Instant::now() < deadline, "state was not reached");
        thread::sleep(Duration::from_millis(10));
    }
}
