//! Reactions of a sidecar to changes of the membership, the configuration and the list of suspects.

use std::sync::Arc;

use tanagerford_core::config::active::ActiveConfiguration;
use tanagerford_core::membership::{Item, Member, MemberState, Role};
use tanagerford_core::order::shard_owner;
use tanagerford_gossip::Snapshot;

use crate::fleet::FleetObserver;
use crate::orders::{ORDER_SHARDS, OrderLog};
use crate::stop::StopSignal;
use crate::vm_watch::LeavingProcess;

use super::state::SidecarState;

/// Applies events of the fleet to a sidecar.
///
/// Raises `stop` when the process's VM is about to be removed or a newer process has the same id.
pub(crate) struct SidecarFleetObserver {
    pub(crate) state: Arc<SidecarState>,
    pub(crate) stop: StopSignal,
}

impl FleetObserver for SidecarFleetObserver {
    fn on_members(&self, members: &Snapshot) {
        if let Some(orders) = self.state.orders() {
            report_live_sidecars(orders, members);
            orders.set_owned_shards(&owned_shards(members));
        }
    }

    fn on_configuration(&self, configuration: &ActiveConfiguration) {
        self.state.set_configuration(configuration.configuration());
    }

    fn on_leaving(&self, leaving: &LeavingProcess) {
        if leaving.matches(&self.state.identity) {
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

/// Reports the live sidecars of the pool to the order log, which then treats their earlier incarnations as gone.
fn report_live_sidecars(orders: &OrderLog, members: &Snapshot) {
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

/// Returns the shards whose orders the entries send to this sidecar.
fn owned_shards(members: &Snapshot) -> Vec<u32> {
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
