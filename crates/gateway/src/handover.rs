//! Bounds the time for which two servers work on one resumable stream.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tanagerford_http::connection_pool::{ExchangeError, PooledResponse};
use tanagerford_sync::lock;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, timeout_at};

use crate::call::Call;
use crate::codec::Codec;
use crate::fleet::BackendServer;
use crate::gateway::Gateway;

/// Time from the moment at which a stream is written to another server until one of the two connections is closed, unless the
/// other one has ended meanwhile. The platform's rules allow 400 ms; the rest is for the way to both servers.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Time at which a stream was written to another server, if that server may work on it.
#[derive(Debug, Default)]
pub(crate) struct Handover {
    written_at: Mutex<Option<Instant>>,
    written: Notify,
}

/// Two servers that may work on one stream.
pub(crate) struct Overlap {
    pub(crate) call: Arc<Call>,
    /// Server that had the stream first.
    pub(crate) earlier: Arc<BackendServer>,
    /// Handover to the other one.
    pub(crate) handover: Arc<Handover>,
}

/// Server that must end when two have worked on one stream for long enough.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GivenUp {
    /// The one that had the stream first.
    Earlier,
    /// The one that was asked to go on.
    Later,
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

    /// Waits until the stream is written to another server; returns the time at which it was.
    async fn written_at(&self) -> Instant {
        loop {
            // Created before the check, so that a write in between is not missed.
            let written = self.written.notified();
            if let Some(written_at) = *lock(&self.written_at) {
                return written_at;
            }
            written.await;
        }
    }
}

impl<C: Codec> Gateway<C> {
    /// Waits until two servers have worked on one stream for long enough, and returns which one must end.
    ///
    /// A silent server whose process reacts is sound and will go on, while the other one may still refuse the stream. Without
    /// a reaction the stream depends on the other one.
    pub(crate) async fn overlap_end(&self, overlap: &Overlap) -> GivenUp {
        let Overlap {
            call,
            earlier,
            handover,
        } = overlap;
        loop {
            let written_at = handover.written_at().await;
            let end = (written_at + MAX_OVERLAP).into();
            let reacts = timeout_at(end, self.reacts(earlier)).await.unwrap_or(false);
            sleep_until(end).await;
            // The other server may have ended meanwhile.
            if *lock(&handover.written_at) == Some(written_at) {
                tracing::info!(
                    request = call.id,
                    server = earlier.id,
                    reacts,
                    "one of two servers of a stream is given up"
                );
                return if reacts {
                    GivenUp::Later
                } else {
                    GivenUp::Earlier
                };
            }
        }
    }

    /// Asks a server for its report, and returns whether its process reacts in any way: it answers, or it ends the connection.
    async fn reacts(&self, server: &Arc<BackendServer>) -> bool {
        if !self.summaries.limits().may_send(self.fleet.now(), server) {
            // It has just asked for a rest, or said that it leaves.
            return true;
        }
        let request = self.codec.report_request(server);
        let (pool, address) = (&self.connection_pool, server.address);
        match pool
            .send(address, request, MAX_OVERLAP, true, |_| true)
            .await
        {
            Ok(response) => {
                let is_other = self.codec.response_head(&response.head).is_wrong_server;
                self.runtime.spawn(read_to_end(response));
                !is_other
            }
            Err(ExchangeError::Broken(_) | ExchangeError::NotSent) => true,
            Err(ExchangeError::Connect(_) | ExchangeError::Withheld) => false,
        }
    }
}

/// Reads a short response to its end, so that its connection can be used again.
async fn read_to_end(mut response: PooledResponse) {
    let reading = async { while let Ok(Some(_)) = response.next_chunk().await {} };
    let _ = timeout(MAX_OVERLAP, reading).await;
}
