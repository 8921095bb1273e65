//! Polling of the platform's VM list. Live VMs are seeds of the membership protocol, and processes on leaving VMs stop
//! gracefully.
//!
//! Only the processes that watch the configuration read the list; they publish leaving processes to the others. Because
//! the list is delayed, a process that receives a stop signal also announces its stop itself.

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

use crate::fleet::FleetObserver;
use crate::sync::Flag;

/// Interval at which the list is read. With 3 watchers in each of 8 availability zones, this is 12 calls per second.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout of one call.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest number of seeds taken from the list. One seed that responds is enough to join.
const MAX_SEEDS: usize = 32;

/// Magic number that distinguishes items about leaving processes from other items.
const ITEM_KIND: u32 = 0x4c45_4156;

/// A process on a VM that is about to be reclaimed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeavingProcess {
    #[prost(fixed32, tag = "1")]
    kind: u32,
    /// Unique name of the process.
    #[prost(string, tag = "2")]
    pub process_id: String,
    /// Incarnation of the process. A process with the same name that is started on a new VM has another one and is not
    /// leaving.
    #[prost(uint64, tag = "3")]
    pub incarnation: Incarnation,
}

impl LeavingProcess {
    /// Decodes an item; `None` if it is not about a leaving process.
    #[must_use]
    pub fn from_item(item: &Item) -> Option<Self> {
        let leaving = Self::decode(&*item.value).ok()?;
        (leaving.kind == ITEM_KIND).then_some(leaving)
    }

    /// Returns whether this is the process with the given identity.
    #[must_use]
    pub fn matches(&self, identity: &Identity) -> bool {
        self.process_id == identity.process_id && self.incarnation == identity.incarnation
    }

    fn from_member(member: &Member) -> Self {
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

/// Thread that polls the VM list.
pub(crate) struct VmWatch {
    pub(crate) client: VmListClient,
    pub(crate) gossip: Arc<Gossip>,
    /// Seeds of the settings, which are used in addition to those of the list.
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) observer: Arc<dyn FleetObserver>,
    pub(crate) stopped: Arc<Flag>,
}

impl VmWatch {
    /// Reads the list until the process stops, skipping intervals in which `is_watching` returns false.
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
                let leaving = LeavingProcess::from_member(member);
                // `publish` refuses an item that is already known as outdated. Nothing is left to do for it.
                if self.gossip.publish(leaving.to_item()).is_ok() {
                    tracing::info!(
                        process_id = leaving.process_id,
                        "VM of a process is leaving"
                    );
                    self.observer.on_leaving(&leaving);
                }
            }
        }
    }

    /// Returns the seeds of the settings and the gossip addresses of random live VMs. All processes of a fleet have to
    /// use the same gossip port.
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
