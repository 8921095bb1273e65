//! Links from an entry to sidecars: dials, redials with jittered backoff, and tells who is reachable.

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

/// First pause before a lost link is dialled again.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause before a lost link is dialled again.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Time for which an unused link that was opened on demand is kept.
const ON_DEMAND_KEPT: Duration = Duration::from_mins(1);

/// Interval at which the dialling thread looks for links to open.
const DIAL_INTERVAL: Duration = Duration::from_millis(50);

/// Sidecar that an entry keeps a link to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the backend server.
    pub server: ServerId,
    /// Pool of the backend server.
    pub pool: PoolId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address of the sidecar's link listener.
    pub address: SocketAddr,
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Whether the backend server takes no new work.
    pub leaving: bool,
}

/// Handler of the links of an entry.
pub trait EntryLinks: LinkHandler {
    /// Returns whether no attempt is in flight on the link.
    fn is_idle(&self, link: &Link) -> bool;
}

/// Links to the targets of an entry.
pub struct LinkPool<H> {
    options: LinkOptions,
    handler: Arc<H>,
    slots: Mutex<HashMap<ServerId, Slot>>,
    /// All sidecars of the fleet; links to others than the targets are opened on demand.
    directory: RwLock<HashMap<ServerId, Target>>,
    /// Links to servers that are no targets any more; closed once their last attempt has ended.
    retired: Mutex<Vec<Link>>,
    stopped: Flag,
}

#[derive(Debug)]
struct Slot {
    target: Target,
    link: Option<Link>,
    dialling: bool,
    failures: u32,
    not_before: Instant,
    /// Last use of a link that was opened on demand; `None` for a link to a target.
    used_at: Option<Instant>,
}

impl<H: EntryLinks> LinkPool<H> {
    /// Creates a pool without targets and starts its dialling thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
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

    /// Replaces the list of all sidecars.
    pub fn set_directory(&self, sidecars: impl IntoIterator<Item = Target>) {
        let sidecars = sidecars.into_iter();
        let named = sidecars.map(|target| (target.server.clone(), target));
        *write_lock(&self.directory) = named.collect();
    }

    /// Returns the sidecars of `pool` that do not leave, except those in `exclude`.
    #[must_use]
    pub fn listed_servers(&self, pool: &str, exclude: &[ServerId]) -> Vec<ServerId> {
        let directory = read_lock(&self.directory);
        let listed = directory.values().filter(|target| {
            target.pool == pool && !target.leaving && !exclude.contains(&target.server)
        });
        listed.map(|target| target.server.clone()).collect()
    }

    /// Returns the link to any listed sidecar; opens it if there is none, which blocks for the time of the handshake.
    /// A link that was opened on demand is closed after it was not used for a while.
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
            used_at: Some(Instant::now()),
            ..Slot::new(target)
        });
        if slot.is_open() {
            // Another request opened a link in the meantime.
            link.close();
        } else {
            slot.link = Some(link);
        }
        slot.link.clone()
    }

    fn touch(&self, server: &str) -> Option<Link> {
        let mut slots = lock(&self.slots);
        let slot = slots.get_mut(server)?;
        if let Some(used_at) = &mut slot.used_at {
            *used_at = Instant::now();
        }
        slot.link.clone().filter(|link| !link.is_lost())
    }

    /// Replaces the targets. Links to targets that stay are kept; other links are closed once they are idle.
    pub fn set_targets(&self, targets: impl IntoIterator<Item = Target>) {
        let mut slots = lock(&self.slots);
        let mut old = std::mem::take(&mut *slots);
        for target in targets {
            let kept = old
                .remove(&target.server)
                .filter(|slot| slot.target.address == target.address);
            let slot = kept.unwrap_or_else(|| Slot::new(target.clone()));
            let slot = Slot {
                target,
                used_at: None,
                ..slot
            };
            slots.insert(slot.target.server.clone(), slot);
        }
        let on_demand = old.extract_if(|_, slot| slot.is_in_use());
        slots.extend(on_demand);
        let removed = old.into_values().filter_map(|slot| slot.link);
        lock(&self.retired).extend(removed);
    }

    /// Returns the link to a server, if it is open.
    #[must_use]
    pub fn get(&self, server: &str) -> Option<Link> {
        let slots = lock(&self.slots);
        let link = slots.get(server)?.link.as_ref()?;
        (!link.is_lost()).then(|| link.clone())
    }

    /// Returns the targets and whether each has an open link.
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

    /// Returns the targets without an open link.
    #[must_use]
    pub fn closed_servers(&self) -> Vec<ServerId> {
        let slots = lock(&self.slots);
        let closed = slots.values().filter(|slot| !slot.is_open());
        closed.map(|slot| slot.target.server.clone()).collect()
    }

    /// Returns whether a server of `pool` that does not leave has an open link, apart from those in `exclude`.
    #[must_use]
    pub fn has_open(&self, pool: &str, exclude: &[ServerId]) -> bool {
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
            for target in self.due() {
                let pool = Arc::clone(self);
                let dial = move || pool.dial(&target);
                if let Err(error) = thread::Builder::new().spawn(dial) {
                    tracing::warn!(%error, "cannot start a thread to dial a sidecar");
                }
            }
            self.close_retired();
            thread::sleep(DIAL_INTERVAL);
        }
    }

    fn close_retired(&self) {
        let unused = {
            let mut slots = lock(&self.slots);
            let unused = slots.extract_if(|_, slot| slot.used_at.is_some() && !slot.is_in_use());
            unused.filter_map(|(_, slot)| slot.link).collect::<Vec<_>>()
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

    fn due(&self) -> Vec<Target> {
        let now = Instant::now();
        let mut slots = lock(&self.slots);
        let due = slots
            .values_mut()
            .filter(|slot| !slot.dialling && !slot.is_open() && slot.not_before <= now)
            .filter(|slot| slot.used_at.is_none());
        due.map(|slot| {
            slot.dialling = true;
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
        slot.dialling = false;
        match result {
            Ok(link) => {
                tracing::info!(server = target.server, address = %target.address, "link opened");
                slot.link = Some(link);
                slot.failures = 0;
                slot.not_before = Instant::now() + jittered(FIRST_BACKOFF);
            }
            Err(error) => {
                tracing::debug!(server = target.server, %error, "cannot open a link");
                slot.link = None;
                slot.not_before = Instant::now() + jittered(backoff(slot.failures));
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
            dialling: false,
            failures: 0,
            not_before: Instant::now(),
            used_at: None,
        }
    }

    /// Returns whether the link was opened on demand and used not long ago.
    fn is_in_use(&self) -> bool {
        self.is_open() && self.used_at.is_some_and(|at| at.elapsed() < ON_DEMAND_KEPT)
    }

    fn is_open(&self) -> bool {
        self.link.as_ref().is_some_and(|link| !link.is_lost())
    }
}

fn backoff(failures: u32) -> Duration {
    FIRST_BACKOFF
        .saturating_mul(2_u32.saturating_pow(failures))
        .min(MAX_BACKOFF)
}

/// Spreads redials over half to one and a half times the pause, so that a restarted sidecar is not dialled by all
/// entries at once.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
