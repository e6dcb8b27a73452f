//! Stand-ins for a deployment's platform: its store, its endpoints and its clients.
//!
//! They use the platform's own protocols, so that a complete instance can be tested over the network.
//! Endpoints and store listeners can be set to fail in the ways that real ones do.

mod backoff_check;
mod behaviour;
mod endpoint;
mod event_writer;
mod generation;
mod holds;
mod leaving_check;
mod limit_check;
mod message;
mod notices;
mod raw_client;
mod raw_texts;
mod received_request;
mod routing;
mod store;
mod store_listener;
mod stream_end;
mod vanishing;

pub use backoff_check::find_backoff_violation;
pub use behaviour::Behaviour;
pub use endpoint::Endpoint;
pub use generation::Generations;
pub use holds::{HoldBehaviour, Holds};
pub use leaving_check::find_leaving_violation;
pub use limit_check::find_limit_violation;
pub use message::{Answer, Message};
pub use notices::{NoticedResponse, Notices};
pub use raw_client::{RawClient, request, request_with_body};
pub use raw_texts::RawPart;
pub use received_request::ReceivedRequest;
pub use routing::{Entry, RoutingPlan};
pub use store::Store;
pub use store_listener::{Fault, StoreListener};
pub use stream_end::StreamEnd;
