//! Routing configuration: routes, services, workspace keys and endpoints.

mod api_keys;
mod call_limits;
mod endpoint_info;
mod engine_spec;
mod event_position;
mod part_ids;
mod placed_load;
mod prompt;
mod rate_limit;
mod route;
mod route_kind;
mod route_map;
mod service_spec;
mod workspace_key;

pub use api_keys::ApiKeys;
pub use call_limits::CallLimits;
pub use endpoint_info::EndpointInfo;
pub use engine_spec::EngineSpec;
pub use event_position::EventPosition;
pub use part_ids::PartIds;
pub use placed_load::PlacedLoad;
pub use prompt::{Prompt, PromptPart};
pub use rate_limit::RateLimit;
pub use route::{Route, Split};
pub use route_kind::RouteKind;
pub use route_map::{Access, RouteMap};
pub use service_spec::ServiceSpec;
pub use workspace_key::WorkspaceKey;
