//! Authenticated ids of stream events.

use serde::{Deserialize, Serialize};

use crate::id::{EndpointId, GenerationId, WorkspaceId};

const TAG_HEX_DIGITS: usize = 32;
/// Suffix of the offset if the token is the response's last.
const LAST_TOKEN_SUFFIX: &str = ".";

/// The position in a generation that an event id stands for.
///
/// A caller that lost its connection sends the id of its last event to any instance, which reads
/// the engine, the generation and the next token from it without a shared table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventId {
    /// The engine that runs the generation.
    pub endpoint: EndpointId,
    /// The generation.
    pub generation: GenerationId,
    /// Offset of the event's token.
    pub offset: u64,
    /// Whether the token was the last of the response.
    pub last: bool,
}

impl EventId {
    /// Creates the id of a token that is not the last.
    pub const fn new(endpoint: EndpointId, generation: GenerationId, offset: u64) -> Self {
        Self { endpoint, generation, offset, last: false }
    }

    /// Sets whether the token was the last of the response.
    ///
    /// A caller whose connection broke between the last token and the end of the stream resumes
    /// after the last token. An engine can't distinguish this from a lost response; the id does.
    #[must_use]
    pub const fn with_last(mut self, last: bool) -> Self {
        self.last = last;
        self
    }

    /// Encodes the id as text with an authentication tag that binds it to the workspace.
    ///
    /// Without the tag a caller could read another workspace's response by guessing or copying ids;
    /// it would show as responses logged under the wrong workspace. The tag is keyed with a secret
    /// shared by the instances, so an id is valid only for the workspace that it was created for.
    pub fn seal(&self, workspace: &WorkspaceId, key: &[u8; 32]) -> String {
        let suffix = if self.last { LAST_TOKEN_SUFFIX } else { "" };
        let payload = format!("{}{suffix}~{}~{}", self.offset, self.generation, self.endpoint);
        let tag = tag(&payload, workspace, key);
        format!("{payload}~{tag}")
    }

    /// Decodes an id from [`EventId::seal`]; `None` if forged, damaged or from another workspace.
    pub fn open(text: &str, workspace: &WorkspaceId, key: &[u8; 32]) -> Option<Self> {
        let (payload, claimed) = text.rsplit_once('~')?;
        if !tags_equal(&tag(payload, workspace, key), claimed) {
            return None;
        }
        let mut parts = payload.splitn(3, '~');
        let offset = parts.next()?;
        let last = offset.ends_with(LAST_TOKEN_SUFFIX);
        let offset = offset.trim_end_matches(LAST_TOKEN_SUFFIX).parse().ok()?;
        let generation = GenerationId::parse(parts.next()?)?;
        let endpoint = EndpointId::new(parts.next()?).ok()?;
        Some(Self { endpoint, generation, offset, last })
    }
}

fn tag(payload: &str, workspace: &WorkspaceId, key: &[u8; 32]) -> String {
    let message = format!("{workspace}~{payload}");
    let hash = blake3::keyed_hash(key, message.as_bytes());
    hash.to_hex()[..TAG_HEX_DIGITS].to_owned()
}

fn tags_equal(expected: &str, claimed: &str) -> bool {
    blake3::hash(expected.as_bytes()) == blake3::hash(claimed.as_bytes())
}
