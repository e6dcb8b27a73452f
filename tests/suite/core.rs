//! Event ids, message envelopes, heartbeats, orders, presets, rollouts and settings.

mod envelope;
mod event_id;
mod fleet_beacon;
mod order;
mod platform_client;
mod preset;
mod rollouts;
mod settings;
mod waiting_report;
