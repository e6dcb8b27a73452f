//! Ids of prompt parts for logs.

use std::fmt;

use super::PromptPart;

/// Maximum number of ids that are shown.
const MAX_SHOWN: usize = 16;

/// Shows the ids of prompt parts as clients state them, separated by commas.
#[derive(Debug, Clone, Copy)]
pub struct PartIds<'a>(pub &'a [PromptPart]);

impl fmt::Display for PartIds<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("-");
        }
        for (n, part) in self.0.iter().take(MAX_SHOWN).enumerate() {
            let separator = if n == 0 { "" } else { "," };
            write!(f, "{separator}{:x}", part.id)?;
        }
        if self.0.len() > MAX_SHOWN { f.write_str(",...") } else { Ok(()) }
    }
}
