//! Test that the client starts no threads. It is in a file of its own because threads of other tests would be counted.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use tanagerford_service::{Call, ServiceClient};

/// Accepts one connection and responds to all its requests with `body`.
fn serve_one_connection(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port is free");
    let address = listener.local_addr().expect("address is known");
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("client connects");
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|count| count > 0) {
            if line == "\r\n" {
                let length = body.len();
                let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
                let sent = reader.get_mut().write_all(reply.as_bytes());
                sent.expect("client reads");
            }
            line.clear();
        }
    });
    address
}

/// Starts a thread and returns its number; the standard library numbers threads consecutively.
fn next_thread_number() -> u64 {
    let id = thread::spawn(|| thread::current().id()).join();
    let text = format!("{:?}", id.expect("thread ends"));
    let digits = text.trim_matches(|character: char| !character.is_ascii_digit());
    digits.parse().expect("thread ids are numbers")
}

/// Guards against a thread per call: the default resolver of `ureq` starts one for each call with a timeout.
#[test]
fn calls_start_no_threads() {
    let client = ServiceClient::new(serve_one_connection("{}"), 1);
    let call = Call {
        method: "GET".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        timeout: Duration::from_secs(20),
        is_repeatable: true,
    };
    let before = next_thread_number();
    for _ in 0..10 {
        let mut response = client.call(&call).expect("service answers");
        let mut text = String::new();
        response
            .body
            .read_to_string(&mut text)
            .expect("body arrives");
        assert_eq!(text, "{}");
    }
    assert_eq!(next_thread_number(), before + 1);
}
