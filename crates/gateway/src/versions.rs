//! Software versions at which the streams of callers began.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tanagerford_core::exchange::EntryNumber;
use tanagerford_core::stream_version::{
    BegunStreams, StreamKey, VersionId, VersionMessage, VersionTable, keepers, stream_key,
};
use tanagerford_sync::lock;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::call::Call;

/// Time after which an entry gives up asking for the version of a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which it asks again, since datagrams are lost at times.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(60);

/// Versions of streams that this entry began or keeps for others.
#[derive(Debug)]
pub(crate) struct StreamVersions {
    entry: EntryNumber,
    table: Mutex<VersionTable>,
    /// Streams that this entry began, for the key-value service.
    begun: Mutex<BegunStreams>,
    registered: Mutex<BTreeSet<EntryNumber>>,
    /// Wakes the calls that wait for an answer.
    answered: Notify,
}

/// Message for the keepers of a stream.
#[derive(Debug)]
pub(crate) struct KeeperMessage {
    pub(crate) receivers: Vec<EntryNumber>,
    pub(crate) message: VersionMessage,
}

impl StreamVersions {
    pub(crate) fn new(entry: EntryNumber) -> Self {
        Self {
            entry,
            table: Mutex::default(),
            begun: Mutex::default(),
            registered: Mutex::new(BTreeSet::from([entry])),
            answered: Notify::new(),
        }
    }

    pub(crate) fn entry(&self) -> EntryNumber {
        self.entry
    }

    /// Sets the other registered entries.
    pub(crate) fn set_entries(&self, mut others: BTreeSet<EntryNumber>) {
        others.insert(self.entry);
        *lock(&self.registered) = others;
    }

    /// Keeps the version at which a stream begins; returns the message for the other keepers, which must be sent before the
    /// first event is forwarded.
    pub(crate) fn record(&self, now: Duration, call: &Call, version: VersionId) -> KeeperMessage {
        let stream = stream_key(call.workspace_name(), &call.id);
        lock(&self.table).record(now, stream, version);
        lock(&self.begun).begin(now, stream, version);
        self.to_keepers(stream, Some(version))
    }

    /// Returns the streams that this entry began.
    pub(crate) fn begun(&self) -> MutexGuard<'_, BegunStreams> {
        lock(&self.begun)
    }

    /// Keeps the versions of streams that an entry began before this process started. Those of the same VM are written again.
    pub(crate) fn load(&self, now: Duration, streams: Vec<(StreamKey, VersionId)>, is_own: bool) {
        for (stream, version) in streams {
            lock(&self.table).record(now, stream, version);
            if is_own {
                lock(&self.begun).begin(now, stream, version);
            }
        }
    }

    /// Returns the version at which the stream of `first_attempt` began. Asks its keepers with `send`; `None` if none of
    /// them answers in time.
    pub(crate) async fn lookup(
        &self,
        workspace: &str,
        first_attempt: &str,
        send: impl Fn(KeeperMessage),
    ) -> Option<VersionId> {
        let stream = stream_key(workspace, first_attempt);
        let began = Instant::now();
        loop {
            // Created before the check, so that an answer which arrives in between is not missed.
            let answered = self.answered.notified();
            if let Some(version) = lock(&self.table).version(stream) {
                return Some(version);
            }
            let left = LOOKUP_TIMEOUT.checked_sub(began.elapsed())?;
            send(self.to_keepers(stream, None));
            let _ = timeout(left.min(LOOKUP_INTERVAL), answered).await;
        }
    }

    /// Processes a message of another entry; returns the answer to a question.
    pub(crate) fn receive(&self, now: Duration, message: VersionMessage) -> Option<VersionMessage> {
        let VersionMessage {
            stream, version, ..
        } = message;
        if let Some(version) = version {
            lock(&self.table).record(now, stream, version);
            self.answered.notify_waiters();
            return None;
        }
        let version = lock(&self.table).version(stream)?;
        Some(VersionMessage {
            sender: self.entry,
            stream,
            version: Some(version),
        })
    }

    fn to_keepers(&self, stream: StreamKey, version: Option<VersionId>) -> KeeperMessage {
        let mut receivers = keepers(stream, &lock(&self.registered));
        receivers.retain(|keeper| *keeper != self.entry);
        let message = VersionMessage {
            sender: self.entry,
            stream,
            version,
        };
        KeeperMessage { receivers, message }
    }
}
