//! Links from an entry to sidecars: dials, redials with jittered backoff, and tells who is reachable.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::RngExt;
use tanagerford_core::ids::{Incarnation, PoolId, ServerId, ZoneId};
use tanagerford_link::{Link, LinkHandler, LinkOptions, connect};

use crate::sync::{Flag, lock};

/// First pause before a lost link is dialled again.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause before a lost link is dialled again.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

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
            retired: Mutex::default(),
            stopped: Flag::default(),
        });
        let dialler = Arc::clone(&pool);
        thread::Builder::new()
            .name("link-dial".to_owned())
            .spawn(move || dialler.dial_until_stopped())?;
        Ok(pool)
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
            slots.insert(target.server.clone(), Slot { target, ..slot });
        }
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

    /// Returns the servers of `pool` with an open link that do not leave, except those in `exclude`.
    #[must_use]
    pub fn open_servers(&self, pool: &str, exclude: &[ServerId]) -> Vec<ServerId> {
        let slots = lock(&self.slots);
        let open = slots
            .values()
            .filter(|slot| slot.target.pool == pool && slot.is_open() && !slot.target.leaving);
        open.map(|slot| &slot.target.server)
            .filter(|server| !exclude.contains(server))
            .cloned()
            .collect()
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
            .filter(|slot| !slot.dialling && !slot.is_open() && slot.not_before <= now);
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
        }
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
