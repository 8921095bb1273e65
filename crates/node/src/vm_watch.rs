//! Follows the platform's VM list: live VMs are seeds of the membership, and processes on leaving VMs stop gracefully.
//!
//! Only the processes that watch the configuration read the list; they spread what they see. The list lags, so it is
//! never the only way: a process that is told to stop announces that itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use prost::Message;
use tanagerford_core::ids::Incarnation;
use tanagerford_core::membership::{Item, Member, member_key};
use tanagerford_gossip::Gossip;
use tanagerford_kv::vm_list::{Vm, VmListClient, VmState};
use tanagerford_link::Identity;

use crate::fleet::FleetUser;
use crate::sync::Flag;

/// Interval at which the list is read. With 3 watchers in each of 8 availability zones that is 12 calls a second.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time of one call.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Most seeds taken from the list; a process needs one that answers.
const MAX_SEEDS: usize = 32;

/// Tells items about leaving processes from other items.
const ITEM_KIND: u32 = 0x4c45_4156;

/// Process on a VM that is about to be taken away.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeavingProcess {
    #[prost(fixed32, tag = "1")]
    kind: u32,
    /// Name of the process.
    #[prost(string, tag = "2")]
    pub process_id: String,
    /// Incarnation; a process that is started on a new VM with the same name does not leave.
    #[prost(uint64, tag = "3")]
    pub incarnation: Incarnation,
}

impl LeavingProcess {
    /// Returns the process that an item names, if the item is about one.
    #[must_use]
    pub fn from_item(item: &Item) -> Option<Self> {
        let leaving = Self::decode(&*item.value).ok()?;
        (leaving.kind == ITEM_KIND).then_some(leaving)
    }

    /// Returns whether this is the process with the given identity.
    #[must_use]
    pub fn is(&self, identity: &Identity) -> bool {
        self.process_id == identity.process_id && self.incarnation == identity.incarnation
    }

    fn of(member: &Member) -> Self {
        Self {
            kind: ITEM_KIND,
            process_id: member.profile.process_id.clone(),
            incarnation: member.status.incarnation,
        }
    }

    fn to_item(&self) -> Item {
        Item {
            key: member_key(&self.process_id) ^ self.incarnation ^ u64::from(ITEM_KIND),
            version: 1,
            value: self.encode_to_vec().into(),
        }
    }
}

/// Reader of the VM list.
pub(crate) struct VmWatch {
    pub(crate) client: VmListClient,
    pub(crate) gossip: Arc<Gossip>,
    /// Seeds of the settings, which are kept.
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) user: Arc<dyn FleetUser>,
    pub(crate) stopped: Arc<Flag>,
}

impl VmWatch {
    /// Reads the list until the process stops, while `is_watching` says so.
    pub(crate) fn run(&self, is_watching: impl Fn() -> bool) {
        while !self.stopped.is_raised() {
            if is_watching() {
                match self.client.list(READ_TIMEOUT) {
                    Ok(vms) => self.apply(&vms),
                    Err(error) => tracing::warn!(%error, "cannot read the VM list"),
                }
            }
            thread::sleep(READ_INTERVAL);
        }
    }

    fn apply(&self, vms: &[Vm]) {
        let members = self.gossip.members();
        self.gossip.set_seeds(self.seeds_of(vms));
        let leaving = vms.iter().filter(|vm| vm.state == VmState::Leaving);
        for vm in leaving {
            let on_vm = members
                .members
                .iter()
                .chain([&members.own])
                .filter(|member| member.profile.gossip_address.ip() == vm.address)
                .filter(|member| member.takes_work());
            for member in on_vm {
                let leaving = LeavingProcess::of(member);
                // An item that is known already is refused as outdated, which needs no action.
                if self.gossip.publish(leaving.to_item()).is_ok() {
                    tracing::info!(
                        process_id = leaving.process_id,
                        "VM of a process is leaving"
                    );
                    self.user.on_leaving(&leaving);
                }
            }
        }
    }

    /// Returns the seeds of the settings and the gossip addresses of live VMs. All processes use the same gossip port, as
    /// the operators' page asks for.
    fn seeds_of(&self, vms: &[Vm]) -> Vec<SocketAddr> {
        let port = self.gossip.local_address().port();
        let live = vms.iter().filter(|vm| vm.state == VmState::Live);
        let first = usize::try_from(rand::random::<u32>()).unwrap_or(0) % vms.len().max(1);
        let listed = live.map(|vm| SocketAddr::new(vm.address, port));
        let listed: Vec<_> = listed.collect();
        let chosen = listed
            .iter()
            .cycle()
            .skip(first)
            .take(MAX_SEEDS.min(listed.len()));
        self.seeds.iter().chain(chosen).copied().collect()
    }
}
