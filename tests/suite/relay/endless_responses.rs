//! Responses of endpoints that never end.

use std::time::Duration;

use nutmeggrade_fakes::site::{Behaviour, RoutingPlan};
use tokio::time::Instant;

use super::ask;
use super::site::Site;
use crate::support::{run, until};

/// Time within which such a response is given up; the client would wait for 20 s.
const LIMIT: Duration = Duration::from_secs(5);

/// Checks that a response that begins so and goes on with `part` without end is given up, and that its
/// connection is closed.
fn is_given_up(beginning: &'static str, part: &'static str) {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let behaviour = Behaviour::Endless { beginning, part };
        let endpoint = site.add_endpoint("desk", "e-1", behaviour).await?;
        let asked_at = Instant::now();
        let answer = ask(&site, "once", "a1").await?;
        assert_eq!(answer.status, 502);
        until("the connection is closed", async || Ok(endpoint.open() == 0)).await?;
        let elapsed = asked_at.elapsed();
        assert!(elapsed <= LIMIT, "given up after {elapsed:?}");
        Ok(())
    });
}

const CHUNKED: &str = "HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against instances that read bytes which belong to no response until the request's time is
// over: hundreds of megabytes a second for each connection.
cases! {is_given_up {
    interim_responses: "", "HTTP/1.1 100 -\r\n\r\n";
    status_line: "HTTP/1.1 200 ", "ok ok ok ok ";
    header_line: "HTTP/1.1 200 -\r\nX-Long: ", "long ";
    header_lines: "HTTP/1.1 200 -\r\n", "X-Line: 1\r\n";
    size_of_a_chunk: CHUNKED, "00000000";
    extension_of_a_chunk: "HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x";
    trailers: "HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Line: 1\r\n";
    null_bytes: "", "\0\0\0\0";
}}
