//! Identifiers shared between processes.

mod generation_id;
mod name;

pub use generation_id::GenerationId;
pub use name::{
    AdapterId, ChangeId, DomainId, EndpointId, InstanceId, ModelId, ParseIdError, PresetId,
    RequestId, ServiceId, TaskId, VersionId, WorkspaceId,
};
