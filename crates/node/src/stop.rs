//! Signal that asks a process to stop gracefully.

use std::time::Duration;

use crossbeam::channel::{self, Receiver, Sender};

/// Asks for a graceful stop; clones refer to the same signal.
#[derive(Debug, Clone)]
pub struct StopSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for StopSignal {
    fn default() -> Self {
        let (sender, receiver) = channel::bounded(1);
        Self { sender, receiver }
    }
}

impl StopSignal {
    /// Asks for the stop. Further calls change nothing.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_node::stop::StopSignal;
    ///
    /// let stop = StopSignal::default();
    /// stop.raise();
    /// assert!(stop.wait(Duration::ZERO));
    /// ```
    pub fn raise(&self) {
        let _ = self.sender.try_send(());
    }

    /// Waits for the stop; returns false when `timeout` passes before.
    #[must_use]
    pub fn wait(&self, timeout: Duration) -> bool {
        let raised = self.receiver.recv_timeout(timeout).is_ok();
        if raised {
            self.raise();
        }
        raised
    }
}
