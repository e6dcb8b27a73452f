//! Re-exports of the most commonly used types.

pub use crate::body_framing::BodyFraming;
pub use crate::code::Code;
pub use crate::config::{Configuration, Preset};
pub use crate::endpoint::{Endpoint, EndpointKind, EndpointState};
pub use crate::failure::Failure;
pub use crate::id::{
    ChangeId, DomainId, EndpointId, GenerationId, InstanceId, ModelId, PresetId, RequestId,
    ServiceId, TaskId, VersionId, WorkspaceId,
};
pub use crate::moment::Moment;
pub use crate::run_status::RunStatus;
pub use crate::secret::Secret;
