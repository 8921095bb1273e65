//! Long-running processes of the binary that run in a working directory.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::Workdir;

/// Time after which a test fails that waits for a condition or an answer.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a thread that adds the lines of an output to `log`.
fn collect_lines(output: impl Read + Send + 'static, log: &Arc<Mutex<Vec<serde_json::Value>>>) {
    let log = Arc::clone(log);
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let value = serde_json::from_str(&line).unwrap_or(serde_json::Value::String(line));
            log.lock().expect("log is readable").push(value);
        }
    });
}

/// Running process; it is killed on drop.
pub struct Process {
    child: Child,
    log: Arc<Mutex<Vec<serde_json::Value>>>,
}

impl Process {
    /// Starts the binary and waits until it has logged the message `started`.
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
        wait_until(|| process.find_line(started).is_some());
        process
    }

    /// Returns the first log line with this message.
    pub fn find_line(&self, message: &str) -> Option<serde_json::Value> {
        let log = self.log.lock().expect("log is readable");
        log.iter().find(|line| line["message"] == message).cloned()
    }

    /// Returns the number of log lines with this message.
    pub fn count_lines(&self, message: &str) -> usize {
        let log = self.log.lock().expect("log is readable");
        log.iter().filter(|line| line["message"] == message).count()
    }

    /// Returns the number of log lines with this request id.
    pub fn count_request_lines(&self, request_id: &str) -> usize {
        let log = self.log.lock().expect("log is readable");
        log.iter()
            .filter(|line| line["request_id"] == request_id)
            .count()
    }

    /// Returns the address in a field of the first log line with this message.
    pub fn address(&self, message: &str, field: &str) -> SocketAddr {
        let line = self.find_line(message).expect("the line was logged");
        let address = line[field].as_str().expect("the line has the address");
        address.parse().expect("address is valid")
    }

    /// Sends SIGTERM, with which a service manager stops a process.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends SIGHUP, with which a service manager makes a process reload its settings.
    pub fn send_sighup(&self) {
        self.signal("-HUP");
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Kills the process with SIGKILL and waits until it is gone.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Waits until the process exits; fails the test after [`WAIT_TIMEOUT`].
    pub fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "the process did not exit in time"
            );
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

/// Waits until a condition holds; fails the test after [`WAIT_TIMEOUT`].
pub fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "the condition did not hold in time"
        );
        thread::sleep(Duration::from_millis(10));
    }
}
