//! What simulated endpoints ask of their callers, and whom they told.

use std::time::Duration;

use tokio::time::Instant;

/// Time after a response that asks something of an instance until the instance must keep to it.
pub const NOTICE_TIME: Duration = Duration::from_millis(500);

/// A response that asked something of the caller.
#[derive(Debug, Clone, PartialEq)]
pub struct NoticedResponse {
    /// The client's attempt id.
    pub id: String,
    /// When it was sent.
    pub at: Instant,
    /// The rate limit that it stated.
    pub limit: Option<f64>,
    /// How long it asked the instance to wait, if it rejected the request.
    pub backoff: Option<Duration>,
    /// Whether it stated that the endpoint leaves.
    pub leaving: bool,
}

/// What an endpoint asks of its callers in its responses, with a record of those responses.
#[derive(Debug, Clone, Default)]
pub struct Notices {
    limit_changes: Vec<(Instant, Option<f64>)>,
    backoff: Option<Duration>,
    leaving: bool,
    pace: Option<String>,
    load: Option<(u32, u32, u32)>,
    responses: Vec<NoticedResponse>,
    status_checks: Vec<Instant>,
}

impl Notices {
    /// Sets the rate limit that responses state from now on, in requests per second.
    pub fn set_limit(&mut self, limit: Option<f64>) {
        self.limit_changes.push((Instant::now(), limit));
    }

    /// Sets the time to wait that rejections state from now on.
    pub fn set_backoff(&mut self, backoff: Option<Duration>) {
        self.backoff = backoff;
    }

    /// Sets whether responses state from now on that the endpoint leaves.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Sets the fourth figure of the load that responses state from now on; without one they state no
    /// load.
    pub fn set_pace(&mut self, pace: &str) {
        self.pace = Some(pace.to_owned());
    }

    /// Sets the running requests, waiting requests and slots that responses state from now on.
    pub fn set_load(&mut self, load: Option<(u32, u32, u32)>) {
        self.load = load;
    }

    /// Returns the rate limits so far, each with the moment from which on it was stated.
    pub fn limit_changes(&self) -> &[(Instant, Option<f64>)] {
        &self.limit_changes
    }

    /// Returns the responses to requests that asked something of the caller.
    pub fn responses(&self) -> &[NoticedResponse] {
        &self.responses
    }

    /// Returns when status checks arrived, which carry no attempt id.
    pub fn status_checks(&self) -> &[Instant] {
        &self.status_checks
    }

    /// Records a status check.
    pub fn add_status_check(&mut self) {
        self.status_checks.push(Instant::now());
    }

    /// Returns the headers of a response to the request with this id, and records the response.
    pub fn headers(&mut self, id: &str) -> String {
        self.headers_with(id, None)
    }

    /// Returns the headers of a rejection of the request with this id, and records the response.
    pub fn rejection_headers(&mut self, id: &str) -> String {
        self.headers_with(id, self.backoff)
    }

    fn headers_with(&mut self, id: &str, backoff: Option<Duration>) -> String {
        let limit = self.limit_changes.last().and_then(|(_, limit)| *limit);
        let leaving = self.leaving;
        if limit.is_some() || backoff.is_some() || leaving {
            let (id, at) = (id.to_owned(), Instant::now());
            self.responses.push(NoticedResponse { id, at, limit, backoff, leaving });
        }
        let limit = limit.map(|l| format!("Server-Limit: {l}\r\n"));
        let backoff = backoff.map(|b| format!("Retry-After: {}\r\n", b.as_secs_f64()));
        let leaving = leaving.then(|| "Server-Leaving: 1\r\n".to_owned());
        let load =
            self.load.map(|(running, waiting, slots)| format!("{running},{waiting},{slots}"));
        let pace = self.pace.as_ref().map(|pace| format!("1,0,8,{pace}"));
        let load = load.or(pace).map(|load| format!("X-Nutmeggrade-Server-Load: {load}\r\n"));
        limit.into_iter().chain(backoff).chain(leaving).chain(load).collect()
    }
}
