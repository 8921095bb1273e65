//! Request for a graceful stop of a process.

use std::time::Duration;

use crossbeam::channel::{self, Receiver, Sender};

/// Signal that requests a graceful stop. Clones share its state.
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
    /// Requests the stop. Further calls have no effect.
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

    /// Waits until the stop is requested. Returns false if `timeout` passes first.
    #[must_use]
    pub fn wait(&self, timeout: Duration) -> bool {
        let raised = self.receiver.recv_timeout(timeout).is_ok();
        if raised {
            self.raise();
        }
        raised
    }
}
