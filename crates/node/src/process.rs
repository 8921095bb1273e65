//! Whole processes: a role, its membership and its operators' listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use tanagerford_core::ids::{Incarnation, PoolId};
use tanagerford_core::membership::{Profile, Role};
use tanagerford_core::order::Owner;
use tanagerford_gossip::Gossip;
use tanagerford_http::{Limits, ListenerHandle};
use tanagerford_kv::kv::Kv;
use tanagerford_kv::vm_list::VmListClient;
use tanagerford_link::{FleetKey, Identity, LinkOptions};
use tanagerford_operator::listener::{self, Operated};

use crate::config_feed::{ConfigFeed, FeedSettings};
use crate::entry::{Entry, EntrySettings};
use crate::exchange::ConfigExchange;
use crate::fleet::{Fleet, FleetSettings, FleetUser};
use crate::orders::{OrderLog, OrderSettings};
use crate::sidecar::{Backend, Sidecar, SidecarSettings};
use crate::stop::StopSignal;

/// Interval at which a running process looks whether it was asked to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the operators' listener to end; its replies take milliseconds.
const OPERATOR_STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Settings that both roles share.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// Name of the process, unique in the fleet.
    pub process_id: String,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub availability_zone: String,
    /// Region.
    pub region: String,
    /// Shared secret of the fleet.
    pub fleet_key: FleetKey,
    /// Address of the link listener.
    pub link_listen: SocketAddr,
    /// Address of the gossip socket.
    pub gossip_listen: SocketAddr,
    /// Address of the operators' listener.
    pub operator_listen: SocketAddr,
    /// Gossip addresses of processes that may know the fleet.
    pub seeds: Vec<SocketAddr>,
    /// VM list of the platform, if it has one.
    pub vm_list: Option<VmListClient>,
}

/// Settings of the callers' side of an entry.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Address of the callers' listener.
    pub listen: SocketAddr,
    /// Limits of the callers' listener.
    pub limits: Limits,
    /// Time that the balancer takes to notice that the entry is not ready.
    pub balancer_notice: Duration,
}

/// Settings of the backend server beside a sidecar.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Kind of the backend server.
    pub kind: Backend,
    /// Pool of the backend server.
    pub pool: PoolId,
}

/// A process could not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartError;

impl std::fmt::Display for StartError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("cannot start the process")
    }
}

impl std::error::Error for StartError {}

/// Returns an incarnation that is higher than that of any earlier start: the time in milliseconds since the Unix epoch.
/// VMs keep nothing over a restart, so there is no counter to continue.
///
/// # Examples
///
/// ```
/// assert!(tanagerford_node::process::new_incarnation() > 1_700_000_000_000);
/// ```
#[must_use]
pub fn new_incarnation() -> Incarnation {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::try_from(now.as_millis()).unwrap_or(Incarnation::MAX)
}

/// Role that a process runs.
pub trait RoleRuntime {
    /// Returns the address at which the role accepts its peers: callers of an entry, links of a sidecar.
    fn address(&self) -> SocketAddr;

    /// Returns the role as a user of the membership; it raises `stop` when the process has to end.
    fn member(&self, stop: StopSignal) -> Arc<dyn FleetUser>;

    /// Returns what the role offers to its operators; a drain raises `stop`.
    fn operations(&self, gossip: Arc<Gossip>, stop: StopSignal) -> Arc<dyn Operated>;

    /// Refuses new work and finishes what is in flight. Returns whether all had ended when `timeout` passed.
    fn finish(self, timeout: Duration) -> bool;
}

/// Running process of one role.
pub struct Process<R> {
    role: R,
    fleet: Fleet,
    operators: ListenerHandle,
    stop: StopSignal,
}

/// Running entry process.
pub type EntryProcess = Process<Entry>;

/// Running sidecar process.
pub type SidecarProcess = Process<Sidecar>;

impl RoleRuntime for Entry {
    fn address(&self) -> SocketAddr {
        Self::address(self)
    }

    fn member(&self, stop: StopSignal) -> Arc<dyn FleetUser> {
        Self::member(self, stop)
    }

    fn operations(&self, gossip: Arc<Gossip>, stop: StopSignal) -> Arc<dyn Operated> {
        Self::operations(self, gossip, stop)
    }

    fn finish(self, timeout: Duration) -> bool {
        self.drain().finish(timeout)
    }
}

impl RoleRuntime for Sidecar {
    fn address(&self) -> SocketAddr {
        Self::address(self)
    }

    fn member(&self, stop: StopSignal) -> Arc<dyn FleetUser> {
        Self::fleet_observer(self, stop)
    }

    fn operations(&self, gossip: Arc<Gossip>, stop: StopSignal) -> Arc<dyn Operated> {
        self.publish_crashes_to(Arc::clone(&gossip));
        Self::operations(self, gossip, stop)
    }

    fn finish(self, timeout: Duration) -> bool {
        self.drain().finish(timeout)
    }
}

