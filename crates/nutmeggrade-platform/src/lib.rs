//! Client of the platform's object API, and the single-request HTTP call that it uses.
//!
//! Instances and the operators' command use the [`Platform`] trait; [`HttpPlatform`] implements it
//! for the real service. [`call`] opens a new connection for each request, so that a failure shows
//! whether any byte of the request was passed to the transport.

mod backlog;
mod bounded_socket;
mod call;
mod call_counters;
mod call_timeouts;
mod config_retention;
mod exchange;
mod http_platform;
mod json_scanner;
mod limited_stream;
mod list_decoding;
mod newest_config;
mod platform;
mod platform_error;
mod response_body;
mod traffic;
mod transfer_error;
mod transmission;
mod watched_stream;

pub use backlog::Backlog;
pub use bounded_socket::connect_bounded;
pub use call::{CallError, body_bytes, call, call_if, json_body, transfer_bytes};
pub use call_counters::CallCounters;
pub use call_timeouts::CallTimeouts;
pub use config_retention::{VERSIONS_WITH_PRESETS, strip_old_presets};
pub use exchange::{ConnectionTask, Exchange, READ_AHEAD_BYTES, ResponseError};
pub use http_platform::{HttpPlatform, MAX_WATCH_CHANGES};
pub use json_scanner::{JsonScanner, Malformed, json_member};
pub use newest_config::{
    CONFIG_HEAD, ConfigHead, NewestConfig, advance_config_head, newest_config,
};
pub use platform::Platform;
pub use platform_error::PlatformError;
pub use response_body::ResponseBody;
pub use traffic::Traffic;
pub use transfer_error::TransferError;
pub use transmission::Transmission;
pub use watched_stream::WatchedStream;
