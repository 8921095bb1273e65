//! Links from an entry to sidecars: dials them, redials lost links with jittered backoff, and opens others on demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::thread;
use std::time::{Duration, Instant};

use rand::RngExt;
use tanagerford_core::ids::{Incarnation, PoolId, ServerId, ZoneId};
use tanagerford_link::{Link, LinkHandler, LinkOptions, connect};
use tanagerford_sync::{lock, read_lock, write_lock};

use crate::sync::Flag;

/// Backoff after a link was opened or after the first failure to open it, before jitter.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Upper bound of the backoff, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Time without use after which a link that was opened on demand is closed.
const ON_DEMAND_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval at which the dialling thread checks for links to open and to close.
const DIAL_INTERVAL: Duration = Duration::from_millis(50);

/// A sidecar and the properties of its backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    pub server: ServerId,
    pub pool: PoolId,
    pub zone: ZoneId,
    /// Address of the sidecar's link listener.
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    /// Whether the sidecar is draining and accepts no new work.
    pub leaving: bool,
}

/// Handler of the links of a [`LinkPool`].
pub trait LinkPoolHandler: LinkHandler {
    /// Returns whether no attempt is in flight on the link, so that it can be closed.
    fn is_idle(&self, link: &Link) -> bool;
}

/// Links of an entry: a permanent one to each target, and others that are opened on demand.
pub struct LinkPool<H> {
    options: LinkOptions,
    handler: Arc<H>,
    slots: Mutex<HashMap<ServerId, Slot>>,
    /// All sidecars of the fleet. Links to those that are not targets are opened on demand.
    directory: RwLock<HashMap<ServerId, Target>>,
    /// Links that are no longer needed. Each is closed when no attempt is in flight on it.
    retired: Mutex<Vec<Link>>,
    stopped: Flag,
}

#[derive(Debug)]
struct Slot {
    target: Target,
    link: Option<Link>,
    is_dialling: bool,
    /// Number of dials that failed since the link was last opened.
    failures: u32,
    /// Earliest time of the next dial.
    next_dial_at: Instant,
    /// Time of the last use of a link that was opened on demand; `None` for a link to a target.
    last_used_at: Option<Instant>,
}

