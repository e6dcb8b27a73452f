//! What is wrong with a preset.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::code::Code;

/// One mistake in a preset: its place, its numbered code and what is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The numbered code.
    pub code: Code,
    /// Path of keys, or file, line and column where the text can't be read.
    pub place: String,
    /// What is wrong.
    pub detail: String,
}

impl Problem {
    /// Makes a problem at a place.
    pub fn new(code: Code, place: &str, detail: &str) -> Self {
        Self { code, place: place.to_owned(), detail: detail.to_owned() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.code, self.place, self.detail)
    }
}

/// Every mistake that was found in one preset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("; "))
    }
}

impl std::error::Error for Problems {}
