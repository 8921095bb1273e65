//! Changes of the key-value service that entries hand on to the others of their zone.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, StatusCode, Uri};
use http_body_util::Full;
use tanagerford_core::change_log::{Change, ChangeBatch, ChangeLog, ChangesSince, wire};
use tanagerford_core::document::{DocumentHash, PackedDocument, StoredDocument};
use tanagerford_core::exchange::{EntryNumber, StoreRole};
use tanagerford_core::store_position::StorePosition;
use tanagerford_http::{Body, Reply};
use tanagerford_sync::lock;
use tokio::sync::Notify;
use tokio::task::spawn_blocking;
use tokio::time::{Instant, timeout, timeout_at};

use crate::codec::Codec;
use crate::gateway::Gateway;
use crate::log;

/// Path at which a reader hands on changes.
pub(crate) const PATH: &str = "/changes";
/// Longest time for which a reader lets a request for changes wait.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Time after the end of that wait at which the asking entry gives the reader up.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Largest answer that is read from another entry, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Timeout of a connection to a reader.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Reason why no reader handed on changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadersError {
    /// No reader answers, or none knows all changes after the position.
    Unavailable,
    /// A reader answers that it has lost the key-value service.
    Disconnected,
}

/// Changes that this entry knows, for the entries that ask for them.
///
/// # Examples
///
/// ```
/// use tanagerford_gateway::changes::ChangeFeed;
///
/// let feed = ChangeFeed::default();
/// assert!(feed.set_reading(true));
/// assert!(!feed.set_reading(true));
/// ```
#[derive(Debug, Default)]
pub struct ChangeFeed {
    log: Mutex<ChangeLog>,
    /// Whether this entry watches the key-value service itself. An entry that does not must not hand anything on, or two
    /// could wait for each other.
    is_reading: AtomicBool,
    changed: Notify,
}

impl ChangeFeed {
    /// Sets whether this entry watches the key-value service and its last call there succeeded; returns whether that is a
    /// change.
    pub fn set_reading(&self, is_reading: bool) -> bool {
        let is_change = self.is_reading.swap(is_reading, Ordering::AcqRel) != is_reading;
        if is_change {
            self.changed.notify_waiters();
        }
        is_change
    }

    /// Empties the log after a read of everything as of `position`.
    pub fn restart(&self, position: StorePosition) {
        lock(&self.log).restart(position);
        self.changed.notify_waiters();
    }

    /// Appends changes that follow `after` without a gap.
    pub fn extend(
        &self,
        after: StorePosition,
        as_of: StorePosition,
        changes: impl IntoIterator<Item = Change>,
    ) {
        lock(&self.log).extend(after, as_of, changes);
        self.changed.notify_waiters();
    }

    /// Waits for changes after a position. Returns no changes if there are none in time, and the status of the refusal if this
    /// entry cannot tell.
    async fn wait_for_changes(
        &self,
        after: StorePosition,
        wait: Duration,
    ) -> Result<ChangeBatch, StatusCode> {
        let end = Instant::now() + wait.min(MAX_WAIT);
        loop {
            // Created before the check, so that a change in between is not missed.
            let changed = self.changed.notified();
            if !self.is_reading.load(Ordering::Acquire) {
                return Err(StatusCode::SERVICE_UNAVAILABLE);
            }
            match lock(&self.log).since(after) {
                ChangesSince::Batch(batch) => return Ok(batch),
                ChangesSince::Gap => return Err(StatusCode::GONE),
                ChangesSince::UpToDate => {}
            }
            if timeout_at(end, changed).await.is_err() {
                return Ok(ChangeBatch {
                    as_of: after,
                    changes: Vec::new(),
                });
            }
        }
    }

    /// Answers an entry that asks for changes. `stored` is the configuration in force, which is likely to be among them.
    pub(crate) async fn answer(
        &self,
        uri: &Uri,
        stored: impl FnOnce() -> Option<Arc<StoredDocument>>,
    ) -> Reply {
        let query = uri.query().unwrap_or_default();
        let result = match parse_query(query) {
            Some((after, wait)) => self.wait_for_changes(after, wait).await,
            None => Err(StatusCode::BAD_REQUEST),
        };
        let encoded = match (result, parse_base(query)) {
            (Ok(batch), Some(base)) => encode_packed(batch, base, stored()).await,
            (Ok(batch), None) => Ok(wire::encode(batch.into_plain())),
            (Err(status), _) => Err(status),
        };
        reply(encoded.map(Bytes::from))
    }
}

