//! Runs calls of plain services.

use std::io::Read;

use tanagerford_link::message::{self, Outcome, frame};
use tanagerford_service::{Answer, Call, Header, ServiceClient, ServiceError};

use super::state::Work;

/// Bytes of the answer's body in one frame.
const CHUNK_BYTES: usize = 16 * 1024;

/// Advice to come back when the service cannot be reached.
const RETRY_AFTER_MS: u32 = 250;

/// Runs one call and sends its answer to the entry.
pub(crate) fn run(client: &ServiceClient, work: &Work) {
    work.send(frame::Body::Accepted(message::Accepted {
        attempt_id: work.submit.attempt_id,
    }));
    tracing::info!(
        request_id = work.submit.request_id,
        "handed a call to the service"
    );
    match client.call(&call_of(work)) {
        Ok(answer) => relay(work, answer),
        Err(error @ (ServiceError::Unreachable | ServiceError::Invalid)) => {
            work.refuse("server_failed", &error.to_string(), RETRY_AFTER_MS);
        }
        Err(error @ ServiceError::Lost) => work.finish(0, Outcome::Failed, &error.to_string()),
    }
}

fn call_of(work: &Work) -> Call {
    let submit = &work.submit;
    let headers = submit.headers.iter().map(|header| Header {
        name: header.name.clone(),
        value: header.value.clone(),
    });
    Call {
        method: submit.method.clone(),
        path: submit.path.clone(),
        headers: headers.collect(),
        body: submit.body.clone(),
        timeout: work.time_left(),
        repeatable: submit.order_key.is_empty(),
    }
}

fn relay(work: &Work, answer: Answer) {
    let headers = answer.headers.into_iter().map(|header| message::Header {
        name: header.name,
        value: header.value,
    });
    work.send(frame::Body::Head(message::Head {
        attempt_id: work.submit.attempt_id,
        status: u32::from(answer.status),
        headers: headers.collect(),
    }));
    let mut body = answer.body;
    let mut chunks = 0;
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        match body.read(&mut buffer) {
            Ok(0) => return work.finish(chunks, Outcome::Complete, ""),
            Ok(count) => {
                work.send(frame::Body::Chunk(message::Chunk {
                    attempt_id: work.submit.attempt_id,
                    sequence: chunks,
                    data: buffer[..count].to_vec(),
                    tokens: 0,
                }));
                chunks += 1;
            }
            Err(error) => return work.finish(chunks, Outcome::Failed, &error.to_string()),
        }
    }
}
