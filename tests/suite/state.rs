//! Tables and state machines, each by itself.

mod cold_rights;
mod endpoint_table;
mod intent;
mod membership;
