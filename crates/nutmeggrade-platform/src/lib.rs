//! Client side of the platform's object API, and the one-connection HTTP call it rests on.
//!
//! [`Platform`] is the seam: the node and the operators' command work against the trait, and
//! [`HttpPlatform`] speaks to the real service. [`call`] opens one connection for one request, so
//! that a failure says exactly whether a byte of the request was handed to the transport.

mod budget;
mod call;
mod config_retention;
mod http_platform;
mod newest_config;
mod platform;
mod platform_error;
mod traffic;

pub use budget::Budget;
pub use call::{CallError, body_bytes, call, call_if, json_body};
pub use config_retention::{WHOLE_VERSIONS, thin_out};
pub use http_platform::{HttpPlatform, WATCH_LIMIT};
pub use newest_config::{CONFIG_HEAD, ConfigHead, NewestConfig, newest_config, raise_head};
pub use platform::Platform;
pub use platform_error::PlatformError;
pub use traffic::Traffic;
