//! Participation of a process in the fleet: membership, fetching of the configuration, and notification of their
//! changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{self, Receiver, Sender};
use error_stack::Report;
use tanagerford_core::config::active::ActiveConfiguration;
use tanagerford_core::ids::{Generation, Incarnation};
use tanagerford_core::membership::{Event, Item, Member, MemberState, Params, Profile};
use tanagerford_core::subset::{Participant, watchers};
use tanagerford_gossip::{Gossip, Settings, Snapshot, StartError};
use tanagerford_kv::vm_list::VmListClient;
use tanagerford_link::message::{Frame, frame};
use tanagerford_link::{Link, LinkHandler, LinkOptions, connect};

use crate::exchange::ConfigExchange;
use crate::sync::Flag;
use crate::vm_watch::{LeavingProcess, VmWatch};

/// Interval at which the control loop checks for changes that do not arrive as events.
const CONTROL_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between notifications of changed members. Computing the subsets takes 14 ms for a fleet of the
/// documented scale, which would use a large share of a core while many members change.
const MIN_NOTIFICATION_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a process retries fetching a configuration.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for the response of a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of processes in each availability zone that watch the key-value service. The others receive changes from
/// peers.
const WATCHERS_PER_ZONE: usize = 3;

/// Largest number of peers from which a starting process fetches the configuration when the key-value service fails.
const MAX_STARTUP_PEERS: usize = 5;

/// Receives the changes of membership and configuration that a process observes.
pub trait FleetObserver: Send + Sync + 'static {
    /// Handles a change of the members.
    fn on_members(&self, members: &Snapshot);

    /// Handles a new configuration, which is in force.
    fn on_configuration(&self, configuration: &ActiveConfiguration);

    /// Handles the announcement that the VM of a process, possibly of this one, is about to be reclaimed.
    fn on_leaving(&self, leaving: &LeavingProcess);

    /// Handles an opaque item of any other kind that another process has published.
    fn on_item(&self, item: &Item);

    /// Handles the discovery of a process with the same id and a higher incarnation. This process has to stop.
    fn on_superseded(&self);
}

/// Settings of [`Fleet::join`].
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Properties of this process that are announced to the other members.
    pub profile: Profile,
    /// Incarnation of this process, higher than that of any earlier process with the same id.
    pub incarnation: Incarnation,
    /// Gossip addresses through which the process joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Client of the platform's VM list; `None` if the platform has no such list.
    pub vm_list: Option<VmListClient>,
    /// Options of the links over which the configuration is fetched.
    pub link_options: LinkOptions,
}

/// Membership of this process in the fleet, with the threads that maintain it.
pub struct Fleet {
    gossip: Arc<Gossip>,
    stopped: Arc<Flag>,
    threads: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Joins the fleet and starts to notify `observer`.
    ///
    /// # Errors
    ///
    /// Fails if the gossip address cannot be bound or a thread cannot be started.
    pub fn join(
        settings: FleetSettings,
        exchange: Arc<ConfigExchange>,
        observer: Arc<dyn FleetObserver>,
    ) -> Result<Self, Report<StartError>> {
        let gossip = Arc::new(Gossip::start(Settings {
            profile: settings.profile,
            incarnation: settings.incarnation,
            fleet_key: settings.link_options.key.as_bytes().to_vec(),
            seeds: settings.seeds.clone(),
            params: Params::default(),
        })?);
        let stopped = Arc::new(Flag::default());
        let fetcher = Arc::new(ConfigFetcher {
            exchange,
            options: settings.link_options,
        });
        let control = ControlLoop {
            events: gossip.subscribe(),
            gossip: Arc::clone(&gossip),
            fetcher: Arc::clone(&fetcher),
            observer: Arc::clone(&observer),
            stopped: Arc::clone(&stopped),
            applied_version: None,
            members_applied_at: None,
            applied_generation: 0,
            is_watching: Arc::default(),
            newer_peer: None,
            fetched_at: None,
        };
        let load_configuration = {
            let (gossip, stopped) = (Arc::clone(&gossip), Arc::clone(&stopped));
            move || load_initial_configuration(&gossip, &fetcher, &stopped)
        };
        let is_watching = Arc::clone(&control.is_watching);
        let mut threads = vec![
            spawn("fleet-control", move || control.run())?,
            spawn("config-start", load_configuration)?,
        ];
        if let Some(client) = settings.vm_list {
            let watch = VmWatch {
                client,
                gossip: Arc::clone(&gossip),
                seeds: settings.seeds,
                observer,
                stopped: Arc::clone(&stopped),
            };
            let run = move || watch.run(|| is_watching.load(Ordering::Relaxed));
            threads.push(spawn("vm-list", run)?);
        }
        Ok(Self {
            gossip,
            stopped,
            threads,
        })
    }

