//! Checked text ids: 1 to 128 characters out of `a-z A-Z 0-9 . _ -`.
//!
//! The narrow alphabet keeps ids safe in platform keys, HTTP headers, log lines and metric labels
//! without escaping.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Longest id that is accepted, in bytes.
pub const MAX_LEN: usize = 128;

/// Says that a text is not a usable id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadName {
    text: String,
}

impl fmt::Display for BadName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "id {:?} must be 1 to {MAX_LEN} of a-z A-Z 0-9 . _ -", self.text)
    }
}

impl std::error::Error for BadName {}

fn check(text: &str) -> Result<(), BadName> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    if text.is_empty() || text.len() > MAX_LEN || !text.bytes().all(allowed) {
        let text = text.chars().take(MAX_LEN).collect();
        return Err(BadName { text });
    }
    Ok(())
}

macro_rules! name_id {
    ($(#[$doc:meta] $name:ident),* $(,)?) => {$(
        #[$doc]
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Checks `text` and wraps it.
            pub fn new(text: &str) -> Result<Self, BadName> {
                check(text)?;
                Ok(Self(text.to_owned()))
            }

            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl TryFrom<String> for $name {
            type Error = BadName;

            fn try_from(text: String) -> Result<Self, BadName> {
                check(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    )*};
}

name_id!(
    /// Names an adapter of a model.
    AdapterId,
    /// Names one accepted change of the configuration; made by the operator's command.
    ChangeId,
    /// Names a failure domain.
    DomainId,
    /// Names an endpoint: a model engine or a plain service.
    EndpointId,
    /// Names an instance of the system itself.
    InstanceId,
    /// Names a model that engines serve.
    ModelId,
    /// Names a preset.
    PresetId,
    /// Names one request of a caller for logs and `explain`.
    RequestId,
    /// Names a plain service; several endpoints may serve it.
    ServiceId,
    /// Names a task class, such as drafting or sorting.
    TaskId,
    /// Names a version of a model, or of the software of endpoints.
    VersionId,
    /// Names a workspace.
    WorkspaceId,
);
