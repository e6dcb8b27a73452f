//! A request that crashes each engine that runs it.

use std::time::Duration;

use nutmeggrade_fakes::fleet::{Fleet, Plan, StreamOutput};
use rstest::rstest;
use tokio::time::sleep;

use crate::support::{fleet, run};

const TASK: &str = "district-sort";
const ENGINES: usize = 4;
/// Time for a crashed engine to come back.
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

async fn ask(
    fleet: &Fleet,
    workspace: &str,
    n: usize,
    prompt: &str,
) -> anyhow::Result<StreamOutput> {
    let mut heard = StreamOutput::default();
    let caller = fleet.caller(workspace);
    caller.read_stream(caller.entry(n), TASK, prompt, &mut heard, None).await?;
    Ok(heard)
}

// A request takes down every engine that reads it, and its caller sends it again at one instance
// after the other. The fleet loses two engines and no more; the caller is told at once that it is
// refused for good, while others are served.
#[rstest]
fn resent_crasher_costs_two_engines() {
    run(async {
        let held = fleet(&plan()).await?;
        for n in 0..6 {
            let heard = ask(&held.fleet, "staatsbos", n, "a crash=now").await?;
            let failure = heard.failure.unwrap_or_default();
            assert_eq!(failure["code"], 3004, "{failure}");
            sleep(RESTART).await;
        }
        assert_eq!(crashes(&held.fleet).await?, 2);
        let heard = ask(&held.fleet, "rival", 1, "a len=10").await?;
        assert!(heard.is_whole(), "{heard:?}");
        Ok(())
    });
}

// Requests that wait for their first token beside the crasher lose their engine with it. They are
// served elsewhere and nobody refuses them, now or when they are sent again.
#[rstest]
fn neighbours_are_not_condemned() {
    run(async {
        let held = fleet(&plan()).await?;
        let fleet = &held.fleet;
        let crasher = ask(fleet, "staatsbos", 0, "a crash=now");
        let prompts: Vec<String> = (0..8).map(|n| format!("neighbour {n} len=20")).collect();
        let beside = prompts.iter().enumerate().map(|(n, p)| ask(fleet, "rival", n, p));
        let (crashed, served) = futures::join!(crasher, futures::future::join_all(beside));
        assert_eq!(crashed?.failure.unwrap_or_default()["code"], 3004);
        for heard in served {
            let heard = heard?;
            let code = heard.failure.as_ref().map(|f| f["code"].clone());
            assert_ne!(code, Some(3004.into()), "{heard:?}");
            assert!(heard.in_order());
        }
        assert_eq!(crashes(fleet).await?, 2);
        sleep(RESTART).await;
        for (n, prompt) in prompts.iter().enumerate() {
            let heard = ask(fleet, "rival", n, prompt).await?;
            assert!(heard.is_whole(), "{prompt}: {heard:?}");
        }
        Ok(())
    });
}
