//! Tests of real processes: the complete request path with injected failures.

mod bad_input;
mod cold;
mod config;
mod config_size;
mod crashers;
mod cuts;
mod early_signals;
mod endpoint_list;
mod faulty_endpoints;
mod intents;
mod limits;
mod membership;
mod planned_stop;
mod raw;
mod slow_callers;
mod streams;
mod traces;
mod whole_path;
