//! List of the platform's VMs. It lags, so it only adds seeds and hints to what processes learn from each other.

use std::fmt;
use std::net::IpAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};
use tanagerford_core::ids::ZoneId;
use ureq::Agent;

use crate::http;

/// Most VMs of a list; a longer list is refused as malformed.
pub const MAX_VMS: usize = 20_000;

/// State of a VM according to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be taken away.
    Leaving,
}

/// VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// IP address.
    pub address: IpAddr,
    /// Availability zone.
    pub availability_zone: ZoneId,
    /// State.
    pub state: VmState,
}

/// Answer of the list's service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VmListAnswer {
    /// VMs in no particular order.
    pub vms: Vec<Vm>,
}

/// Why the list could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmListError {
    /// The service gave no answer in time.
    Unreachable,
    /// The service answered with an error.
    Refused,
    /// The answer is malformed.
    Malformed,
}

impl fmt::Display for VmListError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Unreachable => "VM list did not answer in time",
            Self::Refused => "VM list answered with an error",
            Self::Malformed => "VM list gave a malformed answer",
        })
    }
}

impl std::error::Error for VmListError {}

/// Client of the VM list.
#[derive(Debug, Clone)]
pub struct VmListClient {
    agent: Agent,
    url: String,
}

impl VmListClient {
    /// Creates a client of the list at `endpoint`, for example `http://10.0.0.6:8080`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_kv::vm_list::{VmListClient, VmListError};
    ///
    /// // Nothing listens on port 1 of the loopback address.
    /// let client = VmListClient::new("http://127.0.0.1:1");
    /// let error = client.list(Duration::from_secs(1)).unwrap_err();
    /// assert_eq!(*error.current_context(), VmListError::Unreachable);
    /// ```
    #[must_use]
    pub fn new(endpoint: &str) -> Self {
        Self {
            agent: http::agent(),
            url: format!("{}/v1/vms", endpoint.trim_end_matches('/')),
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails if the service gives no valid answer within `timeout`.
    pub fn list(&self, timeout: Duration) -> Result<Vec<Vm>, Report<VmListError>> {
        let answer = http::get(&self.agent, &self.url, timeout);
        let answer = answer.map_err(|_| Report::new(VmListError::Unreachable))?;
        if answer.status != 200 {
            return Err(Report::new(VmListError::Refused).attach(answer.status));
        }
        decode(&answer.body)
    }
}

/// Decodes an answer of the list's service.
///
/// # Errors
///
/// Fails if it is not the JSON of a list or has more than [`MAX_VMS`] entries.
///
/// ```
/// use tanagerford_kv::vm_list::{VmState, decode};
///
/// let text = br#"{"vms": [{"address": "10.0.0.1", "availability_zone": "a", "state": "leaving"}]}"#;
/// assert_eq!(decode(text).unwrap()[0].state, VmState::Leaving);
/// ```
pub fn decode(text: &[u8]) -> Result<Vec<Vm>, Report<VmListError>> {
    let answer: VmListAnswer =
        serde_json::from_slice(text).change_context(VmListError::Malformed)?;
    if answer.vms.len() > MAX_VMS {
        return Err(Report::new(VmListError::Malformed).attach(answer.vms.len()));
    }
    Ok(answer.vms)
}
