//! Processes of the fleet: an entry or a sidecar together with its membership and its operators' listener.

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
use tanagerford_operator::listener::{self, OperatorApi};

use crate::config_feed::{ConfigFeed, FeedSettings};
use crate::entry::{Entry, EntrySettings};
use crate::exchange::ConfigExchange;
use crate::fleet::{Fleet, FleetObserver, FleetSettings};
use crate::orders::{OrderLog, OrderSettings};
use crate::sidecar::{Backend, Sidecar, SidecarSettings};
use crate::stop::StopSignal;

/// Timeout of one wait for the stop signal.
const STOP_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for stopping the operators' listener. Its replies take milliseconds.
const OPERATOR_STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Settings that entries and sidecars share.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// Name of the process, unique in the fleet. A restarted process may use it again.
    pub process_id: String,
    /// Incarnation of the process, higher than that of any earlier process with the same name; see [`new_incarnation`].
    pub incarnation: Incarnation,
    /// Name of the availability zone. Entries prefer servers of their own zone, and some processes of each zone watch
    /// the configuration.
    pub availability_zone: String,
    /// Name of the region, which is announced to the other members.
    pub region: String,
    /// Shared secret that authenticates the processes of the fleet to each other.
    pub fleet_key: FleetKey,
    /// Address of the listener for links.
    pub link_listen: SocketAddr,
    /// Address of the UDP socket of the membership protocol.
    pub gossip_listen: SocketAddr,
    /// Address of the operators' listener, which does not authenticate its clients.
    pub operator_listen: SocketAddr,
    /// Gossip addresses through which the process joins the fleet; none for the first process.
    pub seeds: Vec<SocketAddr>,
    /// Client of the platform's VM list; `None` if the platform has no such list.
    pub vm_list: Option<VmListClient>,
}

/// Settings of an entry's listener for callers.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Address on which the entry accepts requests.
    pub listen: SocketAddr,
    /// Limits of connections, sizes and timeouts.
    pub limits: Limits,
    /// Time that the load balancer needs to detect that the entry is not ready. A draining entry accepts requests for
    /// that time.
    pub balancer_notice: Duration,
}

/// Settings of the backend server of a sidecar.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Address on which the backend server accepts HTTP requests.
    pub address: SocketAddr,
    /// Whether the backend server is an engine or a plain service.
    pub kind: Backend,
    /// Pool that the backend server belongs to. Models and services of the configuration name their pool.
    pub pool: PoolId,
}

/// A process could not be started; the attached report has the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartError;

impl std::fmt::Display for StartError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("cannot start the process")
    }
}

impl std::error::Error for StartError {}

/// Returns a new incarnation, the time in milliseconds since the Unix epoch.
///
/// It is higher than the incarnation of any earlier start. VMs retain no data across restarts, so a stored counter is
/// not possible.
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

/// Role of a process: an entry or a sidecar.
pub trait RoleRuntime {
    /// Returns the bound address of the main listener: that for callers of an entry, or for links of a sidecar.
    fn address(&self) -> SocketAddr;

    /// Returns the observer of membership and configuration changes. It raises `stop` when the process has to stop.
    fn fleet_observer(&self, stop: StopSignal) -> Arc<dyn FleetObserver>;

    /// Returns the operations for the operators' listener. A drain raises `stop`.
    fn operations(&self, gossip: Arc<Gossip>, stop: StopSignal) -> Arc<dyn OperatorApi>;

    /// Stops accepting new work and waits up to `timeout` for the work in flight. Returns whether all of it ended.
    fn finish(self, timeout: Duration) -> bool;
}

/// A running process of one role, with its membership and its operators' listener.
pub struct Process<R> {
    role: R,
    fleet: Fleet,
    operators: ListenerHandle,
    stop: StopSignal,
}

/// A running entry with its membership and its operators' listener.
pub type EntryProcess = Process<Entry>;

/// A running sidecar with its membership and its operators' listener.
pub type SidecarProcess = Process<Sidecar>;

impl RoleRuntime for Entry {
    fn address(&self) -> SocketAddr {
        Self::address(self)
    }

