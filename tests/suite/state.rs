//! The tables and state machines, one at a time.

mod intent;
