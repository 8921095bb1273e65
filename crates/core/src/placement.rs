//! Placement of models on backend servers: planner lease and engine orders with fencing.
