//! Limits, rests and leavings that backend servers name in their answers, and the choice among the servers that are left.
//!
//! [`LimitTable`] decides who may call a limited server, and [`AvailabilityTable`] which servers want no call now. This module
//! keeps the calls that wait for a permit or for the end of a rest, and logs the changes. [`Summaries`](crate::peers::Summaries) sends and receives the messages.

use std::borrow::Cow;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tanagerford_core::availability::{AvailabilityTable, MAX_REST, PoolAvailability, TrialCall};
use tanagerford_core::dispatch::{CallNumber, Choice, Demand, Pool};
use tanagerford_core::exchange::EntryNumber;
use tanagerford_core::ids::ServerId;
use tanagerford_core::server_limit::{
    self, CallNeed, GRANT_WAIT, LimitChange, LimitStatement, LimitTable, PermitMessage, Place,
    RequestRate, Selection, ServerKey, server_key, wire,
};
use tanagerford_core::stream_version::VersionId;
use tanagerford_sync::lock;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::fleet::{BackendServer, Fleet, PoolState, ServersById};

/// Interval at which a waiting call looks for a server even if no permit arrives, since a server may have joined.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What the head of an answer says about the limit of its server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitHeader {
    /// The server names no limit.
    #[default]
    Absent,
    /// Requests per second that the server takes from all entries together.
    PerSecond(RequestRate),
    /// The value is not a number of requests per second.
    Invalid,
}

/// What the head of an answer says about further calls of this entry to its server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AvailabilityHeader {
    /// Longest time for which the server, which turned a request away, wants no further call; `None` if it names no
    /// readable one.
    pub rest: Option<Duration>,
    /// Whether the head names a time of rest that cannot be read.
    pub is_rest_unreadable: bool,
    /// Whether the server says that it leaves.
    pub is_leaving: bool,
}

/// Call that needs a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerRequest<'a> {
    pub(crate) pool: &'a PoolState,
    pub(crate) number: CallNumber,
    pub(crate) demand: &'a Demand,
    pub(crate) tried_servers: &'a [ServerId],
    /// Version of the servers that the call may be sent to; `None` if any may run it.
    pub(crate) version: Option<VersionId>,
    pub(crate) deadline: Instant,
}

impl ServerRequest<'_> {
    /// Returns the servers that were tried and those of versions that the call may not be sent to.
    fn excluded_servers(&self, servers: &ServersById) -> Cow<'_, [ServerId]> {
        let Some(version) = self.version else {
            return Cow::Borrowed(self.tried_servers);
        };
        let others = servers
            .values()
            .filter(|server| server.version_id() != version);
        let others = others.map(|server| server.id.clone());
        Cow::Owned(self.tried_servers.iter().cloned().chain(others).collect())
    }
}

/// Server to which a call is sent.
#[derive(Debug)]
pub(crate) struct SelectedServer {
    pub(crate) server: Arc<BackendServer>,
    pub(crate) choice: Choice,
    /// Address of the server from which the choice lets the server fetch parts of the prompt.
    pub(crate) fetch_from: Option<SocketAddr>,
    /// Cheaper server that was left out because it limits its requests.
    pub(crate) avoided: Option<ServerId>,
    /// Time for which the call waited for a permit or for the end of a rest.
    pub(crate) held: Duration,
    /// Counts the call among the first ones after a rest until it is answered.
    _trial: Option<TrialGuard>,
}

/// One of the first calls to a server after its rest, until it is dropped.
#[derive(Debug)]
struct TrialGuard {
    availability: Arc<Mutex<AvailabilityTable>>,
    call: TrialCall,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        lock(&self.availability).on_end(self.call);
    }
}

/// Result of one try to select a server.
struct Tried {
    selection: Selection,
    server: Option<Arc<BackendServer>>,
    fetch_from: Option<SocketAddr>,
    trial: Option<TrialGuard>,
    availability: PoolAvailability,
}

/// Reason why no server was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SelectError {
    /// No server is left.
    NoServer,
    /// All servers limit their requests; they have room after this time.
    Limited(Duration),
    /// The servers that are left asked for a rest; the first one is back after this time.
    AtRest(Duration),
}

