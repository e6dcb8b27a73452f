//! Real processes: the whole path, and failures brought about on it.

mod bad_input;
mod intents;
mod whole_path;
