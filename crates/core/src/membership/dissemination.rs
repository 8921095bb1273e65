//! Dissemination of claims, items and the configuration's generation.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::detector::Membership;
use super::item::{Item, ItemError};
use super::member::{MemberKey, MemberState};
use super::message::{Body, Header, MAX_REQUESTED_KEYS, Message, Packer, Update, short_key};
use super::output::{Action, Event};
use super::queue::Urgency;

/// Maximum size of the data piggybacked on a probe while the byte budget is exhausted.
const THROTTLED_PIGGYBACK_BYTES: usize = 160;

/// Interval at which the same newer generation is reported again, so that a failed fetch is retried.
const GENERATION_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two requests for the same profile.
pub(super) const PROFILE_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Queue length by which transmissions are reduced: with `k` times this many queued updates, each is sent `1/k` of the
/// full number of times.
const UPDATES_PER_LIMIT_DIVISION: u32 = 32;

/// Minimum number of transmissions of an update, however many are queued.
const MIN_TRANSMISSIONS: u32 = 3;

impl Membership {
    pub(super) fn run_gossip(&mut self, now: Duration) {
        if now < self.gossip_at {
            return;
        }
        self.gossip_at = now + self.params.gossip_period;
        self.probe_conflicting_member();
        let urgency = self.sendable_urgency();
        if !self.updates.has_sendable(urgency)
            && !self.item_queue.has_sendable(urgency)
            && self.generation_sends_left == 0
        {
            return;
        }
        if !self.gossip_budget.is_available() {
            self.counters.throttled += 1;
            return;
        }
        let targets = self
            .table
            .pick(&mut self.rng, self.params.gossip_fanout, None);
        self.gossip_to(&targets);
    }

    pub(super) fn gossip_to(&mut self, targets: &[MemberKey]) {
        for target in targets {
            let Some(record) = self.table.get(*target) else {
                continue;
            };
            let to = record.profile.gossip_address;
            self.generation_sends_left = self.generation_sends_left.saturating_sub(1);
            self.send(to, Body::Gossip, None);
        }
    }

    /// Sends a datagram with `first` and as many queued updates and items as fit.
    pub(super) fn send(&mut self, to: SocketAddr, body: Body, first: Option<&Update>) {
        let limit_bytes = if self.gossip_budget.is_available() {
            usize::MAX
        } else {
            THROTTLED_PIGGYBACK_BYTES
        };
        let mut packer = Packer::new(&body, limit_bytes);
        if let Some(update) = first {
            packer.add_update(update);
        }
        let limit = self.transmit_limit();
        let urgency = self.sendable_urgency();
        self.updates
            .take(urgency, limit, |update| packer.add_update(update));
        self.item_queue
            .take(urgency, limit, |item| packer.add_item(item));
        self.send_packed(to, body, packer);
    }

    /// Sends a datagram with the contents of `packer` only.
    pub(super) fn send_packed(&mut self, to: SocketAddr, body: Body, packer: Packer) {
        let budget = match body {
            Body::Sync { .. } | Body::Entries | Body::Request { .. } => &mut self.sync_budget,
            _ => &mut self.gossip_budget,
        };
        budget.charge(packer.wire_bytes());
        self.counters.sent_messages += 1;
        let message = Message {
            header: self.header(),
            body,
            updates: packer.updates,
            items: packer.items,
        };
        self.actions.push(Action::Send { to, message });
    }

    pub(super) fn header(&self) -> Header {
        Header {
            sender: self.key,
            incarnation: self.status.incarnation,
            refutation: self.status.refutation,
            is_leaving: self.status.state == MemberState::Leaving,
            generation: self.generation,
        }
    }

    /// Returns this process's claim about itself.
    pub(super) fn own_update(&self, with_profile: bool) -> Update {
        let reporter = match self.status.state {
            MemberState::Dead => short_key(self.key),
            _ => 0,
        };
        Update {
            key: self.key,
            status: self.status,
            reporter,
            profile: with_profile.then(|| Arc::clone(&self.profile)),
        }
    }

    pub(super) fn announce_self(&mut self, with_profile: bool) {
        let update = self.own_update(with_profile);
        self.queue_update(update);
    }

    /// Returns the number of times that each member sends an update. If each member receives an update `ln(n)` times on
    /// average, one in `n` members misses it; twice the binary logarithm leaves a wide margin at 20% datagram loss.
    /// While more updates are queued than fit into a datagram, each is sent fewer times and anti-entropy delivers the
    /// rest.
    pub(super) fn transmit_limit(&self) -> u32 {
        let limit = 2 * ((self.table.live().len() + 1).ilog2() + 2);
        let divisor =
            u32::try_from(self.updates.len()).unwrap_or(u32::MAX) / UPDATES_PER_LIMIT_DIVISION;
        (limit / divisor.max(1)).max(MIN_TRANSMISSIONS)
    }

    /// Notifies a sender that this process considers it dead. A suspected sender is notified with the next probe.
    pub(super) fn on_gossip(&mut self, from: SocketAddr, notice: Option<&Update>) {
        if notice.is_some_and(|update| update.status.state == MemberState::Dead)
            && self.gossip_budget.is_available()
        {
            self.send(from, Body::Gossip, notice);
        }
    }

    pub(super) fn request_missing_profiles(&mut self, now: Duration, from: SocketAddr) {
        let mut keys = std::mem::take(&mut self.missing_profiles);
        keys.sort_unstable();
        keys.dedup();
        keys.retain(|key| {
            let requested_at = self.requested_at.get(key);
            requested_at.is_none_or(|at| now >= *at + PROFILE_REQUEST_INTERVAL)
        });
        keys.truncate(MAX_REQUESTED_KEYS);
        if keys.is_empty() || !self.sync_budget.is_available() {
            return;
        }
        for key in &keys {
            self.requested_at.insert(*key, now);
        }
        self.send(from, Body::Request { keys }, None);
    }

    pub(super) fn report_generation(&mut self, now: Duration, header: Header) {
        if header.generation <= self.generation {
            return;
        }
        let (reported, reported_at) = self.reported_generation;
        if header.generation <= reported && now < reported_at + GENERATION_REPORT_INTERVAL {
            return;
        }
        let Some(record) = self.table.get(header.sender) else {
            return;
        };
        let peer = Arc::clone(&record.profile);
        self.reported_generation = (header.generation, now);
        self.notify(Event::GenerationAhead {
            generation: header.generation,
            peer,
        });
    }

    pub(super) fn on_item(&mut self, now: Duration, item: Item) {
        match self.publish(now, item.clone()) {
            Ok(()) => self.notify(Event::Item(item)),
            Err(ItemError::Outdated) => {}
            Err(ItemError::TooLong | ItemError::Full) => self.counters.refused += 1,
        }
    }

    /// Queues a claim for dissemination. Claims with a profile announce new members. They are deferrable, because they
    /// are long and anti-entropy delivers them too; otherwise they would delay other claims.
    pub(super) fn queue_update(&mut self, update: Update) {
        let urgency = match update.profile {
            Some(_) => Urgency::Deferrable,
            None => Urgency::Urgent,
        };
        self.updates.push(update.key, update, urgency);
    }

    fn sendable_urgency(&self) -> Urgency {
        if self.gossip_budget.is_half_full() {
            Urgency::Deferrable
        } else {
            Urgency::Urgent
        }
    }
}