/// Limits of the servers as known to this entry.
#[derive(Debug)]
pub(crate) struct RequestLimits {
    table: Mutex<LimitTable>,
    availability: Arc<Mutex<AvailabilityTable>>,
    /// Wakes the waiting calls when permits have arrived or a limit has changed.
    changed: Notify,
    /// Wakes the task that sends messages.
    wake_up: async_channel::Sender<()>,
}

/// Place of a waiting call, which it leaves when it is dropped.
struct HeldPlace<'a> {
    limits: &'a RequestLimits,
    pool: &'a PoolState,
    place: Place,
    is_served: bool,
}

impl Drop for HeldPlace<'_> {
    fn drop(&mut self) {
        self.pool.permit_queue().leave(self.place, self.is_served);
        self.limits.changed.notify_waiters();
    }
}

impl RequestLimits {
    /// Creates the limits of an entry. A message on `wake_up` asks for a call of [`RequestLimits::take_outgoing`].
    pub(crate) fn new(entry: EntryNumber, wake_up: async_channel::Sender<()>) -> Self {
        Self {
            table: Mutex::new(LimitTable::new(entry)),
            availability: Arc::default(),
            changed: Notify::new(),
            wake_up,
        }
    }

    /// Records what the head of an answer says about the limit of its server, and logs a change.
    pub(crate) fn on_answer(
        &self,
        server: &BackendServer,
        header: LimitHeader,
        requested_at: Duration,
        answered_at: Duration,
    ) {
        let limit = match header {
            LimitHeader::Absent => None,
            LimitHeader::PerSecond(rate) => Some(rate),
            LimitHeader::Invalid => {
                tracing::warn!(server = server.id, "answer names an unreadable limit");
                return;
            }
        };
        let statement = LimitStatement {
            limit,
            requested_at,
            answered_at,
        };
        let change = lock(&self.table).on_answer(answered_at, key(server), statement);
        if let Some(change) = change {
            log_change(&server.id, change, "answer");
            self.changed.notify_waiters();
        }
    }

    /// Records what the head of an answer says about a rest or the leaving of its server, and logs a change.
    pub(crate) fn on_server_state(
        &self,
        server: &BackendServer,
        header: AvailabilityHeader,
        requested_at: Duration,
        now: Duration,
    ) {
        if header.is_rest_unreadable {
            tracing::warn!(
                server = server.id,
                "answer names an unreadable time of rest"
            );
        }
        let mut availability = lock(&self.availability);
        let rest = header.rest.filter(|rest| !rest.is_zero());
        if rest.is_none() && !availability.is_empty() {
            availability.on_accepted(requested_at, key(server));
            self.changed.notify_waiters();
        }
        if let Some(rest) = rest
            && availability.on_rest(now, key(server), rest)
        {
            tracing::info!(
                server = server.id,
                rest_ms = rest.min(MAX_REST).as_millis(),
                source = "answer",
                "server asks for rest"
            );
        }
        if header.is_leaving && availability.on_leaving(now, key(server)) {
            tracing::info!(server = server.id, source = "answer", "server leaves");
        }
    }

    /// Returns whether a call for which a server was selected earlier may still be sent there.
    pub(crate) fn may_send(&self, now: Duration, server: &BackendServer) -> bool {
        lock(&self.availability).may_send(now, key(server))
    }

    /// Returns whether a server said that it leaves.
    pub(crate) fn is_leaving(&self, server: &BackendServer) -> bool {
        lock(&self.availability).is_leaving(key(server))
    }

    /// Returns which servers of a pool are available to a call that cannot use the excluded ones.
    fn pool_availability(
        availability: &AvailabilityTable,
        now: Duration,
        servers: &ServersById,
        excluded: &[ServerId],
    ) -> PoolAvailability {
        if availability.is_empty() {
            return PoolAvailability::default();
        }
        let servers = servers
            .iter()
            .map(|(id, server)| (id.as_str(), key(server)));
        availability.of_pool(now, servers, |id| excluded.iter().any(|other| other == id))
    }

    /// Returns the numbers of servers at rest and of those that leave.
    pub(crate) fn unavailable_counts(&self, now: Duration) -> (usize, usize) {
        let availability = lock(&self.availability);
        (
            availability.resting_count(now),
            availability.leaving_count(),
        )
    }

