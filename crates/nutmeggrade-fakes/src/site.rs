//! Stand-ins of a deployment's platform: its store, its endpoints and its clients.
//!
//! They speak the platform's own messages, so that an instance that serves routes can be tested as
//! it runs. Endpoints have switches for what real ones do wrong.

mod behaviour;
mod door;
mod endpoint;
mod generation;
mod message;
mod raw_client;
mod routing;
mod seen;
mod store;

pub use behaviour::Behaviour;
pub use door::{Door, Fault};
pub use endpoint::Endpoint;
pub use generation::Generations;
pub use message::{Answer, Message};
pub use raw_client::{RawClient, request};
pub use routing::{Entry, RoutingPlan};
pub use seen::Seen;
pub use store::Store;
