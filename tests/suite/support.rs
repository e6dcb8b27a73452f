//! What the tests share.

use nutmeggrade_fakes::fleet::{Fleet, Plan};
use tokio::runtime::Runtime;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{Duration, Instant, sleep};

/// Fleets of processes that run at a time; more would starve each other of processor time.
const FLEETS: usize = 3;
const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);

static SLOTS: Semaphore = Semaphore::const_new(FLEETS);

/// Names each case of a check: a module with one test a case.
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

/// Waits until a condition holds, for far longer than it takes on a busy machine.
pub async fn until<C>(what: &str, mut holds: C) -> anyhow::Result<()>
where
    C: AsyncFnMut() -> anyhow::Result<bool>,
{
    let start = Instant::now();
    while !holds().await? {
        anyhow::ensure!(start.elapsed() < PATIENCE, "never: {what}");
        sleep(POLL).await;
    }
    Ok(())
}

/// A fleet with its place among those that may run at a time.
#[derive(Debug)]
pub struct Held {
    pub fleet: Fleet,
    _slot: SemaphorePermit<'static>,
}

/// Starts a fleet once there is room for it.
pub async fn fleet(plan: &Plan) -> anyhow::Result<Held> {
    let slot = SLOTS.acquire().await?;
    let fleet = Fleet::start(plan).await?;
    Ok(Held { fleet, _slot: slot })
}