    /// Returns the servers of a pool that get no calls now, since they are at rest or leave.
    pub(crate) fn unavailable_servers(&self, now: Duration, pool: &PoolState) -> Vec<ServerId> {
        let availability = lock(&self.availability);
        Self::pool_availability(&availability, now, &pool.servers(), &[]).unavailable
    }

    /// Returns the server that a call would get now, if any.
    pub(crate) fn preview(
        &self,
        now: Duration,
        pool: &PoolState,
        demand: &Demand,
    ) -> Option<Choice> {
        let availability = lock(&self.availability);
        let table = lock(&self.table);
        let mut load_view = pool.load_view();
        let servers = pool.servers();
        let left_out = Self::pool_availability(&availability, now, &servers, &[]).unavailable;
        server_limit::preview(
            &mut load_view,
            &table,
            now,
            demand,
            &left_out,
            keys(&servers),
        )
    }

    /// Selects a server for a call and adds the call to the load there. Waits for a permit if all servers limit their
    /// requests, and for the end of the first rest if all servers of the pool are at rest, in order of rank.
    pub(crate) async fn select(
        &self,
        fleet: &Fleet,
        request: ServerRequest<'_>,
    ) -> Result<SelectedServer, SelectError> {
        let began = Instant::now();
        let remaining = request.deadline.saturating_duration_since(began);
        let max_wait = server_limit::max_wait(remaining);
        let (pool, rank) = (request.pool, request.demand.rank);
        let mut held: Option<HeldPlace<'_>> = None;
        loop {
            // Created before the attempt, so that a permit which arrives in between is not missed.
            let changed = self.changed.notified();
            let place = held.as_ref().map(|held| held.place);
            let may_try = pool.permit_queue().may_try(rank, place);
            let mut poll_after = WAIT_POLL_INTERVAL;
            if may_try {
                let can_await_grant = place.is_none() && began.elapsed() < GRANT_WAIT;
                let now = fleet.now();
                let tried = self.try_select(now, request, can_await_grant);
                match tried.selection {
                    Selection::Send { choice, avoided } => {
                        if let Some(held) = &mut held {
                            held.is_served = true;
                        }
                        return Ok(SelectedServer {
                            server: tried.server.ok_or(SelectError::NoServer)?,
                            choice,
                            fetch_from: tried.fetch_from,
                            avoided,
                            held: began.elapsed(),
                            _trial: tried.trial,
                        });
                    }
                    Selection::NoServer => {
                        let PoolAvailability {
                            back_at,
                            pool_back_at,
                            ..
                        } = tried.availability;
                        let first = back_at.or(pool_back_at).ok_or(SelectError::NoServer)?;
                        let back_in = first.saturating_sub(now);
                        let left = max_wait.saturating_sub(began.elapsed());
                        // A call that waits at the head of the queue holds up all others of the pool, so it waits only
                        // while no server is available to them either, and for a server that it can use.
                        let can_wait = back_at.is_some() && pool_back_at.is_some();
                        if !can_wait || back_in > left {
                            return Err(SelectError::AtRest(back_in));
                        }
                        if !back_in.is_zero() {
                            poll_after = poll_after.min(back_in);
                        }
                    }
                    Selection::AwaitGrant => {
                        let left = GRANT_WAIT.saturating_sub(began.elapsed());
                        let _ = timeout(left, changed).await;
                        continue;
                    }
                    Selection::Wait => {}
                }
            }
            let held = held.get_or_insert_with(|| HeldPlace {
                limits: self,
                pool,
                place: pool.permit_queue().join(rank),
                is_served: false,
            });
            let left = max_wait.saturating_sub(began.elapsed());
            let now = fleet.now();
            let excluded = request.excluded_servers(&pool.servers()).into_owned();
            let availability = self.availability_of(now, pool, &excluded);
            let back_in = availability
                .back_at
                .map(|back_at| back_at.saturating_sub(now));
            let is_back_in_time = back_in.is_some_and(|back_in| back_in <= left);
            let left_out = &availability.unavailable;
            if left.is_zero() || (!is_back_in_time && self.is_hopeless(held, left_out, left)) {
                return Err(match back_in {
                    Some(back_in) if availability.pool_back_at.is_some() => {
                        SelectError::AtRest(back_in)
                    }
                    _ => SelectError::Limited(self.retry_after(held, left_out)),
                });
            }
            // After a notification and after a timeout alike, the loop tries again.
            let _ = timeout(left.min(poll_after), changed).await;
        }
    }