impl EntryProcess {
    /// Starts an entry process that stops when `stop` is raised.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or a thread cannot be started.
    pub fn start(
        settings: &ProcessSettings,
        callers: CallerSettings,
        kv: Arc<dyn Kv>,
        stop: StopSignal,
    ) -> Result<Self, Report<StartError>> {
        let exchange = exchange(kv);
        let entry_settings = EntrySettings {
            identity: settings.identity(),
            fleet_key: settings.fleet_key.clone(),
            listen: callers.listen,
            link_listen: settings.link_listen,
            limits: callers.limits,
            zone: settings.availability_zone.clone(),
            balancer_notice: callers.balancer_notice,
        };
        let entry = Entry::start(entry_settings, Arc::clone(&exchange));
        let entry = entry.change_context(StartError)?;
        let profile = settings.profile(Role::Entry, "", entry.link_address());
        Self::join(entry, settings, profile, exchange, stop)
    }
}

impl SidecarProcess {
    /// Starts a sidecar process that stops when `stop` is raised.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or a thread cannot be started.
    pub fn start(
        settings: &ProcessSettings,
        backend: &BackendSettings,
        kv: Arc<dyn Kv>,
        stop: StopSignal,
    ) -> Result<Self, Report<StartError>> {
        let exchange = exchange(Arc::clone(&kv));
        let sidecar_settings = SidecarSettings {
            identity: settings.identity(),
            fleet_key: settings.fleet_key.clone(),
            listen: settings.link_listen,
            backend_address: backend.address,
            backend: backend.kind,
            pool: backend.pool.clone(),
        };
        let orders = settings.orders(backend, kv);
        let sidecar = Sidecar::start(&sidecar_settings, Arc::clone(&exchange), orders);
        let sidecar = sidecar.change_context(StartError)?;
        let profile = settings.profile(Role::Sidecar, &backend.pool, sidecar.address());
        Self::join(sidecar, settings, profile, exchange, stop)
    }
}

impl<R: RoleRuntime> Process<R> {
    /// Joins the fleet with a running role and opens the operators' listener.
    fn join(
        role: R,
        settings: &ProcessSettings,
        profile: Profile,
        exchange: Arc<ConfigExchange>,
        stop: StopSignal,
    ) -> Result<Self, Report<StartError>> {
        let member = role.member(stop.clone());
        let fleet_settings = settings.fleet(profile, &exchange);
        let fleet = Fleet::join(fleet_settings, exchange, member).change_context(StartError)?;
        let operated = role.operations(Arc::clone(fleet.gossip()), stop.clone());
        let operators = listener::start(settings.operator_listen, operated);
        Ok(Self {
            role,
            fleet,
            operators: operators.change_context(StartError)?,
            stop,
        })
    }

    /// Returns the address at which the role accepts its peers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.role.address()
    }

    /// Returns the address of the operators' listener.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address of the gossip socket.
    #[must_use]
    pub fn gossip_address(&self) -> SocketAddr {
        self.fleet.gossip().local_address()
    }

    /// Serves until the stop is asked for, then stops gracefully. Returns whether all work had ended when `timeout`
    /// passed.
    #[must_use]
    pub fn run(self, timeout: Duration) -> bool {
        while !self.stop.wait(STOP_CHECK_INTERVAL) {}
        self.stop(timeout)
    }

    /// Stops gracefully. Returns whether all work had ended when `timeout` passed.
    #[must_use]
    pub fn stop(mut self, timeout: Duration) -> bool {
        self.fleet.leave();
        let finished = self.role.finish(timeout);
        self.fleet.stop();
        self.operators.stop(OPERATOR_STOP_TIMEOUT);
        finished
    }
}

impl ProcessSettings {
    fn identity(&self) -> Identity {
        Identity {
            process_id: self.process_id.clone(),
            incarnation: self.incarnation,
            availability_zone: self.availability_zone.clone(),
        }
    }

    fn profile(&self, role: Role, pool: &str, link_address: SocketAddr) -> Profile {
        Profile {
            process_id: self.process_id.clone(),
            role,
            pool: pool.to_owned(),
            availability_zone: self.availability_zone.clone(),
            region: self.region.clone(),
            link_address,
            gossip_address: self.gossip_listen,
        }
    }

    fn fleet(&self, profile: Profile, exchange: &ConfigExchange) -> FleetSettings {
        let key = self.fleet_key.clone();
        FleetSettings {
            profile,
            incarnation: self.incarnation,
            seeds: self.seeds.clone(),
            vm_list: self.vm_list.clone(),
            link_options: LinkOptions::new(self.identity(), key, exchange.generation()),
        }
    }

    /// Returns the order log of a plain service; engines take no orders.
    fn orders(&self, backend: &BackendSettings, kv: Arc<dyn Kv>) -> Option<Arc<OrderLog>> {
        match backend.kind {
            Backend::Engine => None,
            Backend::Service => {
                let owner = Owner {
                    server: self.process_id.clone(),
                    incarnation: self.incarnation,
                };
                let settings = OrderSettings::new(backend.pool.clone(), owner);
                Some(Arc::new(OrderLog::start(kv, settings)))
            }
        }
    }
}

fn exchange(kv: Arc<dyn Kv>) -> Arc<ConfigExchange> {
    ConfigExchange::new(Arc::new(ConfigFeed::new(kv, FeedSettings::default())))
}