    fn fleet_observer(&self, stop: StopSignal) -> Arc<dyn FleetObserver> {
        Self::fleet_observer(self, stop)
    }

    fn operations(&self, gossip: Arc<Gossip>, stop: StopSignal) -> Arc<dyn OperatorApi> {
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

    fn fleet_observer(&self, stop: StopSignal) -> Arc<dyn FleetObserver> {
        Self::fleet_observer(self, stop)
    }

    fn operations(&self, gossip: Arc<Gossip>, stop: StopSignal) -> Arc<dyn OperatorApi> {
        self.publish_crashes_to(Arc::clone(&gossip));
        Self::operations(self, gossip, stop)
    }

    fn finish(self, timeout: Duration) -> bool {
        self.drain().finish(timeout)
    }
}

impl EntryProcess {
    /// Starts an entry process. [`run`](Self::run) stops it when `stop` is raised.
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
        let exchange = config_exchange(kv);
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
    /// Starts a sidecar process. [`run`](Self::run) stops it when `stop` is raised.
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
        let exchange = config_exchange(Arc::clone(&kv));
        let sidecar_settings = SidecarSettings {
            identity: settings.identity(),
            fleet_key: settings.fleet_key.clone(),
            listen: settings.link_listen,
            backend_address: backend.address,
            backend: backend.kind,
            pool: backend.pool.clone(),
        };
        let orders = settings.start_order_log(backend, kv);
        let sidecar = Sidecar::start(&sidecar_settings, Arc::clone(&exchange), orders);
        let sidecar = sidecar.change_context(StartError)?;
        let profile = settings.profile(Role::Sidecar, &backend.pool, sidecar.address());
        Self::join(sidecar, settings, profile, exchange, stop)
    }
}

impl<R: RoleRuntime> Process<R> {
    /// Joins the fleet with a running role and starts the operators' listener.
    fn join(
        role: R,
        settings: &ProcessSettings,
        profile: Profile,
        exchange: Arc<ConfigExchange>,
        stop: StopSignal,
    ) -> Result<Self, Report<StartError>> {
        let observer = role.fleet_observer(stop.clone());
        let fleet_settings = settings.fleet_settings(profile, &exchange);
        let fleet = Fleet::join(fleet_settings, exchange, observer).change_context(StartError)?;
        let operated = role.operations(Arc::clone(fleet.gossip()), stop.clone());
        let operators = listener::start(settings.operator_listen, operated);
        Ok(Self {
            role,
            fleet,
            operators: operators.change_context(StartError)?,
            stop,
        })
    }

    /// Returns the bound address of the main listener: that for callers of an entry, or for links of a sidecar.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.role.address()
    }

    /// Returns the bound address of the operators' listener.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the bound address of the membership protocol's UDP socket.
    #[must_use]
    pub fn gossip_address(&self) -> SocketAddr {
        self.fleet.gossip().local_address()
    }

    /// Runs until the stop signal is raised, then stops gracefully; see [`stop`](Self::stop).
    #[must_use]
    pub fn run(self, timeout: Duration) -> bool {
        while !self.stop.wait(STOP_CHECK_INTERVAL) {}
        self.stop(timeout)
    }

    /// Announces that the process is leaving, waits up to `timeout` for the work in flight, and stops. Returns whether
    /// all work ended in that time.
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

    fn fleet_settings(&self, profile: Profile, exchange: &ConfigExchange) -> FleetSettings {
        let key = self.fleet_key.clone();
        FleetSettings {
            profile,
            incarnation: self.incarnation,
            seeds: self.seeds.clone(),
            vm_list: self.vm_list.clone(),
            link_options: LinkOptions::new(self.identity(), key, exchange.generation()),
        }
    }

    /// Starts the order log of a plain service; returns `None` for an engine, which accepts no orders.
    fn start_order_log(&self, backend: &BackendSettings, kv: Arc<dyn Kv>) -> Option<Arc<OrderLog>> {
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

fn config_exchange(kv: Arc<dyn Kv>) -> Arc<ConfigExchange> {
    ConfigExchange::new(Arc::new(ConfigFeed::new(kv, FeedSettings::default())))
}
