//! Supplies the configuration in force and keeps it up to date.
//!
//! A [`ConfigFeed`] takes configurations from the key-value service and from peers, by the rules of
//! [`tanagerford_core::generation`]. Request threads read [`ConfigFeed::current`]; a new configuration is read and
//! indexed before it replaces the current one, so they never wait for that.

pub mod message;
pub mod publish;
pub mod store;
mod watcher;

use std::fmt;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Sender, bounded};
use error_stack::{Report, ResultExt};
use serde::Serialize;
use tanagerford_core::config::Configuration;
use tanagerford_core::config::active::ActiveConfiguration;
use tanagerford_core::config::section::{SectionError, SectionUpdate, Sections};
use tanagerford_core::generation::{Comparison, Decision, Replica};
use tanagerford_core::ids::Generation;
use tanagerford_kv::kv::{Kv, Revision, WatchEvent};

use self::store::ReadError;
use tanagerford_sync::{lock, read_lock, write_lock};

/// Times of the feed's calls to the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedSettings {
    /// Timeout of a read.
    pub call_timeout: Duration,
    /// Time without an event after which a watching process reads the head. It bounds how long a dead watch delays a
    /// change, so it must stay well under the 13 s within which a change must be in effect everywhere.
    pub watch_interval: Duration,
}

impl Default for FeedSettings {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(2),
            watch_interval: Duration::from_secs(5),
        }
    }
}

/// Why a configuration could not be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedError {
    /// The key-value service gave no answer.
    Unavailable,
    /// The sections do not make a configuration.
    Malformed,
    /// The sections in force do not belong to the history of the update: fetch all sections.
    Diverged,
}

impl fmt::Display for FeedError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Unavailable => "key-value service gave no answer",
            Self::Malformed => "configuration is malformed",
            Self::Diverged => "configuration in force belongs to another history",
        })
    }
}

impl std::error::Error for FeedError {}

/// State of a feed for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FeedStatus {
    /// Generation in use.
    pub config_generation: Generation,
    /// Newest generation heard of.
    pub newest_heard: Generation,
    /// Whether the process may serve with it.
    pub is_ready: bool,
    /// Whether the process watches the key-value service.
    pub is_watching: bool,
    /// Changes that the watch missed.
    pub missed_by_watch: u64,
}

/// Configuration in force of one process.
#[derive(Debug)]
pub struct ConfigFeed {
    shared: Arc<Shared>,
    /// Dropping the sender stops the watcher.
    watcher: Mutex<Option<Sender<()>>>,
}

struct Shared {
    kv: Arc<dyn Kv>,
    settings: FeedSettings,
    current: RwLock<Arc<ActiveConfiguration>>,
    state: Mutex<State>,
    missed: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    replica: Replica,
    sections: Option<Sections>,
    /// Whether the sections in force were found to belong to another history than a newer configuration.
    is_diverged: bool,
}

impl fmt::Debug for Shared {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("Shared");
        shown
            .field("generation", &self.generation())
            .finish_non_exhaustive()
    }
}

impl ConfigFeed {
    /// Creates a feed with an empty configuration of generation 0; it makes no call by itself.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use tanagerford_node::config_feed::{ConfigFeed, FeedSettings};
    /// use tanagerford_kv::memory::Memory;
    ///
    /// let feed = ConfigFeed::new(Arc::new(Memory::new()), FeedSettings::default());
    /// assert_eq!(feed.load().unwrap(), 0);
    /// assert!(!feed.is_ready());
    /// ```
    #[must_use]
    pub fn new(kv: Arc<dyn Kv>, settings: FeedSettings) -> Self {
        let shared = Shared {
            kv,
            settings,
            current: RwLock::default(),
            state: Mutex::default(),
            missed: AtomicU64::new(0),
        };
        Self {
            shared: Arc::new(shared),
            watcher: Mutex::default(),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> Arc<ActiveConfiguration> {
        self.shared.current()
    }

    /// Returns the generation in force; 0 before the first configuration.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.shared.generation()
    }

    /// Returns the generation after which a peer's sections are needed: the one in force, or 0 after a divergence.
    #[must_use]
    pub fn fetch_base(&self) -> Generation {
        let state = self.shared.state();
        if state.is_diverged {
            0
        } else {
            state.replica.generation_in_use()
        }
    }

    /// Tells whether the process may serve: it holds a configuration, and the key-value service or several peers had
    /// nothing newer when it started.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.state().replica.is_ready()
    }

    /// Reads the configuration from the key-value service and returns the generation then in force.
    ///
    /// # Errors
    ///
    /// Fails if the service gives no answer or holds no valid configuration; the one in force stays.
    pub fn load(&self) -> Result<Generation, Report<FeedError>> {
        self.shared.load()?;
        Ok(self.generation())
    }

    /// Takes the generation that a message carried. If the sender is newer, fetch its sections after
    /// [`fetch_base`](Self::fetch_base) and give them to [`accept`](Self::accept).
    pub fn on_message(&self, sender: Generation) -> Comparison {
        self.shared.state().replica.on_message(sender)
    }

    /// Takes a peer's answer during startup, after its sections were accepted; `known_peers` is the count of live peers.
    pub fn on_peer(&self, peer: &str, generation: Generation, known_peers: usize) {
        self.shared
            .state()
            .replica
            .on_peer_generation(peer, generation, known_peers);
    }

