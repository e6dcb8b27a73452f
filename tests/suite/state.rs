//! Unit tests of the state tables and state machines.

mod cold_rights;
mod crash_log;
mod endpoint_table;
mod fleet_view;
mod forward_queue;
mod heartbeat;
mod gossip;
mod intent;
mod large_fleet;
mod membership;
mod read_range;
mod registry;
mod rollouts;
mod sources;
