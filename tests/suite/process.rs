//! Real processes: the whole path, and failures brought about on it.

mod bad_input;
mod cold;
mod cuts;
mod limits;
mod planned_stop;
mod raw;
mod traces;
mod whole_path;
