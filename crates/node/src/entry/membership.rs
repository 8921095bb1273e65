//! Reaction of an entry to changes of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use tanagerford_core::config::active::ActiveConfiguration;
use tanagerford_core::membership::{Item, Member, MemberState, Role};
use tanagerford_core::subset::{Participant, SubsetSize, subset_of};
use tanagerford_gossip::Snapshot;

use crate::fleet::{FleetUser, participant};
use crate::links::{LinkPool, Target};
use crate::stop::StopSignal;
use crate::vm_watch::LeavingProcess;

use super::state::{EntryState, FrameHandler};

/// Entry as a user of the membership.
pub(crate) struct EntryMember {
    pub(crate) state: Arc<EntryState>,
    pub(crate) links: Arc<LinkPool<FrameHandler>>,
    pub(crate) stop: StopSignal,
}

impl FleetUser for EntryMember {
    fn on_members(&self, members: &Snapshot) {
        self.links
            .set_directory(members.members.iter().filter_map(target));
        let targets = targets(members);
        self.state.servers.set_targets(&targets);
        self.links.set_targets(targets);
    }

    fn on_configuration(&self, _: &ActiveConfiguration) {
        // Requests read the configuration in force from the feed.
    }

    fn on_leaving(&self, leaving: &LeavingProcess) {
        self.state.servers.set_leaving(&leaving.process_id);
        if leaving.is(&self.state.identity) {
            tracing::info!("the VM of this process is leaving; stopping gracefully");
            self.stop.raise();
        }
    }

    fn on_item(&self, item: &Item) {
        self.state.suspects.on_item(item);
    }

    fn on_superseded(&self) {
        self.stop.raise();
    }
}

/// Returns the sidecars that this entry links to: of each pool the subset that is assigned to it, and those that leave,
/// whose work in flight still needs its link.
fn targets(members: &Snapshot) -> Vec<Target> {
    let others = members.members.iter();
    let others = others.filter(|member| member.profile.role == Role::Entry && member.takes_work());
    // A draining entry still accepts callers until the balancer has noticed, so it keeps its own subset.
    let entries: Vec<_> = others.chain([&members.own]).map(participant).collect();
    let mut pools: BTreeMap<&str, Vec<Participant<'_>>> = BTreeMap::new();
    let sidecars = members.members.iter();
    for member in sidecars.filter(|member| member.profile.role == Role::Sidecar) {
        if member.takes_work() {
            let pool = pools.entry(&member.profile.pool).or_default();
            pool.push(participant(member));
        }
    }
    let own = members.own.profile.process_id.as_str();
    let mut assigned = BTreeSet::new();
    for servers in pools.values() {
        assigned.extend(subset_of(own, &entries, servers, SubsetSize::default()));
    }
    let linked = members.members.iter().filter(|member| {
        assigned.contains(&member.profile.process_id) || member.status.state == MemberState::Leaving
    });
    linked.filter_map(target).collect()
}

/// Returns the link target of a sidecar that is not dead.
fn target(member: &Member) -> Option<Target> {
    let profile = &member.profile;
    let usable = profile.role == Role::Sidecar && member.status.state != MemberState::Dead;
    usable.then(|| Target {
        server: profile.process_id.clone(),
        pool: profile.pool.clone(),
        zone: profile.availability_zone.clone(),
        address: profile.link_address,
        incarnation: member.status.incarnation,
        leaving: member.status.state == MemberState::Leaving,
    })
}