    /// Returns the membership protocol of this process.
    #[must_use]
    pub fn gossip(&self) -> &Arc<Gossip> {
        &self.gossip
    }

    /// Announces that this process is leaving and accepts no new work.
    pub fn leave(&self) {
        self.gossip.leave();
    }

    /// Announces that this process has stopped, and joins the threads.
    pub fn stop(mut self) {
        self.stopped.raise();
        self.gossip.stop();
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                tracing::error!("a thread of the fleet panicked");
            }
        }
    }
}

fn spawn(
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, Report<StartError>> {
    let spawned = thread::Builder::new().name(name.to_owned()).spawn(run);
    spawned.map_err(|error| Report::new(error).change_context(StartError))
}

/// State of the thread that applies changes of the members and of the configuration.
struct ControlLoop {
    events: Receiver<Event>,
    gossip: Arc<Gossip>,
    fetcher: Arc<ConfigFetcher>,
    observer: Arc<dyn FleetObserver>,
    stopped: Arc<Flag>,
    applied_version: Option<u64>,
    members_applied_at: Option<Instant>,
    applied_generation: Generation,
    is_watching: Arc<AtomicBool>,
    /// Newest generation that a peer announced and that is not yet in force, with the peer.
    newer_peer: Option<(Generation, Arc<Profile>)>,
    fetched_at: Option<Instant>,
}

impl ControlLoop {
    fn run(mut self) {
        while !self.stopped.is_raised() {
            if let Ok(event) = self.events.recv_timeout(CONTROL_INTERVAL) {
                self.on_event(event);
                while let Ok(event) = self.events.try_recv() {
                    self.on_event(event);
                }
            }
            self.apply_configuration();
            self.apply_members();
            self.fetch_if_behind();
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::GenerationAhead { generation, peer } => {
                if self
                    .newer_peer
                    .as_ref()
                    .is_none_or(|(known, _)| *known <= generation)
                {
                    self.newer_peer = Some((generation, peer));
                }
            }
            Event::Item(item) => match LeavingProcess::from_item(&item) {
                Some(leaving) => self.observer.on_leaving(&leaving),
                None => self.observer.on_item(&item),
            },
            Event::Superseded { incarnation } => {
                tracing::error!(incarnation, "a newer process has the same id; stopping");
                self.observer.on_superseded();
            }
            Event::Joined(member) | Event::Changed(member) => log_member(&member),
            Event::Removed(profile) => {
                tracing::info!(process_id = profile.process_id, "removed a dead member");
            }
        }
    }

    fn apply_configuration(&mut self) {
        let generation = self.fetcher.exchange.refresh_generation();
        if generation > self.applied_generation {
            self.applied_generation = generation;
            self.observer
                .on_configuration(&self.fetcher.exchange.feed().current());
            self.gossip.set_generation(generation);
            tracing::info!(generation, "configuration is in force");
        }
    }

    fn apply_members(&mut self) {
        let members = self.gossip.members();
        let too_soon = self
            .members_applied_at
            .is_some_and(|at| at.elapsed() < MIN_NOTIFICATION_INTERVAL);
        if self.applied_version == Some(members.version) || too_soon {
            return;
        }
        self.members_applied_at = Some(Instant::now());
        self.applied_version = Some(members.version);
        self.observer.on_members(&members);
        let is_watching = is_watcher(&members);
        if is_watching != self.is_watching.swap(is_watching, Ordering::Relaxed)
            && let Err(error) = self.fetcher.exchange.feed().set_watching(is_watching)
        {
            tracing::error!(%error, "cannot start to watch the configuration");
        }
    }

    fn fetch_if_behind(&mut self) {
        let Some((generation, peer)) = &self.newer_peer else {
            return;
        };
        if *generation <= self.applied_generation {
            self.newer_peer = None;
            return;
        }
        if self
            .fetched_at
            .is_some_and(|at| at.elapsed() < FETCH_INTERVAL)
        {
            return;
        }
        self.fetched_at = Some(Instant::now());
        let (fetcher, peer) = (Arc::clone(&self.fetcher), Arc::clone(peer));
        let fetch = move || {
            fetcher.fetch(&peer);
        };
        if let Err(error) = thread::Builder::new().spawn(fetch) {
            tracing::warn!(%error, "cannot start a thread to fetch the configuration");
        }
    }
}

fn log_member(member: &Member) {
    tracing::info!(
        process_id = member.profile.process_id,
        incarnation = member.status.incarnation,
        state = ?member.status.state,
        "a member joined or changed its state"
    );
}

/// Returns whether this process is one of those that watch the key-value service for its availability zone.
fn is_watcher(members: &Snapshot) -> bool {
    let live = members.members.iter().chain([&members.own]);
    let live: Vec<_> = live
        .filter(|member| member.takes_work())
        .map(participant)
        .collect();
    let own = members.own.profile.process_id.as_str();
    watchers(&live, WATCHERS_PER_ZONE).contains(own)
}

/// Returns the properties of a member that determine the assignment of subsets.
pub(crate) fn participant(member: &Member) -> Participant<'_> {
    Participant {
        process_id: &member.profile.process_id,
        availability_zone: &member.profile.availability_zone,
    }
}

