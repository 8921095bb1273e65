//! Stand-in for the platform's list of VMs, which shows changes after a delay.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use tanagerford_kv::vm_list::{Vm, VmListAnswer};
use tanagerford_sync::lock;

use crate::kv::listener::{Listener, Reply};

/// VM list on a loopback port picked by the operating system. Dropping it closes the port and all connections.
#[derive(Debug)]
pub struct VmListStandin {
    listener: Listener,
    state: Arc<Mutex<State>>,
}

/// Versions of the list with the time of their change, oldest first.
#[derive(Debug)]
struct State {
    lag: Duration,
    versions: Vec<(Instant, Vec<Vm>)>,
}

impl VmListStandin {
    /// Starts a list that shows `vms` at once and each later change after `lag`.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be opened.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_kv::vm_list::VmListClient;
    /// use tanagerford_standin::vm_list::VmListStandin;
    ///
    /// let standin = VmListStandin::start(vec![], Duration::ZERO).unwrap();
    /// let client = VmListClient::new(&standin.url());
    /// assert_eq!(client.list(Duration::from_secs(10)).unwrap(), []);
    /// ```
    pub fn start(vms: Vec<Vm>, lag: Duration) -> io::Result<Self> {
        let state = State {
            lag,
            versions: vec![(Instant::now(), vms)],
        };
        let state = Arc::new(Mutex::new(state));
        let handler_state = Arc::clone(&state);
        let listener = Listener::start(move |request| {
            if request.method != Method::GET || request.path != "/v1/vms" {
                return Reply::Full(StatusCode::NOT_FOUND, Vec::new());
            }
            let vms = lock(&handler_state).visible_vms();
            Reply::json(StatusCode::OK, &VmListAnswer { vms })
        })?;
        Ok(Self { listener, state })
    }

    /// Returns the base URL for a `VmListClient`.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.listener.address())
    }

    /// Replaces the VMs; the list shows them after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        lock(&self.state).versions.push((Instant::now(), vms));
    }

    /// Sets the lag for all changes, including earlier ones.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }
}

impl State {
    /// Returns the newest version older than the lag, or the first one if there is none.
    fn visible_vms(&self) -> Vec<Vm> {
        let is_visible = |at: &Instant| at.elapsed() >= self.lag;
        let newest = self.versions.iter().rev().find(|(at, _)| is_visible(at));
        newest
            .or(self.versions.first())
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }
}
