//! Probe rounds, indirect probes and their responses.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;

use super::detector::Membership;
use super::member::{MemberKey, MemberState};
use super::merge::Source;
use super::message::{Body, Update, short_key};
use super::suspicion::Suspicion;
use super::table::Record;

/// Maximum number of concurrent indirect probes on behalf of other members.
const MAX_RELAYS: usize = 256;

/// Number of consecutive failed probe rounds after which a member is suspected. At 20% datagram loss about one in 40
/// rounds with a healthy member fails; an immediate second round keeps false suspicions rare.
const FAILED_ROUNDS_BEFORE_SUSPICION: u32 = 2;

/// Current probe round.
#[derive(Debug)]
pub(super) struct Probe {
    target: MemberKey,
    number: u64,
    started_at: Duration,
    step: Step,
    pub next_at: Duration,
    /// Consecutive failed rounds with the same target before this one.
    failed_rounds: u32,
    expected_nacks: u32,
    nacks: u32,
}

/// Next step of a probe round.
#[derive(Debug, Clone, Copy)]
enum Step {
    Repeat,
    RequestIndirect,
    End,
}

/// Indirect probe on behalf of another member.
#[derive(Debug)]
pub(super) struct Relay {
    origin: SocketAddr,
    origin_number: u64,
    expires_at: Duration,
}

impl Membership {
    /// Advances the current probe round, or starts the next one when it is due.
    pub(super) fn run_probe(&mut self, now: Duration) {
        let Some(probe) = &self.probe else {
            if now >= self.next_probe_at {
                self.start_next_probe(now);
            }
            return;
        };
        if now < probe.next_at {
            return;
        }
        match probe.step {
            Step::Repeat => self.repeat_ping(),
            Step::RequestIndirect => self.request_indirect_probes(),
            Step::End => self.end_round(now),
        }
    }

    /// Inserts a member at a random position of the probe order.
    pub(super) fn insert_into_probe_order(&mut self, key: MemberKey) {
        if !self.probe_order.contains(&key) {
            let index = self.rng.random_range(0..=self.probe_order.len());
            self.probe_order.insert(index, key);
        }
    }

    /// Pings a member that a peer considers dead and this process does not, or the reverse, so that the member can
    /// refute its death.
    pub(super) fn probe_conflicting_member(&mut self) {
        if !self.gossip_budget.is_available() {
            return;
        }
        if let Some(key) = self.liveness_conflicts.pop_front() {
            let number = self.rng.random();
            self.ping(key, number);
        }
    }

    /// Pings a member. The ping includes this process's claim about the member if that is a suspicion or death, so that
    /// the member can refute it (buddy system of Lifeguard).
    pub(super) fn ping(&mut self, key: MemberKey, number: u64) {
        let Some(record) = self.table.get(key) else {
            return;
        };
        let to = record.profile.gossip_address;
        let is_suspected_or_dead = matches!(
            record.status.state,
            MemberState::Suspect | MemberState::Dead
        );
        let notice = is_suspected_or_dead.then(|| record.to_update(key, false));
        let body = Body::Ping {
            probe: number,
            target: key,
        };
        self.send(to, body, notice.as_ref());
    }

    pub(super) fn on_ping(
        &mut self,
        from: SocketAddr,
        number: u64,
        target: MemberKey,
        notice: Option<&Update>,
    ) {
        if target == self.key {
            self.send(from, Body::Ack { probe: number }, notice);
        }
    }

