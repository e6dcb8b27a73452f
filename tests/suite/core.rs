//! Ids, event ids, envelopes and settings.

mod envelope;
mod event_id;
mod settings;
