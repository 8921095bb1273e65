//! Thread pool without a size limit for blocking jobs.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, Sender};

type Job = Box<dyn FnOnce() + Send>;

/// Time without a job after which a thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs each job on an idle thread or on a new one, so that no job waits for another. Clones share the threads.
#[derive(Clone)]
pub struct Workers {
    sender: Sender<Job>,
    receiver: Receiver<Job>,
    /// Number of threads that wait for a job, without those that are reserved for a queued job.
    idle: Arc<AtomicUsize>,
}

impl Default for Workers {
    fn default() -> Self {
        let (sender, receiver) = channel::unbounded();
        Self {
            sender,
            receiver,
            idle: Arc::default(),
        }
    }
}

impl Workers {
    /// Runs a job on an idle thread or on a new one. If the system refuses a new thread, the job is dropped and an
    /// error is logged.
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
        if reserve_thread(&self.idle) {
            let _ = self.sender.send(Box::new(job));
            return;
        }
        let workers = self.clone();
        let spawned = thread::Builder::new()
            .name("worker".to_owned())
            .spawn(move || {
                job();
                workers.run_queued_jobs();
            });
        if let Err(error) = spawned {
            tracing::error!(%error, "cannot start a worker thread");
        }
    }

    fn run_queued_jobs(&self) {
        loop {
            self.idle.fetch_add(1, Ordering::AcqRel);
            match self.receiver.recv_timeout(IDLE_TIMEOUT) {
                Ok(job) => job(),
                Err(_) if reserve_thread(&self.idle) => return,
                // A job reserved this thread after the timeout.
                Err(_) => {
                    if let Ok(job) = self.receiver.recv() {
                        job();
                    }
                }
            }
        }
    }
}

/// Decrements the number of idle threads; returns false if it is 0.
fn reserve_thread(idle: &AtomicUsize) -> bool {
    idle.fetch_update(Ordering::AcqRel, Ordering::Acquire, |count| {
        count.checked_sub(1)
    })
    .is_ok()
}