/// Encodes changes for an entry that has the document with the hash `base`.
async fn encode_packed(
    mut batch: ChangeBatch,
    base: DocumentHash,
    stored: Option<Arc<StoredDocument>>,
) -> Result<Vec<u8>, StatusCode> {
    if !batch.has_large() {
        return Ok(wire::encode(batch.into_plain()));
    }
    batch.skip_replaced(stored.as_ref().map(|stored| stored.document()));
    let pack = move |value: Bytes| match &stored {
        Some(stored) if *stored.document() == value => pack_for(stored, base),
        _ => StoredDocument::new(value).whole(),
    };
    // Packing takes time in proportion to the document, so it runs beside the calls.
    let encoding = spawn_blocking(move || wire::encode(batch.pack(pack)));
    encoding
        .await
        .map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

/// Packs a document for an entry that has the one with the hash `base`.
pub(crate) fn pack_for(stored: &StoredDocument, base: DocumentHash) -> PackedDocument {
    let changes = stored.changes_since(base);
    changes.unwrap_or_else(|| stored.whole())
}

/// Returns a reply with a body, or an empty one with the status of a refusal.
pub(crate) fn reply(result: Result<Bytes, StatusCode>) -> Reply {
    let (status, body) = match result {
        Ok(body) => (StatusCode::OK, body),
        Err(status) => (status, Bytes::new()),
    };
    let mut reply = Reply::new(Body::full(body));
    *reply.status_mut() = status;
    reply
}

/// Parses the hash of the document that the asking entry has; 0 stands for none. Entries that do not know packed documents
/// name none.
pub(crate) fn parse_base(query: &str) -> Option<DocumentHash> {
    let mut fields = query.split('&');
    let value = fields.find_map(|field| field.strip_prefix("base="))?;
    DocumentHash::from_str_radix(value, 16).ok()
}

/// Parses the position and the wait of a request for changes.
fn parse_query(query: &str) -> Option<(StorePosition, Duration)> {
    let mut fields = query.split('&').map(|field| {
        let (name, value) = field.split_once('=')?;
        Some((name, value.parse::<u64>().ok()?))
    });
    let mut next = |expected: &str| {
        let (name, value) = fields.next()??;
        (name == expected).then_some(value)
    };
    let era = next("era")?;
    let revision = next("revision")?;
    let wait = Duration::from_millis(next("wait_ms")?);
    Some((StorePosition { era, revision }, wait))
}

impl<C: Codec> Gateway<C> {
    /// Returns how this entry learns of changes of the key-value service.
    #[must_use]
    pub fn store_role(&self) -> StoreRole {
        self.summaries().store_role()
    }

    /// Waits up to `wait` for the changes after a position that a reader of this entry's zone hands on. Blocks the calling
    /// thread, which must not be one of the runtime.
    ///
    /// # Errors
    ///
    /// Fails if no reader hands on changes; the caller then has to ask the key-value service.
    pub fn read_changes(
        &self,
        readers: &[EntryNumber],
        after: StorePosition,
        wait: Duration,
    ) -> Result<ChangeBatch, ReadersError> {
        // Half of the followers ask each reader first.
        let turn = usize::from(self.summaries().entry() % 2 == 1);
        let mut error = ReadersError::Unavailable;
        for index in 0..readers.len() {
            let reader = readers[(index + turn) % readers.len()];
            let Some(address) = self.summaries().peer_address(reader) else {
                continue;
            };
            let wait = wait.min(MAX_WAIT);
            let fetch = async {
                let changes = self.fetch_changes(address, after, wait);
                timeout(wait + ANSWER_SLACK, changes).await
            };
            match self.runtime.block_on(fetch) {
                Ok(Ok(batch)) => return Ok(batch),
                Ok(Err(StatusCode::SERVICE_UNAVAILABLE)) => error = ReadersError::Disconnected,
                Ok(Err(status)) => {
                    tracing::debug!(%address, %status, "reader hands on no changes");
                }
                Err(_) => tracing::info!(%address, "reader of the zone does not answer"),
            }
        }
        Err(error)
    }

    async fn fetch_changes(
        &self,
        reader: SocketAddr,
        after: StorePosition,
        wait: Duration,
    ) -> Result<ChangeBatch, StatusCode> {
        let StorePosition { era, revision } = after;
        let wait_ms = wait.as_millis();
        let known = self.stored_document();
        // An answer that cannot be unpacked is followed by a request for the whole document.
        for known in [known, None] {
            let base = known.as_ref().map_or(0, |known| known.hash());
            let path =
                format!("{PATH}?era={era}&revision={revision}&wait_ms={wait_ms}&base={base:x}");
            let body = self.fetch_from_peer(reader, &path, CONNECT_TIMEOUT).await?;
            let batch = wire::decode(&body).filter(|batch| batch.as_of.era == era);
            let batch = batch.ok_or(StatusCode::BAD_GATEWAY)?;
            for packed in batch.packed() {
                self.metrics.on_document(packed);
            }
            let base = known.as_ref().map(|known| &known.document()[..]);
            match batch.unpack(base) {
                Ok(batch) => return Ok(batch),
                Err(error) => log::unpack_failed(reader, error),
            }
        }
        Err(StatusCode::BAD_GATEWAY)
    }

    /// Reads what another entry serves at a path. Returns the status if it refuses, and 502 if it does not answer.
    pub(crate) async fn fetch_from_peer(
        &self,
        peer: SocketAddr,
        path: &str,
        connect_timeout: Duration,
    ) -> Result<Bytes, StatusCode> {
        let broken = |error: &dyn std::fmt::Debug| {
            tracing::debug!(%peer, path, ?error, "cannot read from another entry");
            StatusCode::BAD_GATEWAY
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = path.parse().map_err(|error| broken(&error))?;
        let host = HeaderValue::from_str(&peer.to_string()).map_err(|error| broken(&error))?;
        request.headers_mut().insert(http::header::HOST, host);
        let pool = &self.connection_pool;
        let sent = pool.send(peer, request, connect_timeout, true, |_| true);
        let mut response = sent.await.map_err(|error| broken(&error))?;
        let status = response.head.status();
        let mut body = BytesMut::new();
        while let Some(chunk) = response
            .next_chunk()
            .await
            .map_err(|error| broken(&error))?
        {
            body.extend_from_slice(&chunk);
            if body.len() > MAX_ANSWER_BYTES {
                return Err(broken(&"the answer is too long"));
            }
        }
        if status.is_success() {
            Ok(body.freeze())
        } else {
            Err(status)
        }
    }
}
