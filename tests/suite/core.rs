//! Ids, event ids, envelopes, presets and settings.

mod envelope;
mod event_id;
mod fleet_beacon;
mod order;
mod preset;
mod rollouts;
mod settings;