/// Fetches the configuration from peers.
struct ConfigFetcher {
    exchange: Arc<ConfigExchange>,
    options: LinkOptions,
}

/// Handler of the link of one fetch, which forwards the received sections to it.
struct FetchHandler(Sender<tanagerford_link::message::ConfigSections>);

impl LinkHandler for FetchHandler {
    fn on_frame(&self, _: &Link, frame: Frame) {
        if let Some(frame::Body::ConfigSections(sections)) = frame.body {
            let _ = self.0.try_send(sections);
        }
    }

    fn on_lost(&self, _: &Link) {}
}

impl ConfigFetcher {
    /// Fetches and applies the changed sections of a peer. Returns the generation that the peer uses, 0 if it has no
    /// configuration, or `None` if the fetch fails.
    fn fetch(&self, peer: &Profile) -> Option<Generation> {
        let (sender, sections) = channel::bounded(1);
        let handler = Arc::new(FetchHandler(sender));
        let link = match connect(peer.link_address, &self.options, handler) {
            Ok(link) => link,
            Err(error) => {
                tracing::warn!(peer = peer.process_id, %error, "cannot fetch the configuration");
                return None;
            }
        };
        self.exchange.request_sections(&link);
        let sections = sections.recv_timeout(FETCH_TIMEOUT).ok();
        link.close();
        let sections = sections?;
        if sections.generation > 0 {
            self.exchange.accept(&peer.process_id, &sections);
        }
        Some(sections.generation)
    }
}

/// Loads the configuration from the key-value service, or the newest one of several peers if the service fails, until
/// the feed is ready.
fn load_initial_configuration(gossip: &Gossip, fetcher: &ConfigFetcher, stopped: &Flag) {
    let feed = fetcher.exchange.feed();
    while !stopped.is_raised() && !feed.is_ready() {
        match feed.load() {
            Ok(_) => {}
            Err(error) => {
                tracing::warn!(%error, "cannot read the configuration; asking peers");
                fetch_from_peers(gossip, fetcher);
            }
        }
        if !feed.is_ready() {
            thread::sleep(FETCH_INTERVAL);
        }
    }
}

/// Fetches the configuration from up to [`MAX_STARTUP_PEERS`] random live peers.
fn fetch_from_peers(gossip: &Gossip, fetcher: &ConfigFetcher) {
    let members = gossip.members();
    let live: Vec<_> = members
        .members
        .iter()
        .filter(|member| member.status.state == MemberState::Alive)
        .collect();
    let first = usize::try_from(rand::random::<u32>()).unwrap_or(0) % live.len().max(1);
    for member in live
        .iter()
        .cycle()
        .skip(first)
        .take(MAX_STARTUP_PEERS.min(live.len()))
    {
        if let Some(generation) = fetcher.fetch(&member.profile) {
            let feed = fetcher.exchange.feed();
            feed.on_peer_generation(&member.profile.process_id, generation, live.len());
        }
    }
}
