//! Emulated entry: the decision code of `tanagerford-core` with the load summaries that the entry sends and receives.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tanagerford_core::availability::{AvailabilityTable, PoolAvailability};
use tanagerford_core::dispatch::{
    Choice, Demand, GateDecision, LongPromptGate, OverloadGate, Pool, RemainingTime, RetryBudget,
    ServerSpec, TransferLink, WaiterNumber,
};
use tanagerford_core::exchange::{
    EntryNumber, Exchange, Message, OutgoingMessage, Peer, SummaryContent,
};
use tanagerford_core::ids::{ServerId, ZoneId};
use tanagerford_core::server_limit::{
    self, CallNeed, LimitTable, PermitQueue, Selection, ServerKey, server_key,
};

use crate::load::{Load, Placement, Policy};

/// Kind of backend server that serves a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    Engines,
    Services,
}

/// State of an emulated entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) zone: usize,
    engines: Pool,
    services: Pool,
    engine_budget: RetryBudget,
    service_budget: RetryBudget,
    long_prompt_gate: LongPromptGate,
    /// Limits of the engines; the emulated plain services set none.
    pub(crate) limits: LimitTable,
    /// What the engines asked for; the emulated plain services ask for nothing.
    pub(crate) availability: AvailabilityTable,
    /// Calls that wait for permits or the end of a rest.
    pub(crate) permit_queue: PermitQueue,
    /// Time of the earliest scheduled step of the permits; `Duration::MAX` when none is scheduled.
    pub(crate) next_permits_at: Duration,
    /// Sheds load while the entry is short of processor time; `None` admits every request.
    pub(crate) overload_gate: Option<OverloadGate>,
    /// Positions of the calls that wait for admission.
    pub(crate) waiting_calls: BTreeMap<WaiterNumber, usize>,
    placement: Placement,
    round_robin_position: usize,
    pub(crate) exchange: Exchange,
    /// Time of the earliest scheduled send of summaries; `Duration::MAX` when none is scheduled.
    pub(crate) next_send_at: Duration,
}

/// Returns the number that identifies the entry at a position in messages. Numbers start at 1.
pub(crate) fn entry_number(index: usize) -> EntryNumber {
    EntryNumber::try_from(index).unwrap_or(EntryNumber::MAX - 1) + 1
}

/// Returns the key of an engine's limit. Restarted engines keep theirs in the emulation.
pub(crate) fn limit_key(server: &str) -> ServerKey {
    server_key(server, None)
}

pub(crate) fn zone_name(zone: usize) -> ZoneId {
    format!("zone-{zone}")
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts from f64 saturate"
)]
fn whole_number(value: f64) -> u64 {
    value.round() as u64
}

/// Returns the specifications of all servers of a kind, spread evenly over the availability zones.
pub(crate) fn server_specs(load: &Load, target: Target) -> Vec<ServerSpec> {
    let (prefix, per_zone, slots, memory_tokens) = match target {
        Target::Engines => load.engines.as_ref().map_or(("engine", 0, 0, 0), |pool| {
            ("engine", pool.per_zone, pool.slots, pool.memory_tokens)
        }),
        Target::Services => load.services.as_ref().map_or(("service", 0, 0, 0), |pool| {
            ("service", pool.per_zone, pool.slots, 0)
        }),
    };
    let indices = 0..per_zone * load.zones;
    let specs = indices.map(|index| ServerSpec {
        id: format!("{prefix}-{index:03}"),
        zone: zone_name(index % load.zones),
        slots: u32::try_from(slots).unwrap_or(u32::MAX),
        memory_tokens,
    });
    specs.collect()
}

impl Entry {
    pub(crate) fn new(load: &Load, policy: &Policy, index: usize) -> Self {
        let zone = index % load.zones;
        let mut engines = Pool::new(zone_name(zone), policy.costs.clone());
        engines.set_servers(&server_specs(load, Target::Engines));
        let transfers = load.transfers.filter(|_| policy.fetches);
        engines.set_transfer_link(transfers.map(|transfers| TransferLink {
            bytes_per_token: whole_number(transfers.kv_token_bytes),
            bits_per_ms: whole_number(transfers.link_mbps * 1_000.0),
        }));
        if let Some(pool) = &load.engines {
            let streams = load
                .classes
                .iter()
                .filter_map(|class| class.stream.as_ref());
            let pause_ms = streams.map(|stream| stream.pause_ms);
            let pause_ms = pause_ms.fold(f64::INFINITY, f64::min);
            if pause_ms.is_finite() {
                engines.set_stream_limits(
                    pool.event_tokens,
                    Duration::from_secs_f64(pause_ms / 1_000.0),
                );
            }
        }
        let mut services = Pool::new(zone_name(zone), policy.costs.clone());
        services.set_servers(&server_specs(load, Target::Services));
        let number = entry_number(index);
        let intervals = policy.summaries.intervals();
        let mut exchange = Exchange::new(number, number, zone_name(zone), intervals);
        for other in 0..load.zones * load.entries_per_zone {
            let processors = load.processors.as_ref();
            let peer = Peer {
                zone: zone_name(other % load.zones),
                capacity: processors.map_or(0, |all| all.capacity(other / load.zones)),
            };
            exchange.set_peer(entry_number(other), Some(peer));
        }
        let mut limits = LimitTable::new(number);
        let others = 0..load.zones * load.entries_per_zone;
        let others: BTreeSet<_> = others.map(entry_number).collect();
        limits.set_entries(&others, &others);
        Self {
            zone,
            engines,
            services,
            engine_budget: RetryBudget::default(),
            service_budget: RetryBudget::default(),
            long_prompt_gate: LongPromptGate::new(policy.gate.clone()),
            limits,
            availability: AvailabilityTable::default(),
            permit_queue: PermitQueue::default(),
            next_permits_at: Duration::MAX,
            overload_gate: policy.overload.clone().map(OverloadGate::new),
            waiting_calls: BTreeMap::new(),
            placement: policy.placement,
            round_robin_position: index,
            exchange,
            next_send_at: Duration::MAX,
        }
    }

