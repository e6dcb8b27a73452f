//! Real processes: the whole path, and failures brought about on it.

mod bad_input;
mod crashers;
mod intents;
mod streams;
mod whole_path;
