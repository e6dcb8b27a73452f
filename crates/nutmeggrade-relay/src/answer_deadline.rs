//! The deadline of a response.

use nutmeggrade_core::prelude::*;

/// Until when a client waits for a response; an extension of the response.
#[derive(Debug, Clone, Copy)]
pub struct AnswerDeadline(pub Moment);