    pub(crate) fn pool(&mut self, target: Target) -> &mut Pool {
        match target {
            Target::Engines => &mut self.engines,
            Target::Services => &mut self.services,
        }
    }

    pub(crate) fn budget(&mut self, target: Target) -> &mut RetryBudget {
        match target {
            Target::Engines => &mut self.engine_budget,
            Target::Services => &mut self.service_budget,
        }
    }

    /// Returns which servers are available to a call that was sent to some of them before.
    pub(crate) fn pool_availability(
        &self,
        now: Duration,
        tried_servers: &[ServerId],
        servers: &[ServerSpec],
    ) -> PoolAvailability {
        if self.availability.is_empty() || self.placement != Placement::Cost {
            return PoolAvailability::default();
        }
        let servers = servers
            .iter()
            .map(|server| (server.id.as_str(), limit_key(&server.id)));
        let is_tried = |id: &str| tried_servers.iter().any(|tried| tried == id);
        self.availability.of_pool(now, servers, is_tried)
    }

    /// Selects a server for a call among those that have not been tried and are available.
    pub(crate) fn select(
        &mut self,
        now: Duration,
        target: Target,
        demand: &Demand,
        tried_servers: &[ServerId],
        servers: &[ServerSpec],
        can_await_grant: bool,
    ) -> Selection {
        if self.placement == Placement::Cost {
            let mut excluded = tried_servers.to_vec();
            excluded.extend(
                self.pool_availability(now, tried_servers, servers)
                    .unavailable,
            );
            let pool = match target {
                Target::Engines => &mut self.engines,
                Target::Services => &mut self.services,
            };
            let call = CallNeed {
                demand,
                tried_servers: &excluded,
                permit_rank: self.permit_queue.permit_rank(demand.rank),
                can_await_grant,
                waiting_calls: self.permit_queue.len(),
            };
            let mut selection = server_limit::select(pool, &mut self.limits, now, call, limit_key);
            if matches!(selection, Selection::AwaitGrant | Selection::Wait) {
                // This entry may be the one that grants the permits.
                self.limits.settle(now);
                selection = server_limit::select(pool, &mut self.limits, now, call, limit_key);
            }
            return selection;
        }
        for _ in 0..servers.len() {
            self.round_robin_position += 1;
            let server = &servers[self.round_robin_position % servers.len()].id;
            if !tried_servers.contains(server) {
                let choice = Choice {
                    server: server.clone(),
                    ..Choice::default()
                };
                return Selection::Send {
                    choice,
                    avoided: None,
                };
            }
        }
        Selection::NoServer
    }

    /// Returns the engine that a call would get now, if any.
    pub(crate) fn preview(
        &mut self,
        now: Duration,
        demand: &Demand,
        servers: &[ServerSpec],
    ) -> Option<Choice> {
        let excluded = self.pool_availability(now, &[], servers).unavailable;
        let limits = &self.limits;
        server_limit::preview(&mut self.engines, limits, now, demand, &excluded, limit_key)
    }

    pub(crate) fn decide_long_prompt(
        &mut self,
        now: Duration,
        choice: &Choice,
        rank: u8,
        remaining: RemainingTime,
    ) -> GateDecision {
        self.long_prompt_gate.decide(now, choice, rank, remaining)
    }

    /// Returns the urgency with which a call is sent to an engine. Round robin uses the same urgency for all ranks.
    pub(crate) fn urgency(&self, rank: u8) -> u8 {
        match self.placement {
            Placement::Cost => rank,
            Placement::RoundRobin => 5,
        }
    }

    /// Returns the load summaries that are due and marks them as sent.
    pub(crate) fn take_due_messages(&mut self, now: Duration) -> Vec<OutgoingMessage> {
        let pools = [&self.engines, &self.services];
        let content = || SummaryContent {
            loads: pools.into_iter().flat_map(Pool::busy_loads).collect(),
            limits: server_limit::wire::encode_statements(now, &self.limits.summary(now)),
            ..SummaryContent::default()
        };
        self.exchange.take_due(now, content)
    }

    pub(crate) fn on_message(&mut self, now: Duration, message: &Message) {
        for summary in self.exchange.receive(now, message.clone()) {
            if let Some(statements) = server_limit::wire::decode_statements(now, &summary.limits) {
                self.limits.merge(now, &statements);
            }
            for pool in [&mut self.engines, &mut self.services] {
                summary.apply_to(now, pool);
            }
        }
    }
}
