//! A request that crashes each engine that runs it.

use std::time::Duration;

use nutmeggrade_fakes::fleet::{Fleet, Plan, StreamOutput};
use rstest::rstest;
use tokio::time::sleep;

use crate::support::{fleet, run};

const TASK: &str = "district-sort";
const ENGINES: usize = 4;
/// Time until a crashed engine is back.
const RESTART: Duration = Duration::from_millis(700);

fn plan() -> Plan {
    Plan::default().with_nodes(3).with_engines(ENGINES).with_flag("beacon", "100")
}

async fn crashes(fleet: &Fleet) -> anyhow::Result<u64> {
    let mut sum = 0;
    for n in 0..ENGINES {
        sum += fleet.log(&format!("engine-{n}")).await?["crashes"].as_u64().unwrap_or(0);
    }
    Ok(sum)
}

async fn send_prompt(
    fleet: &Fleet,
    workspace: &str,
    n: usize,
    prompt: &str,
) -> anyhow::Result<StreamOutput> {
    let mut received = StreamOutput::default();
    let caller = fleet.caller(workspace);
    caller.read_stream(caller.entry(n), TASK, prompt, &mut received, None).await?;
    Ok(received)
}

// A request crashes every engine that runs it, and its client repeats it at one instance after the
// other. The fleet loses two engines at most; the client is told at once that the request is
// refused for good, and other clients are served.
#[rstest]
fn resent_crasher_costs_two_engines() {
    run(async {
        let guard = fleet(&plan()).await?;
        for n in 0..6 {
            let received = send_prompt(&guard.fleet, "staatsbos", n, "a crash=now").await?;
            let failure = received.failure.unwrap_or_default();
            assert_eq!(failure["code"], 3004, "{failure}");
            sleep(RESTART).await;
        }
        assert_eq!(crashes(&guard.fleet).await?, 2);
        let received = send_prompt(&guard.fleet, "rival", 1, "a len=10").await?;
        assert!(received.is_whole(), "{received:?}");
        Ok(())
    });
}

// Requests that wait for their first token on the same engine as the crashing request lose their
// engine with it. They are served elsewhere and not refused, neither then nor when they are
// repeated.
#[rstest]
fn neighbours_are_not_refused() {
    run(async {
        let guard = fleet(&plan()).await?;
        let fleet = &guard.fleet;
        let crasher = send_prompt(fleet, "staatsbos", 0, "a crash=now");
        let prompts: Vec<String> = (0..8).map(|n| format!("neighbour {n} len=20")).collect();
        let other_requests =
            prompts.iter().enumerate().map(|(n, p)| send_prompt(fleet, "rival", n, p));
        let (crashed, served) = futures::join!(crasher, futures::future::join_all(other_requests));
        assert_eq!(crashed?.failure.unwrap_or_default()["code"], 3004);
        for received in served {
            let received = received?;
            let code = received.failure.as_ref().map(|f| f["code"].clone());
            assert_ne!(code, Some(3004.into()), "{received:?}");
            assert!(received.in_order());
        }
        assert_eq!(crashes(fleet).await?, 2);
        sleep(RESTART).await;
        for (n, prompt) in prompts.iter().enumerate() {
            let received = send_prompt(fleet, "rival", n, prompt).await?;
            assert!(received.is_whole(), "{prompt}: {received:?}");
        }
        Ok(())
    });
}