impl<H: LinkPoolHandler> LinkPool<H> {
    /// Creates a pool without targets and starts its dialling thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(options: LinkOptions, handler: Arc<H>) -> std::io::Result<Arc<Self>> {
        let pool = Arc::new(Self {
            options,
            handler,
            slots: Mutex::default(),
            directory: RwLock::default(),
            retired: Mutex::default(),
            stopped: Flag::default(),
        });
        let dialler = Arc::clone(&pool);
        thread::Builder::new()
            .name("link-dial".to_owned())
            .spawn(move || dialler.dial_until_stopped())?;
        Ok(pool)
    }

    /// Replaces the directory of all sidecars of the fleet.
    pub fn set_directory(&self, sidecars: impl IntoIterator<Item = Target>) {
        let sidecars = sidecars.into_iter();
        let by_server = sidecars.map(|target| (target.server.clone(), target));
        *write_lock(&self.directory) = by_server.collect();
    }

    /// Returns the servers of `pool` in the directory that are not leaving, except those in `exclude`.
    #[must_use]
    pub fn accepting_servers(&self, pool: &str, exclude: &[ServerId]) -> Vec<ServerId> {
        let directory = read_lock(&self.directory);
        let accepting = directory.values().filter(|target| {
            target.pool == pool && !target.leaving && !exclude.contains(&target.server)
        });
        accepting.map(|target| target.server.clone()).collect()
    }

    /// Returns the link to any sidecar of the directory. If there is none, opens one, which blocks until the handshake
    /// has finished. A link that was opened on demand is closed after [`ON_DEMAND_IDLE_TIMEOUT`] without use.
    #[must_use]
    pub fn get_or_open(&self, server: &str) -> Option<Link> {
        if let Some(link) = self.touch(server) {
            return Some(link);
        }
        let target = {
            let directory = read_lock(&self.directory);
            directory.get(server)?.clone()
        };
        let link = match connect(target.address, &self.options, Arc::clone(&self.handler)) {
            Ok(link) => link,
            Err(error) => {
                tracing::debug!(server, %error, "cannot open a link on demand");
                return None;
            }
        };
        let mut slots = lock(&self.slots);
        let slot = slots.entry(target.server.clone()).or_insert_with(|| Slot {
            last_used_at: Some(Instant::now()),
            ..Slot::new(target)
        });
        if slot.is_open() {
            // Another thread has opened a link in the meantime.
            link.close();
        } else {
            slot.link = Some(link);
        }
        slot.link.clone()
    }

    /// Returns the open link to a server and records its use.
    fn touch(&self, server: &str) -> Option<Link> {
        let mut slots = lock(&self.slots);
        let slot = slots.get_mut(server)?;
        if let Some(last_used_at) = &mut slot.last_used_at {
            *last_used_at = Instant::now();
        }
        slot.link.clone().filter(|link| !link.is_lost())
    }

    /// Replaces the targets. Links to targets that remain at the same address are retained; other links are closed when
    /// they are idle.
    pub fn set_targets(&self, targets: impl IntoIterator<Item = Target>) {
        let mut slots = lock(&self.slots);
        let mut old = std::mem::take(&mut *slots);
        for target in targets {
            let retained = old
                .remove(&target.server)
                .filter(|slot| slot.target.address == target.address);
            let slot = retained.unwrap_or_else(|| Slot::new(target.clone()));
            let slot = Slot {
                target,
                last_used_at: None,
                ..slot
            };
            slots.insert(slot.target.server.clone(), slot);
        }
        let on_demand = old.extract_if(|_, slot| slot.is_recently_used());
        slots.extend(on_demand);
        let removed = old.into_values().filter_map(|slot| slot.link);
        lock(&self.retired).extend(removed);
    }

    /// Returns the open link to a server; `None` if there is none.
    #[must_use]
    pub fn get(&self, server: &str) -> Option<Link> {
        let slots = lock(&self.slots);
        let link = slots.get(server)?.link.as_ref()?;
        (!link.is_lost()).then(|| link.clone())
    }

    /// Returns the targets and the servers with a link on demand, ordered by name, and whether the link to each is
    /// open.
    #[must_use]
    pub fn targets(&self) -> Vec<(Target, bool)> {
        let slots = lock(&self.slots);
        let mut targets: Vec<_> = slots
            .values()
            .map(|slot| (slot.target.clone(), slot.is_open()))
            .collect();
        targets.sort_by(|left, right| left.0.server.cmp(&right.0.server));
        targets
    }

    /// Returns the targets to which no link is open.
    #[must_use]
    pub fn closed_servers(&self) -> Vec<ServerId> {
        let slots = lock(&self.slots);
        let closed = slots.values().filter(|slot| !slot.is_open());
        closed.map(|slot| slot.target.server.clone()).collect()
    }

    /// Returns whether there is an open link to a server of `pool` that is not leaving and not in `exclude`.
    #[must_use]
    pub fn has_open_link(&self, pool: &str, exclude: &[ServerId]) -> bool {
        lock(&self.slots).values().any(|slot| {
            let target = &slot.target;
            target.pool == pool
                && !target.leaving
                && slot.is_open()
                && !exclude.contains(&target.server)
        })
    }

    /// Stops dialling and closes all links.
    pub fn stop(&self) {
        self.stopped.raise();
        for slot in lock(&self.slots).values() {
            if let Some(link) = &slot.link {
                link.close();
            }
        }
    }

    fn dial_until_stopped(self: &Arc<Self>) {
        while !self.stopped.is_raised() {
            for target in self.take_due_targets() {
                let pool = Arc::clone(self);
                let dial = move || pool.dial(&target);
                if let Err(error) = thread::Builder::new().spawn(dial) {
                    tracing::warn!(%error, "cannot start a thread to dial a sidecar");
                }
            }
            self.close_unused();
            thread::sleep(DIAL_INTERVAL);
        }
    }

    /// Retires links that were opened on demand and not used recently, and closes the retired links that are idle.
    fn close_unused(&self) {
        let unused = {
            let mut slots = lock(&self.slots);
            let idle =
                slots.extract_if(|_, slot| slot.last_used_at.is_some() && !slot.is_recently_used());
            idle.filter_map(|(_, slot)| slot.link).collect::<Vec<_>>()
        };
        lock(&self.retired).extend(unused);
        lock(&self.retired).retain(|link| {
            let keep = !link.is_lost() && !self.handler.is_idle(link);
            if !keep {
                link.close();
            }
            keep
        });
    }

    /// Returns the targets to dial now and marks them as being dialled.
    fn take_due_targets(&self) -> Vec<Target> {
        let now = Instant::now();
        let mut slots = lock(&self.slots);
        let due = slots
            .values_mut()
            .filter(|slot| !slot.is_dialling && !slot.is_open() && slot.next_dial_at <= now)
            .filter(|slot| slot.last_used_at.is_none());
        due.map(|slot| {
            slot.is_dialling = true;
            slot.target.clone()
        })
        .collect()
    }

    fn dial(&self, target: &Target) {
        let result = connect(target.address, &self.options, Arc::clone(&self.handler));
        let mut slots = lock(&self.slots);
        let Some(slot) = slots.get_mut(&target.server) else {
            return;
        };
        slot.is_dialling = false;
        match result {
            Ok(link) => {
                tracing::info!(server = target.server, address = %target.address, "link opened");
                slot.link = Some(link);
                slot.failures = 0;
                slot.next_dial_at = Instant::now() + jittered(INITIAL_BACKOFF);
            }
            Err(error) => {
                tracing::debug!(server = target.server, %error, "cannot open a link");
                slot.link = None;
                slot.next_dial_at = Instant::now() + jittered(backoff(slot.failures));
                slot.failures = slot.failures.saturating_add(1);
            }
        }
    }
}

impl Slot {
    fn new(target: Target) -> Self {
        Self {
            target,
            link: None,
            is_dialling: false,
            failures: 0,
            next_dial_at: Instant::now(),
            last_used_at: None,
        }
    }

    /// Returns whether the link is open, was opened on demand, and was used within [`ON_DEMAND_IDLE_TIMEOUT`].
    fn is_recently_used(&self) -> bool {
        self.is_open()
            && self
                .last_used_at
                .is_some_and(|at| at.elapsed() < ON_DEMAND_IDLE_TIMEOUT)
    }

    fn is_open(&self) -> bool {
        self.link.as_ref().is_some_and(|link| !link.is_lost())
    }
}

fn backoff(failures: u32) -> Duration {
    INITIAL_BACKOFF
        .saturating_mul(2_u32.saturating_pow(failures))
        .min(MAX_BACKOFF)
}

/// Returns a random duration between half and one and a half of `backoff`, so that not all entries dial a restarted
/// sidecar at the same time.
fn jittered(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::rng().random_range(0.5..1.5))
}
