//! Unit tests of the state tables and state machines.

mod body_end;
mod change_log;
mod cold_rights;
mod crash_log;
mod crash_suspects;
mod cut_off_peers;
mod endpoint_table;
mod event_splitter;
mod fleet_view;
mod forward_queue;
mod gossip;
mod heartbeat;
mod intent;
mod large_fleet;
mod membership;
mod only_version;
mod packing;
mod read_range;
mod registry;
mod rollouts;
mod seen_revisions;
mod sources;
mod stream_keepers;
mod stream_table;
mod transfers;
mod version_keeper;
