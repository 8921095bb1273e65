//! Reaction of a sidecar to changes of the fleet.

use std::sync::Arc;

use tanagerford_core::config::active::ActiveConfiguration;
use tanagerford_core::membership::{Item, Member, MemberState, Role};
use tanagerford_core::order::shard_owner;
use tanagerford_gossip::Snapshot;

use crate::fleet::FleetUser;
use crate::orders::{ORDER_SHARDS, OrderLog};
use crate::stop::StopSignal;
use crate::vm_watch::LeavingProcess;

use super::state::SidecarState;

/// Sidecar as a user of the membership.
pub(crate) struct SidecarMember {
    pub(crate) state: Arc<SidecarState>,
    pub(crate) stop: StopSignal,
}

impl FleetUser for SidecarMember {
    fn on_members(&self, members: &Snapshot) {
        if let Some(orders) = self.state.orders() {
            observe(orders, members);
            orders.own_shards(&own_shards(members));
        }
    }

    fn on_configuration(&self, configuration: &ActiveConfiguration) {
        self.state.set_configuration(configuration.configuration());
    }

    fn on_leaving(&self, leaving: &LeavingProcess) {
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

/// Tells the order log which sidecars of the pool run and which are gone.
fn observe(orders: &OrderLog, members: &Snapshot) {
    for member in members
        .members
        .iter()
        .filter(|member| is_of_pool(member, members))
    {
        let (server, incarnation) = (&member.profile.process_id, member.status.incarnation);
        if member.status.state == MemberState::Dead {
            continue;
        }
        orders.observe_alive(server, incarnation);
    }
}

/// Returns the shards whose orders come to this sidecar.
fn own_shards(members: &Snapshot) -> Vec<u32> {
    let own = &members.own.profile;
    let live = members.members.iter().chain([&members.own]);
    let names: Vec<_> = live
        .filter(|member| is_of_pool(member, members) && member.takes_work())
        .map(|member| member.profile.process_id.as_str())
        .collect();
    (0..ORDER_SHARDS)
        .filter(|shard| {
            shard_owner(&own.pool, *shard, names.iter().copied()) == Some(&own.process_id)
        })
        .collect()
}

fn is_of_pool(member: &Member, members: &Snapshot) -> bool {
    member.profile.role == Role::Sidecar && member.profile.pool == members.own.profile.pool
}
