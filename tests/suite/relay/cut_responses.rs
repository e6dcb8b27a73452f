//! Responses without length or chunks whose endpoint crashes before their end.

use nutmeggrade_fakes::site::{Answer, Behaviour, RawClient, RoutingPlan, request};

use super::site::Site;
use crate::support::{run, until};

/// More than what is read before a response is passed on.
const LARGE_BYTES: usize = 400_000;

/// Requests a response in whose middle the first endpoint crashes. A second one, which joins only then,
/// would answer whole.
async fn answer_to(route: &str, bytes: usize) -> anyhow::Result<(Answer, usize)> {
    let site = Site::start(&RoutingPlan::default()).await?;
    let first = site.add_endpoint("desk", "e-1", Behaviour::CrashWithin(bytes)).await?;
    first.hold_ends(true);
    let mut client = RawClient::connect(site.client()).await?;
    client.send(&request(route, "a1", "key-1", "")).await?;
    until("the first endpoint runs the request", async || Ok(first.runs("a1") == 1)).await?;
    let second = site.add_endpoint("desk", "e-2", Behaviour::Answer).await?;
    first.hold_ends(false);
    let answer = client.answer().await?;
    Ok((answer, second.runs("a1")))
}

// Guards against the part of a response that a crash cut off, given out as a whole response.
#[test]
fn repeatable_request_is_sent_again() {
    run(async {
        let (answer, second_runs) = answer_to("read", 400).await?;
        assert_eq!((answer.status, answer.is_whole, second_runs), (200, true, 1));
        assert!(answer.message.body.ends_with(b"by e-2"));
        Ok(())
    });
}

// As above, where the request may not be sent again.
#[test]
fn unrepeatable_request_fails() {
    run(async {
        let (answer, second_runs) = answer_to("once", 400).await?;
        assert_eq!((answer.status, second_runs), (502, 0));
        Ok(())
    });
}

/// Requests a response of which a part has been passed on, and checks that the client sees that it was cut.
fn large_response_is_cut(route: &str) {
    run(async {
        let (answer, second_runs) = answer_to(route, LARGE_BYTES).await?;
        assert_eq!((answer.status, answer.is_whole, second_runs), (200, false, 0));
        Ok(())
    });
}

// As above, once the client has a part of the response.
cases! {large_response_is_cut {
    repeatable: "read";
    unrepeatable: "once";
}}
