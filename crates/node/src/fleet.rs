//! A process as a member of the fleet: membership, configuration, and what follows from their changes.

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

/// Longest time that a change waits until this process acts on it.
const CONTROL_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time between two reactions to changed members. The subsets of the whole fleet take 14 ms to compute at the
/// stated size, which would be a large part of a core while many members change.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a process that knows of a newer configuration asks for it again.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for the sections of a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Processes of each availability zone that watch the key-value service; the others learn from them.
const WATCHERS_PER_ZONE: usize = 3;

/// Peers that a starting process asks for their configuration when the key-value service gives none.
const START_PEERS: usize = 5;

/// What a process does when its view of the fleet changes.
pub trait FleetUser: Send + Sync + 'static {
    /// The members have changed.
    fn on_members(&self, members: &Snapshot);

    /// A new configuration is in force.
    fn on_configuration(&self, configuration: &ActiveConfiguration);

    /// The VM of a process is about to be taken away; the process may be this one.
    fn on_leaving(&self, leaving: &LeavingProcess);

    /// Another process spread an opaque item of another kind.
    fn on_item(&self, item: &Item);

    /// A process with the same id and a higher incarnation exists; this process has to stop.
    fn on_superseded(&self);
}

/// Settings of a member.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Data of this process.
    pub profile: Profile,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Gossip addresses of processes that may know the fleet.
    pub seeds: Vec<SocketAddr>,
    /// VM list of the platform, if it has one.
    pub vm_list: Option<VmListClient>,
    /// Options of links that fetch configuration.
    pub link_options: LinkOptions,
}

