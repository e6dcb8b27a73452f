//! Authenticated ids of stream events.

use serde::{Deserialize, Serialize};

use crate::id::{EndpointId, GenerationId, WorkspaceId};

const TAG_LEN: usize = 32;
/// Follows the offset of an answer's last token.
const LAST: &str = ".";

/// The place in a generation that an event id names.
///
/// A caller that lost its connection hands the id of its last event to any instance, which then
/// knows the engine, the generation and the next token without a shared table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventId {
    /// The engine that runs the generation.
    pub endpoint: EndpointId,
    /// The generation.
    pub generation: GenerationId,
    /// Offset of the event's token.
    pub offset: u64,
    /// Whether the token was the last of the answer.
    pub last: bool,
}

impl EventId {
    /// Names a token that is not the last.
    pub const fn new(endpoint: EndpointId, generation: GenerationId, offset: u64) -> Self {
        Self { endpoint, generation, offset, last: false }
    }

    /// Says whether the token was the last of the answer.
    ///
    /// A caller whose connection broke between the last token and the end of the stream resumes after
    /// the last token. No engine can tell that apart from a lost answer; the id can.
    #[must_use]
    pub const fn with_last(mut self, last: bool) -> Self {
        self.last = last;
        self
    }

    /// Writes the id as text with a tag that binds it to the workspace.
    ///
    /// Without the tag a caller could read another workspace's answer by guessing or copying ids;
    /// one would notice answers in logs under the wrong workspace. The tag is keyed with a secret
    /// of the instances, so an id verifies only for the workspace it was made for.
    pub fn seal(&self, workspace: &WorkspaceId, key: &[u8; 32]) -> String {
        let mark = if self.last { LAST } else { "" };
        let place = format!("{}{mark}~{}~{}", self.offset, self.generation, self.endpoint);
        let tag = tag(&place, workspace, key);
        format!("{place}~{tag}")
    }

    /// Reads an id written by [`EventId::seal`]; `None` if forged, damaged or of another workspace.
    pub fn open(text: &str, workspace: &WorkspaceId, key: &[u8; 32]) -> Option<Self> {
        let (place, found) = text.rsplit_once('~')?;
        if !same(&tag(place, workspace, key), found) {
            return None;
        }
        let mut parts = place.splitn(3, '~');
        let offset = parts.next()?;
        let last = offset.ends_with(LAST);
        let offset = offset.trim_end_matches(LAST).parse().ok()?;
        let generation = GenerationId::parse(parts.next()?)?;
        let endpoint = EndpointId::new(parts.next()?).ok()?;
        Some(Self { endpoint, generation, offset, last })
    }
}

fn tag(place: &str, workspace: &WorkspaceId, key: &[u8; 32]) -> String {
    let text = format!("{workspace}~{place}");
    let hash = blake3::keyed_hash(key, text.as_bytes());
    hash.to_hex()[..TAG_LEN].to_owned()
}

fn same(made: &str, found: &str) -> bool {
    blake3::hash(made.as_bytes()) == blake3::hash(found.as_bytes())
}
