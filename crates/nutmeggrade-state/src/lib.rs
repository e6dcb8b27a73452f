//! Tables and state machines of an instance: its view of the system and the rights it holds.
//!
//! This crate does no I/O and reads no clock: events and `now` go in, actions come out. The
//! instance runs the tables on its workers; a randomised test runs the tables of several instances
//! on one thread.

pub mod attempt;
pub mod audit_log;
pub mod body_end;
pub mod change_log;
pub mod claiming;
pub mod cold_load;
pub mod cold_rights;
pub mod config_table;
pub mod crash_log;
pub mod delivery;
pub mod endpoint_table;
pub mod event_splitter;
pub mod explain_log;
pub mod fence;
pub mod fleet_view;
pub mod forward_queue;
pub mod intent;
pub mod invariant;
pub mod membership;
pub mod only_version;
pub mod order_plan;
pub mod order_table;
pub mod orphans;
pub mod own_intents;
pub mod packing;
pub mod reach_table;
pub mod read_range;
pub mod recent_changes;
pub mod recent_map;
pub mod recorded_response;
pub mod registry;
pub mod rollout;
mod rotation;
pub mod running_answers;
pub mod seen_revisions;
pub mod settling;
pub mod stream_table;
pub mod suspects;
pub mod transfers;
pub mod version_keeper;
