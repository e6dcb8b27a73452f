//! What the headers of a request say about its caller.

use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use nutmeggrade_core::prelude::*;

/// Header that names the workspace.
pub const WORKSPACE: &str = "nutmeggrade-workspace";
/// Header that names the task class.
pub const TASK: &str = "nutmeggrade-task";
/// Header that gives the time left until the deadline, in milliseconds.
pub const DEADLINE: &str = "nutmeggrade-deadline-ms";
/// Header that names the request in logs.
pub const REQUEST: &str = "nutmeggrade-request";

/// Longest deadline that is accepted.
const MAX_DEADLINE: Duration = Duration::from_hours(6);

/// Who asks, for what, and until when.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The request's id, given or drawn.
    pub request: RequestId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The task class.
    pub task: TaskId,
    /// When the answer is worth nothing any more.
    pub deadline: Moment,
}

impl Caller {
    /// Reads the headers; `usual` is the deadline of a request that names none.
    pub fn read(
        headers: &HeaderMap,
        task: &TaskId,
        usual: Duration,
        now: Moment,
    ) -> Result<Self, Failure> {
        Ok(Self {
            request: request(headers)?,
            workspace: workspace(headers)?,
            task: task.clone(),
            deadline: now.after(deadline(headers)?.unwrap_or(usual)),
        })
    }
}

/// Reads the workspace header.
pub fn workspace(headers: &HeaderMap) -> Result<WorkspaceId, Failure> {
    let Some(text) = text(headers, WORKSPACE) else {
        let detail = format!("header {WORKSPACE} is missing");
        return Err(Failure::new(Code::BadWorkspace, &detail));
    };
    WorkspaceId::new(text).map_err(|e| Failure::new(Code::BadWorkspace, &e.to_string()))
}

/// Returns a header's text, if it is present and readable.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(|v| v.to_str().unwrap_or(""))
}

/// Reads the request's id; [`name`] has put one where the caller gave none.
pub fn request(headers: &HeaderMap) -> Result<RequestId, Failure> {
    let given = text(headers, REQUEST).unwrap_or("");
    RequestId::new(given).map_err(|e| Failure::new(Code::BadHeader, &format!("{REQUEST}: {e}")))
}

/// Draws an id for a request that has none, so that logs and the answer name the same one.
pub fn name(headers: &mut HeaderMap) {
    if headers.contains_key(REQUEST) {
        return;
    }
    let drawn = GenerationId::new(rand::random()).to_string();
    if let Ok(value) = HeaderValue::from_str(&drawn) {
        headers.insert(REQUEST, value);
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Failure> {
    let Some(text) = text(headers, DEADLINE) else { return Ok(None) };
    let bad = |why: &str| Err(Failure::new(Code::BadDeadline, &format!("{DEADLINE}: {why}")));
    let Ok(ms) = text.parse::<i64>() else { return bad("not a whole number of milliseconds") };
    let Ok(ms @ 1..) = u64::try_from(ms) else { return bad("already past") };
    let left = Duration::from_millis(ms);
    if left > MAX_DEADLINE { bad("more than six hours") } else { Ok(Some(left)) }
}
