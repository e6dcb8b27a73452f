//! References to models, versions and adapters that an engine can load.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::{AdapterId, ModelId, ParseIdError, VersionId};

/// Error for a text that is not of the form `MODEL[@VERSION][+ADAPTER]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseModelRefError {
    text: String,
    source: ParseIdError,
}

impl fmt::Display for ParseModelRefError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not MODEL[@VERSION][+ADAPTER]: {}", self.text, self.source)
    }
}

impl std::error::Error for ParseModelRefError {}

/// Reference to a model, a version of it, or an adapter for it.
///
/// Written as `MODEL[@VERSION][+ADAPTER]`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ModelRef {
    /// The model.
    pub model: ModelId,
    /// The version; the engine's default if absent.
    pub version: Option<VersionId>,
    /// The adapter; the base model alone if absent.
    pub adapter: Option<AdapterId>,
}

impl ModelRef {
    /// Parses `MODEL[@VERSION][+ADAPTER]`.
    pub fn parse(text: &str) -> Result<Self, ParseModelRefError> {
        let to_error = |source| ParseModelRefError { text: text.to_owned(), source };
        let (rest, adapter) = match text.split_once('+') {
            Some((rest, name)) => (rest, Some(AdapterId::new(name).map_err(to_error)?)),
            None => (text, None),
        };
        let (model, version) = match rest.split_once('@') {
            Some((model, name)) => (model, Some(VersionId::new(name).map_err(to_error)?)),
            None => (rest, None),
        };
        let model = ModelId::new(model).map_err(to_error)?;
        Ok(Self { model, version, adapter })
    }
}

impl fmt::Display for ModelRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.model)?;
        if let Some(version) = &self.version {
            write!(f, "@{version}")?;
        }
        if let Some(adapter) = &self.adapter {
            write!(f, "+{adapter}")?;
        }
        Ok(())
    }
}

impl TryFrom<String> for ModelRef {
    type Error = ParseModelRefError;

    fn try_from(text: String) -> Result<Self, ParseModelRefError> {
        Self::parse(&text)
    }
}

impl From<ModelRef> for String {
    fn from(reference: ModelRef) -> Self {
        reference.to_string()
    }
}
