//! Ids, event ids, envelopes, presets and settings.

mod envelope;
mod event_id;
mod preset;
mod settings;
