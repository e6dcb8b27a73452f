//! Validation problems of presets.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::code::Code;

/// A validation problem in a preset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The numbered result code.
    pub code: Code,
    /// Path of keys, or file, line and column if the text can't be parsed.
    pub place: String,
    /// Description of the problem.
    pub detail: String,
}

impl Problem {
    /// Creates a problem at a place.
    pub fn new(code: Code, place: &str, detail: &str) -> Self {
        Self { code, place: place.to_owned(), detail: detail.to_owned() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.code, self.place, self.detail)
    }
}

/// All problems found in one preset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("; "))
    }
}

impl std::error::Error for Problems {}
