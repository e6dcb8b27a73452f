//! Endpoints that are sound and send nothing for a while.

use std::time::Duration;

use nutmeggrade_fakes::site::{Behaviour, RawClient, RoutingPlan, request};

use super::PROMPT_HEADERS;
use super::site::Site;
use crate::support::{run, until};

/// Longer than the silence after which a request may be sent to another endpoint.
const SILENCE: Duration = Duration::from_millis(2_500);

const LATE: Behaviour = Behaviour::LateStream { delay: SILENCE, events: 5 };
const SLOW: Behaviour = Behaviour::Slow(SILENCE);

/// Prompt of a request that is too long for an instance which is about to end.
const LONG_PROMPT: &str = "X-Nutmeggrade-Model-Name: m\r\nX-Nutmeggrade-Token-Count: 100,4000\r\n";

/// A plan in which a request may be sent again after 1 to 1.5 s.
fn plan() -> RoutingPlan {
    RoutingPlan { target_ms: 1_000, timeout_ms: 4_500, ..RoutingPlan::default() }
}

/// Asks an instance whose only endpoint is silent for a while.
fn gets_the_late_answer(route: &'static str, service: &'static str, silent: Behaviour) {
    run(async {
        let site = Site::start(&plan()).await?;
        let endpoint = site.add_endpoint(service, "e-1", silent).await?;
        let answer = RawClient::ask(site.client(), route, "a1", PROMPT_HEADERS).await?;
        assert_eq!(answer.status, 200);
        assert!(answer.is_whole);
        assert_eq!(endpoint.runs("a1"), 1);
        Ok(())
    });
}

// Guards against requests that are given up at a silent endpoint though no other one can take them.
cases! {gets_the_late_answer {
    stream: "sort", "writers", LATE;
    call: "read", "desk", SLOW;
}}

// Guards against requests that a stopping instance takes away from a silent endpoint and refuses to
// send again.
#[test]
fn stop_leaves_request_at_silent_endpoint() {
    run(async {
        let site = Site::start(&plan()).await?;
        let silent = site.add_endpoint("writers", "e-1", LATE).await?;
        let mut client = RawClient::connect(site.client()).await?;
        client.send(&request("sort", "a1", "key-1", LONG_PROMPT)).await?;
        until("the request waits at the engine", async || Ok(silent.runs("a1") == 1)).await?;
        let other = Behaviour::Stream { events: 5, pause: Duration::ZERO };
        let other = site.add_endpoint("writers", "e-2", other).await?;
        let Site { instance, .. } = site;
        let stopping = tokio::spawn(instance.stop());
        let answer = client.answer().await?;
        assert_eq!(answer.status, 200);
        assert!(answer.is_whole);
        assert_eq!((silent.runs("a1"), other.runs("a1")), (1, 0));
        stopping.await?;
        Ok(())
    });
}
