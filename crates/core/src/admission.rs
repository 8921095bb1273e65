//! Admission of model requests at the sidecar: queueing, start, preemption and load shedding by tier.
