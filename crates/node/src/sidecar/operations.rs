//! What a sidecar offers to its operators.

use std::sync::Arc;

use serde_json::{Value, json};
use tanagerford_operator::listener::Operated;

use crate::stop::StopSignal;

use super::state::SidecarState;

/// Operators' view of a sidecar.
pub(crate) struct SidecarOperations {
    pub(crate) state: Arc<SidecarState>,
    pub(crate) stop: StopSignal,
}

impl Operated for SidecarOperations {
    fn state(&self) -> Value {
        let state = &self.state;
        json!({
            "role": "sidecar",
            "process_id": state.identity.process_id,
            "incarnation": state.identity.incarnation,
            "availability_zone": state.identity.availability_zone,
            "draining": state.is_leaving(),
            "in_flight": state.in_flight(),
            "links": state.open_links(),
        })
    }

    fn metrics(&self) -> String {
        self.state.metrics.encode()
    }

    fn is_ready(&self) -> bool {
        !self.state.is_leaving()
    }

    fn drain(&self) {
        self.stop.raise();
    }
}
