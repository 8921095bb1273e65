//! Threads for blocking work, reused while work keeps coming.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, Sender};

type Job = Box<dyn FnOnce() + Send>;

/// Time after which an idle thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs jobs on threads; starts a thread when none is idle, so that a job never waits for another one.
#[derive(Clone)]
pub struct Workers {
    queue: Sender<Job>,
    queued: Receiver<Job>,
    /// Threads that wait for a job and are not yet promised one.
    idle: Arc<AtomicUsize>,
}

impl Default for Workers {
    fn default() -> Self {
        let (queue, queued) = channel::unbounded();
        Self {
            queue,
            queued,
            idle: Arc::default(),
        }
    }
}

impl Workers {
    /// Runs a job on an idle thread or on a new one.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_node::workers::Workers;
    ///
    /// let (sender, receiver) = std::sync::mpsc::channel();
    /// Workers::default().run(move || sender.send(1).unwrap());
    /// assert_eq!(receiver.recv(), Ok(1));
    /// ```
    pub fn run(&self, job: impl FnOnce() + Send + 'static) {
        if take_one(&self.idle) {
            let _ = self.queue.send(Box::new(job));
            return;
        }
        let workers = self.clone();
        let spawned = thread::Builder::new()
            .name("worker".to_owned())
            .spawn(move || {
                job();
                workers.work();
            });
        if let Err(error) = spawned {
            tracing::error!(%error, "cannot start a worker thread");
        }
    }

    fn work(&self) {
        loop {
            self.idle.fetch_add(1, Ordering::AcqRel);
            match self.queued.recv_timeout(IDLE_TIMEOUT) {
                Ok(job) => job(),
                Err(_) if take_one(&self.idle) => return,
                // A job was promised to this thread between the timeout and the check.
                Err(_) => {
                    if let Ok(job) = self.queued.recv() {
                        job();
                    }
                }
            }
        }
    }
}

fn take_one(idle: &AtomicUsize) -> bool {
    idle.fetch_update(Ordering::AcqRel, Ordering::Acquire, |count| {
        count.checked_sub(1)
    })
    .is_ok()
}
