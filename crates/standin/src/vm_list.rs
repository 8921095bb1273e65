//! Stand-in for the platform's list of VMs, which lags behind.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use tanagerford_kv::vm_list::{Vm, VmListAnswer};
use tanagerford_sync::lock;

use crate::kv::listener::{Listener, Reply};

/// VM list on a loopback port picked by the system; it ends when it is dropped.
#[derive(Debug)]
pub struct VmListStandin {
    listener: Listener,
    state: Arc<Mutex<State>>,
}

/// Lists in the order of their times; the newest one older than the lag is shown, else the first.
#[derive(Debug)]
struct State {
    lag: Duration,
    lists: Vec<(Instant, Vec<Vm>)>,
}

impl VmListStandin {
    /// Starts a list that shows each change `lag` after it was made.
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
            lists: vec![(Instant::now(), vms)],
        };
        let state = Arc::new(Mutex::new(state));
        let answering = Arc::clone(&state);
        let listener = Listener::start(move |exchange| {
            if exchange.method != Method::GET || exchange.path != "/v1/vms" {
                return Reply::Whole(StatusCode::NOT_FOUND, Vec::new());
            }
            let vms = lock(&answering).visible();
            Reply::json(StatusCode::OK, &VmListAnswer { vms })
        })?;
        Ok(Self { listener, state })
    }

    /// Returns the base address of the list.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.listener.address())
    }

    /// Changes the VMs; the list shows them after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        lock(&self.state).lists.push((Instant::now(), vms));
    }

    /// Changes the lag, also for changes that were made before.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }
}

impl State {
    fn visible(&self) -> Vec<Vm> {
        let is_visible = |at: &Instant| at.elapsed() >= self.lag;
        let newest = self.lists.iter().rev().find(|(at, _)| is_visible(at));
        newest
            .or(self.lists.first())
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }
}
