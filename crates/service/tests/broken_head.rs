//! Answers of a service that break off.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use tanagerford_service::{Call, ServiceClient};

/// Responds to each connection with `start` and closes it.
fn start_service(start: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port is free");
    let address = listener.local_addr().expect("address is known");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream);
            let mut line = String::new();
            while line != "\r\n" {
                line.clear();
                if !reader.read_line(&mut line).is_ok_and(|count| count > 0) {
                    break;
                }
            }
            // The client may have closed the connection.
            let _ = reader.get_mut().write_all(start.as_bytes());
        }
    });
    address
}

/// Guards against an answer that breaks off in its head, or in its body, and is taken for a whole one with an empty or short
/// body.
#[test]
fn an_answer_that_breaks_off_is_no_success() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
    for cut in 0..answer.len() {
        let client = ServiceClient::new(start_service(answer[..cut].to_owned()), 1);
        let call = Call {
            method: "POST".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: Duration::from_secs(20),
            is_repeatable: false,
        };
        let body = client.call(&call).ok().and_then(|mut response| {
            let mut text = String::new();
            response.body.read_to_string(&mut text).ok()?;
            Some(text)
        });
        assert_eq!(body, None, "cut after {cut} bytes");
    }
}
