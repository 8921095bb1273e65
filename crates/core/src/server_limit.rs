//! Limits that servers set on the rate of requests from all entries together.
//!
//! A server in need names a limit in its answers, for as long as it needs one. For each limited server, one entry is
//! responsible: it grants permits at the rate of the limit, and every request to the server uses one. An entry without a
//! permit asks for one and meanwhile sends its calls to other servers.
//!
//! The responsible entry is the one with the highest hash among the entries that hear each other, so it needs no election.
//! Entries that are cut off from each other each choose one of their own; it grants only the share of the limit that
//! corresponds to the share of the registered entries that it hears. `docs/decisions.md` derives the bound on the requests
//! that reach a server.

mod bucket;
mod grantor;
mod message;
mod permits;
mod queue;
mod select;
mod statement;
pub mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::dispatch::Rank;
use crate::exchange::EntryNumber;
use grantor::{Grantor, WaitingRequest};
use permits::Permits;

pub use message::{PermitAction, PermitItem, PermitMessage};
pub use queue::{PermitQueue, Place, max_wait, retry_after, room_after};
pub use select::{CallNeed, Selection, preview, select};
pub use statement::{LimitStatement, RequestRate};

/// Time for which a request for permits waits at the responsible entry and is pending at its sender.
const REQUEST_TTL: Duration = Duration::from_millis(500);
/// Time for which a call waits for a grant that is expected at once: a round trip to the responsible entry, with a margin.
pub const GRANT_WAIT: Duration = Duration::from_millis(10);
/// Time for which the entry that received a new statement tells the others.
const NEWS_TIME: Duration = Duration::from_millis(1_500);
/// Interval at which the responsible entry tells all statements, and the time at its start in which it does. The time
/// exceeds the interval of full load summaries.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
const REFRESH_TIME: Duration = Duration::from_millis(400);
/// Smallest rate at which permits are granted. A server that gets no request cannot end its limit.
const MIN_RATE: RequestRate = 0.2;
/// Time for which the end of a limit is remembered, so that an older statement does not begin it again.
const END_RETENTION: Duration = Duration::from_secs(30);
/// Largest number of statements in one load summary.
const MAX_SUMMARY_STATEMENTS: usize = 64;

/// Hash of a server's id and incarnation. A restarted server has no limit until it names one again.
pub type ServerKey = u64;

/// Returns the key of an incarnation of a server, which is the same at every entry.
#[must_use]
pub fn server_key(server: &str, started_unix_ms: Option<u64>) -> ServerKey {
    let incarnation = started_unix_ms.unwrap_or(0);
    xxhash_rust::xxh3::xxh3_64_with_seed(server.as_bytes(), incarnation)
}

/// Change of the limit of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// Limit before; `None` if the server had none.
    pub before: Option<RequestRate>,
    /// Limit now; `None` if it has ended.
    pub now: Option<RequestRate>,
    /// Age of the statement.
    pub age: Duration,
}

/// Statement of a server and the permits for it.
#[derive(Debug)]
struct LimitedServer {
    statement: LimitStatement,
    /// Time at which this entry received the statement in an answer; `None` if another entry told it.
    news_at: Option<Duration>,
    permits: Permits,
    grantor: Grantor,
}

impl LimitedServer {
    fn new(statement: LimitStatement) -> Self {
        Self {
            statement,
            news_at: None,
            permits: Permits::default(),
            grantor: Grantor::default(),
        }
    }
}

/// Limits of servers as known to one entry, and the permits that it holds and grants.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::server_limit::{LimitStatement, LimitTable};
///
/// let now = Duration::from_secs(1);
/// let mut limits = LimitTable::new(1);
/// let statement = LimitStatement { limit: Some(2.0), requested_at: now, answered_at: now };
/// limits.on_answer(now, 77, statement);
/// assert!(!limits.is_permitted(now, 77, 0));
/// // The entry is alone and grants its own requests as soon as the limit allows one.
/// limits.request(now, 77, 0);
/// limits.settle(now);
/// assert!(!limits.take(now, 77, 0));
/// let later = now + Duration::from_millis(500);
/// limits.request(later, 77, 0);
/// limits.settle(later);
/// assert!(limits.take(later, 77, 0));
/// ```
#[derive(Debug)]
pub struct LimitTable {
    entry: EntryNumber,
    servers: BTreeMap<ServerKey, LimitedServer>,
    /// Entries that can be responsible: this one and the registered ones that it hears.
    heard: BTreeSet<EntryNumber>,
    /// Number of registered entries, including this one.
    registered: usize,
    next_sequence: u64,
    outgoing: BTreeMap<EntryNumber, Vec<PermitItem>>,
}

impl LimitTable {
    /// Creates the table of an entry that knows no other entries yet.
    #[must_use]
    pub fn new(entry: EntryNumber) -> Self {
        Self {
            entry,
            servers: BTreeMap::new(),
            heard: BTreeSet::from([entry]),
            registered: 1,
            next_sequence: 0,
            outgoing: BTreeMap::new(),
        }
    }

