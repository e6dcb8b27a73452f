//! Reads the caller's identity and deadline from request headers.

use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use nutmeggrade_core::prelude::*;

/// Header with the workspace.
pub const WORKSPACE_HEADER: &str = "nutmeggrade-workspace";
/// Header with the task class.
pub const TASK_HEADER: &str = "nutmeggrade-task";
/// Header with the time until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "nutmeggrade-deadline-ms";
/// Header with the request id.
pub const REQUEST_HEADER: &str = "nutmeggrade-request";

/// Maximum accepted deadline.
const MAX_DEADLINE: Duration = Duration::from_hours(6);

/// Identity and deadline of a request.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Request id, set by the caller or generated.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Task class of the request.
    pub task: TaskId,
    /// Time after which the response is useless.
    pub deadline: Moment,
}

impl Caller {
    /// Reads the headers; `default_deadline` applies to a request that sets none.
    pub fn read(
        headers: &HeaderMap,
        task: &TaskId,
        default_deadline: Duration,
        now: Moment,
    ) -> Result<Self, Failure> {
        Ok(Self {
            request: request(headers)?,
            workspace: workspace(headers)?,
            task: task.clone(),
            deadline: now.after(deadline(headers)?.unwrap_or(default_deadline)),
        })
    }
}

/// Reads the workspace header.
pub fn workspace(headers: &HeaderMap) -> Result<WorkspaceId, Failure> {
    let Some(text) = header_text(headers, WORKSPACE_HEADER) else {
        let detail = format!("header {WORKSPACE_HEADER} is missing");
        return Err(Failure::new(Code::BadWorkspace, &detail));
    };
    WorkspaceId::new(text).map_err(|e| Failure::new(Code::BadWorkspace, &e.to_string()))
}

/// Returns a header's text: `None` if it is absent, empty if it is not readable as text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(|v| v.to_str().unwrap_or(""))
}

/// Reads the request id; [`ensure_request_id`] sets one if the caller has not.
pub fn request(headers: &HeaderMap) -> Result<RequestId, Failure> {
    let id = header_text(headers, REQUEST_HEADER).unwrap_or("");
    RequestId::new(id).map_err(|e| Failure::new(Code::BadHeader, &format!("{REQUEST_HEADER}: {e}")))
}

/// Generates an id for a request that has none, so that logs and the response have the same one.
pub fn ensure_request_id(headers: &mut HeaderMap) {
    if headers.contains_key(REQUEST_HEADER) {
        return;
    }
    let generated = GenerationId::new(rand::random()).to_string();
    if let Ok(value) = HeaderValue::from_str(&generated) {
        headers.insert(REQUEST_HEADER, value);
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Failure> {
    let Some(text) = header_text(headers, DEADLINE_HEADER) else { return Ok(None) };
    let reject = |reason: &str| {
        Err(Failure::new(Code::BadDeadline, &format!("{DEADLINE_HEADER}: {reason}")))
    };
    let Ok(ms) = text.parse::<i64>() else { return reject("not a whole number of milliseconds") };
    let Ok(ms @ 1..) = u64::try_from(ms) else { return reject("already past") };
    let remaining = Duration::from_millis(ms);
    if remaining > MAX_DEADLINE { reject("more than six hours") } else { Ok(Some(remaining)) }
}
