//! Exchange of configuration between processes over their links.
//!
//! Every frame carries the generation that its sender uses. A process that receives a newer one requests the changed
//! sections on the same link.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tanagerford_core::generation::Comparison;
use tanagerford_core::ids::Generation;
use tanagerford_link::Link;
use tanagerford_link::message::{ConfigRequest, ConfigSections, Frame, frame};
use tanagerford_sync::lock;

use crate::config_feed::{ConfigFeed, message};
use crate::workers::Workers;

/// Minimum interval between requests. Many frames announce a new generation at the same time, and it is fetched once.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Exchanges configuration sections with peers over all links of a process.
pub struct ConfigExchange {
    feed: Arc<ConfigFeed>,
    /// Generation that outgoing frames carry.
    generation: Arc<AtomicU64>,
    requested_at: Mutex<Option<Instant>>,
    workers: Workers,
}

impl ConfigExchange {
    /// Creates an exchange that serves sections from `feed` and applies received sections to it.
    #[must_use]
    pub fn new(feed: Arc<ConfigFeed>) -> Arc<Self> {
        let generation = Arc::new(AtomicU64::new(feed.generation()));
        Arc::new(Self {
            feed,
            generation,
            requested_at: Mutex::default(),
            workers: Workers::default(),
        })
    }

    #[must_use]
    pub fn feed(&self) -> &Arc<ConfigFeed> {
        &self.feed
    }

    /// Returns the shared generation that outgoing frames carry, for [`LinkOptions`](tanagerford_link::LinkOptions).
    #[must_use]
    pub fn generation(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.generation)
    }

    /// Sets the generation that outgoing frames carry to the one in force, and returns it.
    pub fn refresh_generation(&self) -> Generation {
        let generation = self.feed.generation();
        self.generation.store(generation, Ordering::Relaxed);
        generation
    }

    /// Handles the generation and the configuration messages of a frame. Returns the body of any other message.
    pub fn on_frame(self: &Arc<Self>, link: &Link, frame: Frame) -> Option<frame::Body> {
        if frame.generation > self.generation.load(Ordering::Relaxed) {
            self.on_newer_generation(link, frame.generation);
        }
        match frame.body? {
            frame::Body::ConfigRequest(request) => {
                self.send_sections(link, &request);
                None
            }
            frame::Body::ConfigSections(sections) => {
                let exchange = Arc::clone(self);
                let peer = link.peer().process_id.clone();
                // Indexing a large configuration takes milliseconds and would delay the frames of the link.
                self.workers.run(move || exchange.accept(&peer, &sections));
                None
            }
            body => Some(body),
        }
    }

    /// Requests the sections that changed after the generation in force from the peer of `link`, or all sections after
    /// a divergence.
    pub fn request_sections(&self, link: &Link) {
        let request = ConfigRequest {
            query_id: 0,
            have_generation: self.feed.fetch_base(),
        };
        let _ = link.send(frame::Body::ConfigRequest(request));
    }

    /// Applies sections that a peer sent.
    pub fn accept(&self, peer: &str, sections: &ConfigSections) {
        let accepted = message::decode(sections)
            .map_err(|error| error.to_string())
            .and_then(|update| self.feed.accept(&update).map_err(|error| error.to_string()));
        match accepted {
            Ok(_) => {
                let generation = self.refresh_generation();
                tracing::info!(
                    peer,
                    generation,
                    "applied configuration sections from a peer"
                );
            }
            Err(error) => tracing::warn!(peer, error, "peer sent invalid configuration sections"),
        }
    }

    fn on_newer_generation(&self, link: &Link, generation: Generation) {
        if self.feed.on_message(generation) != Comparison::SenderIsNewer {
            self.refresh_generation();
            return;
        }
        let mut requested_at = lock(&self.requested_at);
        if requested_at.is_some_and(|at| at.elapsed() < MIN_REQUEST_INTERVAL) {
            return;
        }
        *requested_at = Some(Instant::now());
        drop(requested_at);
        self.request_sections(link);
    }

    fn send_sections(&self, link: &Link, request: &ConfigRequest) {
        let sections = match self.feed.sections_since(request.have_generation) {
            Some(update) => message::encode(request.query_id, &update),
            // Generation 0 means that this process has no configuration.
            None => ConfigSections {
                query_id: request.query_id,
                ..ConfigSections::default()
            },
        };
        let _ = link.send(frame::Body::ConfigSections(sections));
    }
}
