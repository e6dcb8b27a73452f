//! Sources of settings.

use std::fmt;

/// Source of a setting's value; a flag overrides a variable, a variable overrides the default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Given on the command line.
    Flag,
    /// Taken from the environment.
    Variable,
    /// Read from the file that a variable names.
    File,
    /// The default.
    Default,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Flag => "flag",
            Self::Variable => "variable",
            Self::File => "file",
            Self::Default => "default",
        };
        f.write_str(text)
    }
}