/// Membership of a process.
pub struct Fleet {
    gossip: Arc<Gossip>,
    stopped: Arc<Flag>,
    threads: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Joins the fleet.
    ///
    /// # Errors
    ///
    /// Fails when the gossip address cannot be bound or a thread cannot be started.
    pub fn join(
        settings: FleetSettings,
        exchange: Arc<ConfigExchange>,
        user: Arc<dyn FleetUser>,
    ) -> Result<Self, Report<StartError>> {
        let gossip = Arc::new(Gossip::start(Settings {
            profile: settings.profile,
            incarnation: settings.incarnation,
            fleet_key: settings.link_options.key.as_bytes().to_vec(),
            seeds: settings.seeds.clone(),
            params: Params::default(),
        })?);
        let stopped = Arc::new(Flag::default());
        let fetcher = Arc::new(Fetcher {
            exchange,
            options: settings.link_options,
        });
        let control = Control {
            events: gossip.subscribe(),
            gossip: Arc::clone(&gossip),
            fetcher: Arc::clone(&fetcher),
            user: Arc::clone(&user),
            stopped: Arc::clone(&stopped),
            seen_version: None,
            members_applied_at: None,
            applied: 0,
            is_watching: Arc::default(),
            ahead: None,
            fetched_at: None,
        };
        let starter = {
            let (gossip, stopped) = (Arc::clone(&gossip), Arc::clone(&stopped));
            move || start_configuration(&gossip, &fetcher, &stopped)
        };
        let is_watching = Arc::clone(&control.is_watching);
        let mut threads = vec![
            spawn("fleet-control", move || control.run())?,
            spawn("config-start", starter)?,
        ];
        if let Some(client) = settings.vm_list {
            let watch = VmWatch {
                client,
                gossip: Arc::clone(&gossip),
                seeds: settings.seeds,
                user,
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

    /// Returns the membership.
    #[must_use]
    pub fn gossip(&self) -> &Arc<Gossip> {
        &self.gossip
    }

    /// Announces that this process takes no new work.
    pub fn leave(&self) {
        self.gossip.leave();
    }

    /// Announces that this process has stopped, and ends its threads.
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

/// Reacts to changes of members and configuration.
struct Control {
    events: Receiver<Event>,
    gossip: Arc<Gossip>,
    fetcher: Arc<Fetcher>,
    user: Arc<dyn FleetUser>,
    stopped: Arc<Flag>,
    seen_version: Option<u64>,
    members_applied_at: Option<Instant>,
    applied: Generation,
    is_watching: Arc<AtomicBool>,
    /// Newest generation that a peer was seen to use, with the peer.
    ahead: Option<(Generation, Arc<Profile>)>,
    fetched_at: Option<Instant>,
}

impl Control {
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
                    .ahead
                    .as_ref()
                    .is_none_or(|(known, _)| *known <= generation)
                {
                    self.ahead = Some((generation, peer));
                }
            }
            Event::Item(item) => match LeavingProcess::from_item(&item) {
                Some(leaving) => self.user.on_leaving(&leaving),
                None => self.user.on_item(&item),
            },
            Event::Superseded { incarnation } => {
                tracing::error!(incarnation, "a newer process has the same id; stopping");
                self.user.on_superseded();
            }
            Event::Joined(member) | Event::Changed(member) => log_member(&member),
            Event::Removed(profile) => {
                tracing::info!(process_id = profile.process_id, "forgot a dead member");
            }
        }
    }

    fn apply_configuration(&mut self) {
        let generation = self.fetcher.exchange.refresh();
        if generation > self.applied {
            self.applied = generation;
            self.user
                .on_configuration(&self.fetcher.exchange.feed().current());
            self.gossip.set_generation(generation);
            tracing::info!(generation, "configuration is in force");
        }
    }

    fn apply_members(&mut self) {
        let members = self.gossip.members();
        let too_soon = self
            .members_applied_at
            .is_some_and(|at| at.elapsed() < MEMBERS_INTERVAL);
        if self.seen_version == Some(members.version) || too_soon {
            return;
        }
        self.members_applied_at = Some(Instant::now());
        self.seen_version = Some(members.version);
        self.user.on_members(&members);
        let is_watching = is_watcher(&members);
        if is_watching != self.is_watching.swap(is_watching, Ordering::Relaxed)
            && let Err(error) = self.fetcher.exchange.feed().set_watching(is_watching)
        {
            tracing::error!(%error, "cannot start to watch the configuration");
        }
    }

    fn fetch_if_behind(&mut self) {
        let Some((generation, peer)) = &self.ahead else {
            return;
        };
        if *generation <= self.applied {
            self.ahead = None;
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

/// Returns a member as the assignment of subsets sees it.
pub(crate) fn participant(member: &Member) -> Participant<'_> {
    Participant {
        process_id: &member.profile.process_id,
        availability_zone: &member.profile.availability_zone,
    }
}

/// Fetches configuration from peers.
struct Fetcher {
    exchange: Arc<ConfigExchange>,
    options: LinkOptions,
}

/// Passes the sections that a peer sends to the waiting fetch.
struct FetchHandler(Sender<tanagerford_link::message::ConfigSections>);

impl LinkHandler for FetchHandler {
    fn on_frame(&self, _: &Link, frame: Frame) {
        if let Some(frame::Body::ConfigSections(sections)) = frame.body {
            let _ = self.0.try_send(sections);
        }
    }

    fn on_lost(&self, _: &Link) {}
}

impl Fetcher {
    /// Takes the changed sections of a peer and returns the generation that the peer uses.
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
        self.exchange.request(&link);
        let sections = sections.recv_timeout(FETCH_TIMEOUT).ok();
        link.close();
        let sections = sections?;
        if sections.generation > 0 {
            self.exchange.accept(&peer.process_id, &sections);
        }
        Some(sections.generation)
    }
}

/// Reads the configuration from the key-value service, or the newest of several peers when the service gives none.
fn start_configuration(gossip: &Gossip, fetcher: &Fetcher, stopped: &Flag) {
    let feed = fetcher.exchange.feed();
    while !stopped.is_raised() && !feed.is_ready() {
        match feed.load() {
            Ok(_) => {}
            Err(error) => {
                tracing::warn!(%error, "cannot read the configuration; asking peers");
                ask_peers(gossip, fetcher);
            }
        }
        if !feed.is_ready() {
            thread::sleep(FETCH_INTERVAL);
        }
    }
}

fn ask_peers(gossip: &Gossip, fetcher: &Fetcher) {
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
        .take(START_PEERS.min(live.len()))
    {
        if let Some(generation) = fetcher.fetch(&member.profile) {
            let feed = fetcher.exchange.feed();
            feed.on_peer(&member.profile.process_id, generation, live.len());
        }
    }
}