    /// Sets the other registered entries, and those of them from which this entry recently received a message.
    pub fn set_entries(
        &mut self,
        registered: &BTreeSet<EntryNumber>,
        live: &BTreeSet<EntryNumber>,
    ) {
        self.heard = registered.intersection(live).copied().collect();
        self.heard.insert(self.entry);
        let others = registered.iter().filter(|entry| **entry != self.entry);
        self.registered = others.count() + 1;
    }

    /// Returns the number of registered entries, including this one.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.registered
    }

    /// Returns whether no server has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Forgets the servers that `is_registered` rejects.
    pub fn retain(&mut self, is_registered: impl Fn(ServerKey) -> bool) {
        self.servers.retain(|server, _| is_registered(*server));
    }

    /// Records the statement of an answer; returns the change of the server's limit, if any.
    pub fn on_answer(
        &mut self,
        now: Duration,
        server: ServerKey,
        statement: LimitStatement,
    ) -> Option<LimitChange> {
        let change = self.learn(now, server, statement)?;
        if let Some(state) = self.servers.get_mut(&server) {
            state.news_at = Some(now);
        }
        Some(change)
    }

    fn learn(
        &mut self,
        now: Duration,
        server: ServerKey,
        statement: LimitStatement,
    ) -> Option<LimitChange> {
        let Some(known) = self.servers.get_mut(&server) else {
            statement.limit?;
            self.servers.insert(server, LimitedServer::new(statement));
            return Some(LimitChange {
                before: None,
                now: statement.limit,
                age: now.saturating_sub(statement.answered_at),
            });
        };
        if !known.statement.is_replaced_by(&statement) {
            return None;
        }
        let before = known.statement.limit;
        known.statement = statement;
        if before == statement.limit {
            return None;
        }
        known.news_at = None;
        Some(LimitChange {
            before,
            now: statement.limit,
            age: now.saturating_sub(statement.answered_at),
        })
    }

    /// Returns the limit of a server, or `None` if it has none.
    #[must_use]
    pub fn limit(&self, server: ServerKey) -> Option<RequestRate> {
        self.servers.get(&server)?.statement.limit
    }

    /// Returns the sum of the limits of some servers, infinite if one of them has no limit.
    pub fn total_rate(&self, servers: impl IntoIterator<Item = ServerKey>) -> RequestRate {
        let limit = |server| self.limit(server).unwrap_or(f64::INFINITY);
        servers.into_iter().map(limit).sum()
    }

    /// Returns whether a call can be sent to a server: it has no limit, or this entry holds a permit for the call's rank.
    #[must_use]
    pub fn is_permitted(&self, now: Duration, server: ServerKey, rank: Rank) -> bool {
        let Some(state) = self.servers.get(&server) else {
            return true;
        };
        state.statement.limit.is_none() || state.permits.has_permit(now, rank)
    }

    /// Uses a permit for a call to a server; returns `false` if the server is limited and this entry holds none.
    pub fn take(&mut self, now: Duration, server: ServerKey, rank: Rank) -> bool {
        let Some(state) = self.servers.get_mut(&server) else {
            return true;
        };
        state.statement.limit.is_none() || state.permits.take(now, rank)
    }

    /// Returns whether a request for permits of a server is likely to be granted at once.
    #[must_use]
    pub fn are_granted_at_once(&self, now: Duration, server: ServerKey) -> bool {
        let state = self.servers.get(&server);
        state.is_none_or(|state| state.permits.are_granted_at_once(now))
    }

    /// Asks the responsible entry for permits, unless a request of the same or a higher rank is pending.
    pub fn request(&mut self, now: Duration, server: ServerKey, rank: Rank) {
        let responsible = self.responsible_entry(server);
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        let sequence = self.next_sequence;
        let Some(count) = state.permits.begin_request(now, sequence, rank) else {
            return;
        };
        self.next_sequence += 1;
        let action = PermitAction::Request { count, rank };
        self.send(now, responsible, server, sequence, action);
    }

    /// Processes a message of another entry; returns the changes of limits that it reports.
    pub fn receive(
        &mut self,
        now: Duration,
        message: &PermitMessage,
    ) -> Vec<(ServerKey, LimitChange)> {
        let mut changes = Vec::new();
        for item in &message.items {
            let learned = item
                .statement
                .and_then(|statement| self.learn(now, item.server, statement));
            changes.extend(learned.map(|change| (item.server, change)));
            self.apply(now, message.sender, item);
        }
        changes
    }

    /// Returns permits that were not used, grants permits that are due, and returns whether this entry received any.
    pub fn settle(&mut self, now: Duration) -> bool {
        self.servers.retain(|_, state| {
            let age = now.saturating_sub(state.statement.answered_at);
            state.statement.limit.is_some() || age < END_RETENTION
        });
        let servers: Vec<_> = self.servers.keys().copied().collect();
        let mut has_received = false;
        for server in servers {
            self.return_expired(now, server);
            has_received |= self.grant(now, server);
        }
        has_received
    }

    /// Returns the messages to send, by receiver.
    pub fn take_outgoing(&mut self) -> impl Iterator<Item = (EntryNumber, PermitMessage)> {
        let sender = self.entry;
        let outgoing = std::mem::take(&mut self.outgoing).into_iter();
        outgoing.map(move |(receiver, items)| (receiver, PermitMessage { sender, items }))
    }

    /// Returns the time at which [`LimitTable::settle`] has something to do.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        let due = self.servers.values().flat_map(|state| {
            let rate = self.granted_rate(state);
            [state.permits.next_expiry(), state.grantor.next_due(rate)]
        });
        due.flatten().min()
    }

    /// Returns the statements to tell the other entries: those that are news, and in turns those of servers that this entry
    /// is responsible for.
    #[must_use]
    pub fn summary(&self, now: Duration) -> Vec<(ServerKey, LimitStatement)> {
        let is_refreshing =
            now.as_millis() % REFRESH_INTERVAL.as_millis() < REFRESH_TIME.as_millis();
        let told = self.servers.iter().filter(|(server, state)| {
            let is_news = state
                .news_at
                .is_some_and(|at| now.saturating_sub(at) < NEWS_TIME);
            is_news || (is_refreshing && self.responsible_entry(**server) == self.entry)
        });
        told.map(|(server, state)| (*server, state.statement))
            .take(MAX_SUMMARY_STATEMENTS)
            .collect()
    }

    /// Merges the statements that another entry told; returns the changes of limits.
    pub fn merge(
        &mut self,
        now: Duration,
        statements: &[(ServerKey, LimitStatement)],
    ) -> Vec<(ServerKey, LimitChange)> {
        let changes = statements.iter().filter_map(|(server, statement)| {
            let change = self.learn(now, *server, *statement)?;
            Some((*server, change))
        });
        changes.collect()
    }

    /// Returns the entry that grants the permits of a server (rendezvous hashing).
    fn responsible_entry(&self, server: ServerKey) -> EntryNumber {
        let entries = self.heard.iter().copied();
        let weight = |entry: &EntryNumber| {
            xxhash_rust::xxh3::xxh3_64_with_seed(&entry.to_be_bytes(), server)
        };
        entries.max_by_key(weight).unwrap_or(self.entry)
    }

    /// Returns the rate at which this entry grants permits: the limit, less the share of entries that it does not hear.
    fn granted_rate(&self, state: &LimitedServer) -> RequestRate {
        let count = |entries: usize| f64::from(u32::try_from(entries).unwrap_or(u32::MAX));
        let share = count(self.heard.len()) / count(self.registered.max(1));
        let limit = state.statement.limit.unwrap_or_default();
        limit.max(MIN_RATE) * share.min(1.0)
    }

    fn apply(&mut self, now: Duration, sender: EntryNumber, item: &PermitItem) {
        let Some(state) = self.servers.get(&item.server) else {
            return;
        };
        let rate = self.granted_rate(state);
        let limit = state.statement.limit.unwrap_or_default();
        let Some(state) = self.servers.get_mut(&item.server) else {
            return;
        };
        match item.action {
            PermitAction::Request { count, rank } => {
                state.grantor.push(WaitingRequest {
                    entry: sender,
                    sequence: item.sequence,
                    rank,
                    count,
                    received_at: now,
                });
            }
            PermitAction::Grant { count } => {
                if !state.permits.on_grant(now, item.sequence, count, limit) {
                    let action = PermitAction::Return { count };
                    self.send(now, sender, item.server, item.sequence, action);
                }
            }
            PermitAction::Return { count } => {
                state.grantor.put_back(count, rate);
            }
        }
    }

    /// Grants the permits of a server that are due; returns whether this entry received some.
    fn grant(&mut self, now: Duration, server: ServerKey) -> bool {
        let Some(state) = self.servers.get(&server) else {
            return false;
        };
        let rate = self.granted_rate(state);
        let grants = self.servers.get_mut(&server);
        let grants = grants.map_or_else(Vec::new, |state| state.grantor.grant(now, rate));
        let mut has_received = false;
        for grant in grants {
            has_received |= grant.entry == self.entry;
            let action = PermitAction::Grant { count: grant.count };
            self.send(now, grant.entry, server, grant.sequence, action);
        }
        has_received
    }

    fn return_expired(&mut self, now: Duration, server: ServerKey) {
        let state = self.servers.get_mut(&server);
        let count = state.map_or(0, |state| state.permits.take_expired(now));
        if count > 0 {
            let responsible = self.responsible_entry(server);
            let action = PermitAction::Return { count };
            self.send(now, responsible, server, 0, action);
        }
    }

    /// Queues an item for another entry, or applies it if it is for this one.
    fn send(
        &mut self,
        now: Duration,
        receiver: EntryNumber,
        server: ServerKey,
        sequence: u64,
        action: PermitAction,
    ) {
        let statement = self.servers.get(&server).map(|state| state.statement);
        let item = PermitItem {
            server,
            sequence,
            action,
            statement,
        };
        if receiver == self.entry {
            self.apply(now, receiver, &item);
        } else {
            self.outgoing.entry(receiver).or_default().push(item);
        }
    }
}
