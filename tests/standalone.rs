//! Tests of the command `standalone`.

mod workdir;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use serde_json::{Value, json};
use workdir::Workdir;
use workdir::process::{WAIT_TIMEOUT, wait_until};

/// Running process; it is killed on drop.
struct Standalone(Child);

impl Drop for Standalone {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the command and returns it with the URLs that it prints for callers and operators.
fn start(workdir: &Workdir) -> (Standalone, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tanagerford"));
    command.args(["standalone", "--port", "0", "--operator-port", "0"]);
    command.current_dir(workdir.path()).stdout(Stdio::piped());
    let mut child = command.spawn().expect("the binary starts");
    let stdout = child.stdout.take().expect("the output is piped");
    let standalone = Standalone(child);
    let lines = BufReader::new(stdout).lines().map_while(Result::ok);
    let lines: Vec<_> = lines.take(4).collect();
    let address = |label: &str| {
        let line = lines.iter().find_map(|line| line.strip_prefix(label));
        let url = line.unwrap_or_else(|| panic!("{label} is missing in {lines:?}"));
        url.trim().to_owned()
    };
    (standalone, address("callers:"), address("operators:"))
}

fn post(url: &str, body: &str) -> Option<(u16, String)> {
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(WAIT_TIMEOUT))
        .build()
        .new_agent();
    let request = agent
        .post(url)
        .header("Authorization", "Bearer demo-key")
        .header("Idempotency-Key", "k1");
    let mut response = request.send(body).ok()?;
    let text = response.body_mut().read_to_string().ok()?;
    Some((response.status().as_u16(), text))
}

/// Guards against a built-in configuration that is refused, and against an entry that does not reach the stand-ins.
#[test]
fn chat_and_order_are_answered_and_a_drain_ends_the_process() {
    let workdir = Workdir::new("standalone_first_try");
    let (mut standalone, callers, operators) = start(&workdir);
    let messages = json!([{"role": "user", "content": "hi"}]);
    let body = json!({"model": "preflight", "max_tokens": 3, "messages": messages}).to_string();
    let chat = format!("{callers}/v1/chat/completions");
    wait_until(|| post(&chat, &body).is_some_and(|(status, _)| status == 200));
    let order = format!("{callers}/plates/orders");
    wait_until(|| post(&order, "plate 7").is_some_and(|(status, _)| status == 201));
    let (status, text) = post(&order, "plate 7").expect("answer arrives");
    assert_eq!(status, 201, "{text}");
    let answer: Value = serde_json::from_str(&text).expect("answer is JSON");
    assert_eq!(answer["effects"], 1, "{text}");
    let operators = operators.trim_start_matches("http://");
    let drained = workdir.run(&["drain", operators]);
    assert_eq!(drained.stdout.trim(), "draining");
    let ended = standalone.0.wait().expect("the process ends");
    assert_eq!(ended.code(), Some(0));
}