    /// Selects a server and adds the call to its load, if one can take it now.
    fn try_select(
        &self,
        now: Duration,
        request: ServerRequest<'_>,
        can_await_grant: bool,
    ) -> Tried {
        let ServerRequest { pool, demand, .. } = request;
        let queue = pool.permit_queue();
        let permit_rank = queue.permit_rank(demand.rank);
        let waiting_calls = queue.len();
        drop(queue);
        let mut available = lock(&self.availability);
        let mut table = lock(&self.table);
        let mut load_view = pool.load_view();
        let servers = pool.servers();
        let mut excluded_servers = request.excluded_servers(&servers);
        let availability = Self::pool_availability(&available, now, &servers, &excluded_servers);
        if !availability.unavailable.is_empty() {
            excluded_servers
                .to_mut()
                .extend_from_slice(&availability.unavailable);
        }
        let call = CallNeed {
            demand,
            tried_servers: &excluded_servers,
            permit_rank,
            can_await_grant,
            waiting_calls,
        };
        let has_limits = !table.is_empty();
        let select = |load_view: &mut Pool, table: &mut LimitTable| {
            server_limit::select(load_view, table, now, call, keys(&servers))
        };
        let mut selection = select(&mut load_view, &mut table);
        if matches!(selection, Selection::AwaitGrant | Selection::Wait) {
            // This entry may be the one that grants the permits.
            table.settle(now);
            selection = select(&mut load_view, &mut table);
        }
        let (mut server, mut trial, mut fetch_from) = (None, None, None);
        if let Selection::Send { choice, .. } = &selection {
            trial = available.on_send(now, keys(&servers)(&choice.server));
            load_view.on_start_choice(now, choice, request.number, demand);
            server = servers.get(&choice.server).cloned();
            let source = choice.fetch.as_ref();
            let source = source.and_then(|fetch| servers.get(&fetch.source));
            fetch_from = source.map(|source| source.address);
        }
        drop((available, table, load_view));
        let trial = trial.map(|call| TrialGuard {
            availability: Arc::clone(&self.availability),
            call,
        });
        if has_limits {
            // If the channel is full, a wake-up is already pending.
            let _ = self.wake_up.try_send(());
        }
        Tried {
            selection,
            server,
            fetch_from,
            trial,
            availability,
        }
    }

    fn availability_of(
        &self,
        now: Duration,
        pool: &PoolState,
        excluded: &[ServerId],
    ) -> PoolAvailability {
        let availability = lock(&self.availability);
        Self::pool_availability(&availability, now, &pool.servers(), excluded)
    }

    /// Returns whether the calls ahead use up all permits that the limits allow within the time that is left.
    fn is_hopeless(&self, held: &HeldPlace<'_>, left_out: &[ServerId], left: Duration) -> bool {
        let ahead = held.pool.permit_queue().ahead(held.place);
        server_limit::room_after(ahead, 1, self.rate(held.pool, left_out)) > left
    }

    fn retry_after(&self, held: &HeldPlace<'_>, left_out: &[ServerId]) -> Duration {
        let ahead = held.pool.permit_queue().ahead(held.place);
        let entries = lock(&self.table).entry_count();
        let room_after = server_limit::room_after(ahead, entries, self.rate(held.pool, left_out));
        server_limit::retry_after(room_after)
    }

    /// Returns the sum of the limits of the servers that are available.
    fn rate(&self, pool: &PoolState, left_out: &[ServerId]) -> RequestRate {
        let servers = pool.servers();
        let servers = servers.values();
        let servers = servers.filter(|server| !left_out.contains(&server.id));
        let servers = servers.map(|server| key(server));
        lock(&self.table).total_rate(servers)
    }

    /// Returns the limits of the servers, by server id.
    pub(crate) fn limits(&self, fleet: &Fleet) -> Vec<(ServerId, RequestRate)> {
        let table = lock(&self.table);
        if table.is_empty() {
            return Vec::new();
        }
        let servers = fleet.servers();
        let servers = servers.iter().flat_map(|servers| servers.values());
        let limits =
            servers.filter_map(|server| Some((server.id.clone(), table.limit(key(server))?)));
        limits.collect()
    }

