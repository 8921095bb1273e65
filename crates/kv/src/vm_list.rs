//! Client of the platform's VM list. The list lags behind, so it only adds seeds and hints to the membership that
//! processes learn through gossip.

use std::fmt;
use std::net::IpAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};
use tanagerford_core::ids::ZoneId;
use ureq::Agent;

use crate::http;

/// A longer list is refused as malformed.
const MAX_VMS: usize = 20_000;

/// State of a VM in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The platform is about to remove the VM.
    Leaving,
}

/// Entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Address without a port: the list does not say which processes run on the VM.
    pub address: IpAddr,
    /// Availability zone that the platform placed the VM in.
    pub availability_zone: ZoneId,
    /// May be out of date, since the list lags behind.
    pub state: VmState,
}

/// Response body of the service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VmListAnswer {
    /// All VMs, in no particular order.
    pub vms: Vec<Vm>,
}

/// Reason why the list could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmListError {
    /// No complete response arrived before the timeout.
    Unreachable,
    /// The service responded with a status other than 200.
    Refused,
    /// The response body is not valid, or the list is too long.
    Malformed,
}

impl fmt::Display for VmListError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Unreachable => "VM list service did not respond in time",
            Self::Refused => "VM list service responded with an error",
            Self::Malformed => "VM list service returned a malformed list",
        })
    }
}

impl std::error::Error for VmListError {}

/// Blocking client of the VM list.
#[derive(Debug, Clone)]
pub struct VmListClient {
    agent: Agent,
    url: String,
}

impl VmListClient {
    /// Creates a client of the service at `endpoint`, for example `http://10.0.0.6:8080`.
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

    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Fails if the service gives no valid response within `timeout`.
    pub fn list(&self, timeout: Duration) -> Result<Vec<Vm>, Report<VmListError>> {
        let response = http::get(&self.agent, &self.url, timeout);
        let response = response.map_err(|_| Report::new(VmListError::Unreachable))?;
        if response.status != 200 {
            return Err(Report::new(VmListError::Refused).attach(response.status));
        }
        decode(&response.body)
    }
}

/// Decodes a response body of the service.
///
/// # Errors
///
/// Fails if `text` is not a JSON list of VMs or has more than 20,000 entries.
///
/// ```
/// use tanagerford_kv::vm_list::{VmState, decode};
///
/// let text = br#"{"vms": [{"address": "10.0.0.1", "availability_zone": "a", "state": "leaving"}]}"#;
/// assert_eq!(decode(text).unwrap()[0].state, VmState::Leaving);
/// ```
pub fn decode(text: &[u8]) -> Result<Vec<Vm>, Report<VmListError>> {
    let response: VmListAnswer =
        serde_json::from_slice(text).change_context(VmListError::Malformed)?;
    if response.vms.len() > MAX_VMS {
        return Err(Report::new(VmListError::Malformed).attach(response.vms.len()));
    }
    Ok(response.vms)
}
