//! Working directory of one test, in which the binary runs.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

pub mod process;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Directory that is removed on drop.
pub struct Workdir {
    path: PathBuf,
}

/// Exit code and output of a command.
#[derive(Debug)]
pub struct CommandOutput {
    /// `None` if a signal ended the command.
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl Workdir {
    /// Creates an empty directory named `test`, which must be unique among all tests.
    pub fn new(test: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("the directory can be created");
        Self { path }
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    pub fn write(&self, name: &str, content: impl AsRef<[u8]>) {
        fs::write(self.path.join(name), content).expect("the file can be written");
    }

    /// Runs the binary in the directory and waits until it exits.
    pub fn run(&self, arguments: &[&str]) -> CommandOutput {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tanagerford"));
        let output = command.args(arguments).current_dir(&self.path).output();
        let output = output.expect("the binary runs");
        CommandOutput {
            code: output.status.code(),
            stdout: String::from_utf8(output.stdout).expect("UTF-8"),
            stderr: String::from_utf8(output.stderr).expect("UTF-8"),
        }
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

impl std::fmt::Display for CommandOutput {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let code = self
            .code
            .map_or("signal".to_owned(), |code| code.to_string());
        write!(formatter, "exit {code}\n{}{}", self.stdout, self.stderr)
    }
}

/// Returns the settings of an entry in the format of the users' platform. `retry_extra` is the number of retries that
/// the budget allows in addition to its ratio.
pub fn platform_settings(vm: &str, zone: &str, store: SocketAddr, retry_extra: u32) -> String {
    format!(
        r#"
node = "{vm}"
zone = "{zone}"
ip = "127.0.0.1"
internalPorts = [0, 15]
[listen]
front = "127.0.0.1:0"
readiness = "127.0.0.1:0"
[limits]
cores = 1
cpuShare = 0.5
[bounds]
graceS = 8
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = {retry_extra}
[provider]
address = "{store}"
"#
    )
}