    /// Forgets the startup answer of a peer that left or failed.
    pub fn on_peer_gone(&self, peer: &str) {
        self.shared.state().replica.on_peer_gone(peer);
    }

    /// Returns the sections that changed after `generation`, for a peer that uses it; `None` before the first
    /// configuration.
    #[must_use]
    pub fn sections_since(&self, generation: Generation) -> Option<SectionUpdate> {
        let state = self.shared.state();
        Some(state.sections.as_ref()?.changed_since(generation))
    }

    /// Takes the sections that a peer gave after [`fetch_base`](Self::fetch_base).
    ///
    /// # Errors
    ///
    /// Fails if the sections do not make a configuration, or not together with those in force; the one in force stays.
    /// After [`FeedError::Diverged`], fetch again: `fetch_base` then asks for all sections.
    pub fn accept(&self, update: &SectionUpdate) -> Result<Decision, Report<FeedError>> {
        self.shared.accept(update)
    }

    /// Starts or stops watching the key-value service.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub fn set_watching(&self, is_watching: bool) -> io::Result<()> {
        let mut watcher = lock(&self.watcher);
        if !is_watching {
            *watcher = None;
        } else if watcher.is_none() {
            let (sender, stop) = bounded(0);
            let shared = Arc::clone(&self.shared);
            let thread = thread::Builder::new().name("config-watcher".to_owned());
            thread.spawn(move || watcher::run(&shared, &stop))?;
            *watcher = Some(sender);
        }
        Ok(())
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn status(&self) -> FeedStatus {
        let watcher = lock(&self.watcher);
        let state = self.shared.state();
        FeedStatus {
            config_generation: state.replica.generation_in_use(),
            newest_heard: state.replica.newest_seen(),
            is_ready: state.replica.is_ready(),
            is_watching: watcher.is_some(),
            missed_by_watch: self.shared.missed.load(Ordering::Relaxed),
        }
    }
}

impl Shared {
    fn current(&self) -> Arc<ActiveConfiguration> {
        let current = read_lock(&self.current);
        Arc::clone(&current)
    }

    fn generation(&self) -> Generation {
        self.current().generation()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn count_missed(&self) {
        self.missed.fetch_add(1, Ordering::Relaxed);
    }

    fn load(&self) -> Result<Revision, Report<FeedError>> {
        let stored = store::read(&*self.kv, self.settings.call_timeout);
        let stored = stored.map_err(|report| {
            let error = match report.current_context() {
                ReadError::Unavailable => FeedError::Unavailable,
                ReadError::Malformed => FeedError::Malformed,
            };
            report.change_context(error)
        })?;
        let mut state = self.state();
        if let Some(sections) = stored.sections {
            self.install(&mut state, sections)?;
        }
        let held = stored.head.head.generation;
        state.replica.on_store_generation(held);
        if held < state.replica.generation_in_use() {
            let used = state.replica.generation_in_use();
            tracing::warn!(
                held,
                used,
                "key-value service holds an older configuration; it is ignored"
            );
        }
        Ok(stored.revision)
    }

    fn accept(&self, update: &SectionUpdate) -> Result<Decision, Report<FeedError>> {
        let mut state = self.state();
        if update.generation <= state.replica.generation_in_use() {
            return Ok(state.replica.on_offer(update.generation));
        }
        let sections =
            Sections::with_update(state.sections.as_ref(), update).map_err(|report| {
                let is_diverged = *report.current_context() == SectionError::Diverged;
                state.is_diverged |= is_diverged;
                report.change_context(if is_diverged {
                    FeedError::Diverged
                } else {
                    FeedError::Malformed
                })
            })?;
        self.install(&mut state, sections)
    }

    /// Puts a whole configuration in force, unless it is not newer. It is counted as used only after it is known to be
    /// usable.
    fn install(
        &self,
        state: &mut State,
        sections: Sections,
    ) -> Result<Decision, Report<FeedError>> {
        let generation = sections.generation();
        if generation <= state.replica.generation_in_use() {
            return Ok(state.replica.on_offer(generation));
        }
        let configuration: Configuration = sections.merge().change_context(FeedError::Malformed)?;
        let active = ActiveConfiguration::new(configuration);
        let active = Arc::new(active.change_context(FeedError::Malformed)?);
        let decision = state.replica.on_offer(generation);
        if decision == Decision::Use {
            state.sections = Some(sections);
            state.is_diverged = false;
            *write_lock(&self.current) = active;
            tracing::info!(generation, "configuration is in force");
        }
        Ok(decision)
    }

    /// Applies watched changes in their order; `false` means that the whole configuration must be read.
    fn apply_events(&self, events: &[WatchEvent]) -> bool {
        let revisions = events.chunk_by(|left, right| left.mod_revision == right.mod_revision);
        revisions
            .into_iter()
            .all(|revision| self.apply_revision(revision))
    }

    fn apply_revision(&self, events: &[WatchEvent]) -> bool {
        let (head, update) = match store::decode_events(events) {
            Ok(Some(decoded)) => decoded,
            // Not a published configuration; the head's generation did not move.
            Ok(None) => return true,
            Err(_) => return false,
        };
        let used = self.generation();
        if head.generation <= used {
            return true;
        }
        // The sections of the event complete only the generation that the head replaced.
        head.replaced() == Some(used) && self.accept(&update).is_ok()
    }
}