    /// Forgets the limits of servers that are no longer registered, and what need not be remembered of the others.
    pub(crate) fn retain_registered(&self, fleet: &Fleet) {
        let has_limits = !lock(&self.table).is_empty();
        if !has_limits && lock(&self.availability).is_empty() {
            return;
        }
        let servers = fleet.servers();
        let servers = servers.iter().flat_map(|servers| servers.values());
        let registered: BTreeSet<ServerKey> = servers.map(|server| key(server)).collect();
        let is_registered = |server| registered.contains(&server);
        lock(&self.availability).settle(fleet.now(), is_registered);
        lock(&self.table).retain(|server| registered.contains(&server));
    }

    /// Sets the other registered entries and those of them that this entry hears.
    pub(crate) fn set_entries(
        &self,
        registered: &BTreeSet<EntryNumber>,
        live: &BTreeSet<EntryNumber>,
    ) {
        lock(&self.table).set_entries(registered, live);
    }

    /// Returns the encoded statements for the other entries; empty when there are none.
    pub(crate) fn summary(&self, now: Duration) -> Vec<u8> {
        let table = lock(&self.table);
        if table.is_empty() {
            return Vec::new();
        }
        wire::encode_statements(now, &table.summary(now))
    }

    /// Merges the encoded statements of another entry.
    pub(crate) fn merge(&self, now: Duration, summary: &[u8], fleet: &Fleet) {
        if summary.is_empty() {
            return;
        }
        let Some(statements) = wire::decode_statements(now, summary) else {
            tracing::debug!(bytes = summary.len(), "cannot decode the limits of a peer");
            return;
        };
        let changes = lock(&self.table).merge(now, &statements);
        self.log_peer_changes(&changes, fleet);
    }

    /// Processes a message about permits.
    pub(crate) fn receive(&self, now: Duration, message: &PermitMessage, fleet: &Fleet) {
        let mut table = lock(&self.table);
        let changes = table.receive(now, message);
        table.settle(now);
        drop(table);
        self.changed.notify_waiters();
        self.log_peer_changes(&changes, fleet);
    }

    /// Grants and returns the permits that are due, and returns the encoded messages by receiver.
    pub(crate) fn take_outgoing(&self, now: Duration) -> Vec<(EntryNumber, Vec<u8>)> {
        let mut table = lock(&self.table);
        if table.is_empty() {
            return Vec::new();
        }
        if table.settle(now) {
            self.changed.notify_waiters();
        }
        let outgoing = table.take_outgoing();
        outgoing
            .map(|(receiver, message)| (receiver, wire::encode(now, &message)))
            .collect()
    }

    /// Returns the time until [`RequestLimits::take_outgoing`] has something to do.
    pub(crate) fn time_to_due(&self, now: Duration) -> Option<Duration> {
        let due = lock(&self.table).next_due()?;
        Some(due.saturating_sub(now))
    }

    fn log_peer_changes(&self, changes: &[(ServerKey, LimitChange)], fleet: &Fleet) {
        if changes.is_empty() {
            return;
        }
        self.changed.notify_waiters();
        let servers = fleet.servers();
        let servers = servers.iter().flat_map(|servers| servers.values());
        let ids: HashMap<ServerKey, &Arc<BackendServer>> =
            servers.map(|server| (key(server), server)).collect();
        for (server, change) in changes {
            if let Some(server) = ids.get(server) {
                log_change(&server.id, *change, "peer");
            }
        }
    }
}

fn key(server: &BackendServer) -> ServerKey {
    server_key(&server.id, server.started_unix_ms)
}

/// Returns a function from the ids of a pool's servers to their keys.
fn keys(servers: &ServersById) -> impl Fn(&str) -> ServerKey {
    |id| servers.get(id).map_or(0, |server| key(server))
}

fn log_change(server: &str, change: LimitChange, source: &'static str) {
    let message = match (change.before, change.now) {
        (_, None) => "server no longer limits its requests",
        (None, Some(_)) => "server limits its requests",
        (Some(_), Some(_)) => "server changed its limit",
    };
    tracing::info!(
        server,
        limit_per_s = change.now,
        before_per_s = change.before,
        source,
        age_ms = change.age.as_millis(),
        "{message}"
    );
}
