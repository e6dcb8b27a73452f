//! Identifiers shared between processes.

mod generation_id;
mod name;

pub use generation_id::GenerationId;
pub use name::{
    AdapterId, BadName, ChangeId, DomainId, EndpointId, InstanceId, ModelId, PresetId, RequestId,
    ServiceId, TaskId, VersionId, WorkspaceId,
};