    pub(super) fn on_ack(&mut self, number: u64) {
        if let Some(relay) = self.relays.remove(&number) {
            let body = Body::Ack {
                probe: relay.origin_number,
            };
            self.send(relay.origin, body, None);
            return;
        }
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.number == number)
        {
            self.probe = None;
            self.health.record_success();
        }
    }

    pub(super) fn on_nack(&mut self, number: u64) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) {
            probe.nacks += 1;
        }
    }

    pub(super) fn on_ping_request(
        &mut self,
        now: Duration,
        from: SocketAddr,
        origin_number: u64,
        target: MemberKey,
        address: SocketAddr,
    ) {
        if self.relays.len() >= MAX_RELAYS {
            self.counters.refused += 1;
            return;
        }
        let number = self.rng.random();
        let relay = Relay {
            origin: from,
            origin_number,
            expires_at: now + self.params.indirect_after * 3 / 4,
        };
        self.relays.insert(number, relay);
        let body = Body::Ping {
            probe: number,
            target,
        };
        self.send(address, body, None);
    }

    /// Ends indirect probes without a response. The nack shows the origin that this process works.
    pub(super) fn expire_relays(&mut self, now: Duration) {
        let expired: Vec<u64> = self
            .relays
            .iter()
            .filter(|(_, relay)| now >= relay.expires_at)
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            if let Some(relay) = self.relays.remove(&number) {
                let body = Body::Nack {
                    probe: relay.origin_number,
                };
                self.send(relay.origin, body, None);
            }
        }
    }

    /// Starts a round with the next live member in the shuffled order, and reshuffles at the end of the order.
    fn start_next_probe(&mut self, now: Duration) {
        while let Some(target) = self.probe_order.pop() {
            if self
                .table
                .get(target)
                .is_some_and(|record| !record.is_dead())
            {
                self.start_round(now, target, 0);
                return;
            }
        }
        self.next_probe_at = now + self.params.probe_period;
        self.probe_order = self.table.live().to_vec();
        self.probe_order.shuffle(&mut self.rng);
    }

    fn start_round(&mut self, now: Duration, target: MemberKey, failed_rounds: u32) {
        let factor = self.health.factor();
        let number = self.rng.random();
        self.next_probe_at = now + self.params.probe_period * factor;
        self.probe = Some(Probe {
            target,
            number,
            started_at: now,
            step: Step::Repeat,
            next_at: now + self.params.ping_repeat_after * factor,
            failed_rounds,
            expected_nacks: 0,
            nacks: 0,
        });
        self.ping(target, number);
    }

    fn repeat_ping(&mut self) {
        let factor = self.health.factor();
        let Some(probe) = &mut self.probe else {
            return;
        };
        probe.step = Step::RequestIndirect;
        probe.next_at = probe.started_at + self.params.indirect_after * factor;
        let (target, number) = (probe.target, probe.number);
        self.ping(target, number);
    }

    fn request_indirect_probes(&mut self) {
        let Some(probe) = &self.probe else {
            return;
        };
        let (target, number) = (probe.target, probe.number);
        let helpers = self
            .table
            .pick(&mut self.rng, self.params.helpers, Some(target));
        self.ping(target, number);
        let Some(address) = self
            .table
            .get(target)
            .map(|record| record.profile.gossip_address)
        else {
            self.probe = None;
            return;
        };
        for helper in &helpers {
            let Some(record) = self.table.get(*helper) else {
                continue;
            };
            let to = record.profile.gossip_address;
            let body = Body::PingRequest {
                probe: number,
                target,
                address,
            };
            self.send(to, body, None);
        }
        if let Some(probe) = &mut self.probe {
            probe.step = Step::End;
            probe.next_at = self.next_probe_at;
            probe.expected_nacks = u32::try_from(helpers.len()).unwrap_or(0);
        }
    }

    fn end_round(&mut self, now: Duration) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        self.counters.failed_probes += 1;
        // Missing responses of the helpers suggest that this process itself is unhealthy.
        let missing_nacks = probe.expected_nacks.saturating_sub(probe.nacks);
        self.health.record_failures(if probe.expected_nacks == 0 {
            1
        } else {
            missing_nacks
        });
        let failed_rounds = probe.failed_rounds + 1;
        if failed_rounds < FAILED_ROUNDS_BEFORE_SUSPICION {
            self.start_round(now, probe.target, failed_rounds);
        } else {
            self.suspect(now, probe.target);
        }
    }

    fn suspect(&mut self, now: Duration, target: MemberKey) {
        let reporter = short_key(self.key);
        let Some(mut update) = self
            .table
            .get(target)
            .map(|record| record.to_update(target, false))
        else {
            return;
        };
        match update.status.state {
            MemberState::Dead => {}
            MemberState::Leaving => self.start_leaving_timeout(now, target, reporter),
            MemberState::Alive | MemberState::Suspect => {
                update.status.state = MemberState::Suspect;
                update.reporter = reporter;
                self.counters.suspicions += 1;
                self.apply(now, update, Source::Dissemination, &mut Vec::new());
            }
        }
    }

    /// Starts the timeout of a leaving member. No suspicion is disseminated, so that the member stays marked as
    /// leaving.
    fn start_leaving_timeout(&mut self, now: Duration, target: MemberKey, reporter: u32) {
        self.table.update(target, |record: &mut Record| {
            record
                .suspicion
                .get_or_insert_with(|| Suspicion::new(now, reporter));
        });
    }
}
