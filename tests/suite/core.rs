//! Ids, event ids, envelopes, presets and settings.

mod envelope;
mod event_id;
mod order;
mod preset;
mod settings;
