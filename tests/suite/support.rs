//! What the tests share.

use nutmeggrade_fakes::fleet::{Fleet, Plan};
use tokio::runtime::Runtime;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Fleets of processes that run at a time; more would starve each other of processor time.
const FLEETS: usize = 3;

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
