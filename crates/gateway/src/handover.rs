//! Bounds the time for which two servers work on one resumable stream.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use tanagerford_sync::lock;
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Time from the moment at which a stream is written to another server until the connection to the one before is closed,
/// unless the other one has ended meanwhile. The platform's rules allow 400 ms; the rest is for the way to both servers.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Time at which a stream was written to another server, if that server may work on it.
#[derive(Debug, Default)]
pub(crate) struct Handover {
    written_at: Mutex<Option<Instant>>,
    written: Notify,
}

impl Handover {
    /// Records that the stream is written to another server now. Only the first time counts.
    pub(crate) fn on_written(&self) {
        lock(&self.written_at).get_or_insert_with(Instant::now);
        self.written.notify_waiters();
    }

    /// Records that no other server works on the stream.
    pub(crate) fn clear(&self) {
        *lock(&self.written_at) = None;
    }

    /// Waits until the server before must no longer work on the stream.
    pub(crate) async fn expired(&self) {
        loop {
            // Created before the check, so that a write in between is not missed.
            let written = self.written.notified();
            let written_at = *lock(&self.written_at);
            let Some(written_at) = written_at else {
                written.await;
                continue;
            };
            sleep_until((written_at + MAX_OVERLAP).into()).await;
            // The other server may have ended meanwhile.
            if *lock(&self.written_at) == Some(written_at) {
                return;
            }
        }
    }
}
