//! Streams of an engine that end with their connection, and bytes of an engine that never end.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use tanagerford_engine::{EngineClient, EngineError, EngineStream, GenerateRequest};

/// Timeout of a call; a passing test never reaches it.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes that an engine without end writes at once.
const REPEATED_BYTES: usize = 8 * 1024;

/// Starts an engine that responds to each connection with `start`, then with `repeated` until the connection is closed. With an
/// empty `repeated` it closes the connection itself. The receiver gets a message for each connection that has ended.
fn start_engine(start: String, repeated: &'static str) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port is free");
    let address = listener.local_addr().expect("address is known");
    let (ended, receiver) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            respond(stream, &start, repeated);
            let _ = ended.send(());
        }
    });
    (address, receiver)
}

fn respond(stream: TcpStream, start: &str, repeated: &str) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        if !reader.read_line(&mut line).is_ok_and(|count| count > 0) {
            return;
        }
    }
    let mut written = reader.get_mut().write_all(start.as_bytes());
    let repeated = repeated.repeat(REPEATED_BYTES / repeated.len().max(1));
    while written.is_ok() && !repeated.is_empty() {
        written = reader.get_mut().write_all(repeated.as_bytes());
    }
}

fn generate(address: SocketAddr) -> Result<EngineStream, EngineError> {
    let client = EngineClient::new(address);
    let (agent, _) = client.take_agent();
    let request = GenerateRequest {
        path: "/v1/chat/completions".to_owned(),
        request_id: "id-1".to_owned(),
        body: Vec::new(),
        priority: 0,
        resume_from_tokens: 0,
        timeout: TIMEOUT,
    };
    client.generate(agent, &request)
}

/// Returns the data of the events until the end or the first error.
fn events(stream: &mut EngineStream) -> (Vec<String>, Option<EngineError>) {
    let mut events = Vec::new();
    loop {
        match stream.next_event() {
            Ok(Some(event)) => events.push(String::from_utf8_lossy(&event.data).into_owned()),
            Ok(None) => return (events, None),
            Err(error) => return (events, Some(error)),
        }
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// Guards against a stream without length and chunks that is taken for lost although it is complete, or for complete although
/// its last event is missing or cut.
#[test]
fn a_stream_that_ends_with_its_connection_needs_its_last_event() {
    let complete = start_engine(format!("{HEAD}data: a\n\ndata: [DONE]\n\n"), "");
    let mut stream = generate(complete.0).unwrap();
    let (data, error) = events(&mut stream);
    assert_eq!(data, ["a", "[DONE]"]);
    assert!(error.is_none());
    for end in ["", "data: b", "data: b\n"] {
        let (address, _ended) = start_engine(format!("{HEAD}data: a\n\n{end}"), "");
        let (data, error) = events(&mut generate(address).unwrap());
        assert_eq!(data, ["a"], "{end:?}");
        assert!(
            matches!(error, Some(EngineError::Lost)),
            "{end:?}: {error:?}"
        );
    }
}

/// Guards against an event without end that is buffered without limit, and against an engine that goes on with it.
#[test]
fn an_event_without_end_is_malformed_and_ends_the_connection() {
    let (address, ended) = start_engine(format!("{HEAD}data: a\n\ndata: "), "endless ");
    let mut stream = generate(address).unwrap();
    let (data, error) = events(&mut stream);
    assert_eq!(data, ["a"]);
    assert!(matches!(error, Some(EngineError::Malformed)), "{error:?}");
    stream.finish();
    ended.recv_timeout(TIMEOUT).expect("the connection ends");
}

/// Guards against a head, or bytes that are no answer, that are buffered without limit until the timeout.
#[test]
fn a_head_without_end_fails_the_call() {
    let endless = [
        ("HTTP/1.1 200 OK\r\nX-Filler: ", "x"),
        ("HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"),
        ("", "no answer "),
    ];
    for (start, repeated) in endless {
        let (address, ended) = start_engine(start.to_owned(), repeated);
        let error = generate(address).err();
        assert!(
            matches!(error, Some(EngineError::Lost)),
            "{start:?}: {error:?}"
        );
        ended.recv_timeout(TIMEOUT).expect("the connection ends");
    }
}

/// Guards against a head that breaks off and is taken for the start of a stream.
#[test]
fn a_head_that_breaks_off_fails_the_call() {
    let head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for cut in 0..head.len() {
        let (address, _ended) = start_engine(head[..cut].to_owned(), "");
        let error = generate(address).err();
        assert!(
            matches!(error, Some(EngineError::Lost)),
            "cut after {cut} bytes: {error:?}"
        );
    }
}
