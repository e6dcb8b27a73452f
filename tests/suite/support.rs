//! Helpers shared by the tests.

use nutmeggrade_fakes::fleet::{Fleet, Plan};
use tokio::runtime::Runtime;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{Duration, Instant, sleep};

/// Fleets of processes that may run concurrently; more would starve each other of processor time.
const MAX_FLEETS: usize = 3;
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

static SLOTS: Semaphore = Semaphore::const_new(MAX_FLEETS);

/// Defines a module for a check, with one test for each case.
macro_rules! cases {
    ($check:ident { $($name:ident: $($arg:expr),+;)+ }) => {
        mod $check {
            #[allow(unused_imports, reason = "some cases need only literals")]
            use super::*;
            $(
                #[rstest::rstest]
                fn $name() {
                    super::$check($($arg),+);
                }
            )+
        }
    };
}

/// Runs an asynchronous test.
pub fn run<F: Future<Output = anyhow::Result<()>>>(test: F) {
    let runtime = Runtime::new().expect("start a runtime");
    if let Err(error) = runtime.block_on(test) {
        panic!("{error:#}");
    }
}

/// Waits until a condition holds; the timeout allows for a busy machine.
pub async fn until<C>(what: &str, mut holds: C) -> anyhow::Result<()>
where
    C: AsyncFnMut() -> anyhow::Result<bool>,
{
    let start = Instant::now();
    while !holds().await? {
        anyhow::ensure!(start.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// A fleet that holds one of the slots for concurrent fleets.
#[derive(Debug)]
pub struct RunningFleet {
    pub fleet: Fleet,
    _slot: SemaphorePermit<'static>,
}

/// Starts a fleet once a slot is free.
pub async fn fleet(plan: &Plan) -> anyhow::Result<RunningFleet> {
    let slot = SLOTS.acquire().await?;
    let fleet = Fleet::start(plan).await?;
    Ok(RunningFleet { fleet, _slot: slot })
}
