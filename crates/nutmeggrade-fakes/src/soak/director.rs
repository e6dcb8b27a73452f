//! Runs a soak.

use std::sync::Arc;
use std::time::Duration;

use futures::future::{join_all, try_join_all};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::sleep;

use super::act::{self, Act};
use super::clients::Client;
use super::instances::Instances;
use super::judge::{Verdict, judge};
use super::ledger::{Cause, Ledger};
use super::lives::Lives;
use super::operator::Operator;
use super::plan::Plan;
use crate::site::Store;

/// Time after the last fault in which everything has to be as before.
const RECOVERY: Duration = Duration::from_secs(20);
/// Time for which clients go on after the last fault.
const CALM: Duration = Duration::from_secs(3);
/// Time for which nothing is said of an instance after the store forgot its history.
const FORGOTTEN: Duration = Duration::from_millis(500);

struct World {
    store: Store,
    lives: Lives,
    operator: Operator,
    instances: Arc<Instances>,
    ledger: Arc<Ledger>,
}

/// Runs a soak with what its seed draws, and judges what was seen.
pub async fn run(plan: &Plan) -> anyhow::Result<Verdict> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    play(plan, &act::draw(plan, &mut rng)).await
}

/// Shows one thing of each kind that operators do and engines meet: an engine leaves, the configuration
/// changes, an instance is stopped as planned, another one is killed, a failure domain is out.
pub async fn show(plan: &Plan) -> anyhow::Result<Verdict> {
    let second = Duration::from_secs;
    let acts = [
        (second(1), Act::Drain(0, second(4))),
        (second(2), Act::Change),
        (second(3), Act::Stop(0)),
        (second(6), Act::Kill(1, second(1))),
        (second(8), Act::Out(2, second(2))),
    ];
    play(plan, &acts).await
}

async fn play(plan: &Plan, acts: &[(Duration, Act)]) -> anyhow::Result<Verdict> {
    let store = Store::new();
    let ledger = Arc::new(Ledger::new());
    let operator = Operator::start(&store, &ledger);
    let lives = Lives::start(&store, plan.engines, plan.services).await?;
    let instances = Arc::new(Instances::start(&store, plan.instances, plan.seed).await?);
    let world = World { store, lives, operator, instances, ledger };
    let (stop, stopped) = watch::channel(false);
    let clients = (0..plan.clients).map(|n| {
        let client = Client::new(n, plan.seed, &world.instances, &world.ledger);
        tokio::spawn(client.run(stopped.clone()))
    });
    let clients: Vec<_> = clients.collect();
    try_join_all(acts.iter().map(|(at, act)| world.perform(*at, *act))).await?;
    sleep(CALM).await;
    stop.send_replace(true);
    for client in join_all(clients).await {
        client?;
    }
    world.check_recovery(plan).await?;
    world.instances.stop_all(&world.ledger).await?;
    world.check_idle().await;
    let acts = acts.iter().map(|(at, act)| format!("{:>6} ms {act:?}", at.as_millis())).collect();
    judge(plan, &world.ledger, &world.lives.all(), world.instances.log(), acts)
}

impl World {
    async fn perform(&self, at: Duration, act: Act) -> anyhow::Result<()> {
        sleep(at).await;
        let (instances, ledger) = (&self.instances, self.ledger.as_ref());
        match act {
            Act::Kill(n, down) => instances.kill(n, down, ledger).await?,
            Act::Pause(n, time) => instances.pause(n, time, ledger).await?,
            Act::Stop(n) => instances.stop(n, ledger).await?,
            Act::Reload(n, is_told) => instances.reload(n, is_told, ledger).await?,
            Act::Store(only, fault, time) => instances.fail_store(only, fault, time, ledger).await,
            Act::Forget => {
                for n in 0..instances.count() {
                    ledger.trouble(n, Cause::Store, FORGOTTEN);
                }
                self.store.forget();
            }
            Act::Link(slot, link, time) => self.lives.fail_link(slot, link, time).await,
            Act::Misbehave(slot, behaviour, time) => {
                self.lives.misbehave(slot, behaviour, time).await;
            }
            Act::Drain(slot, stay) => self.lives.leave(slot, true, stay).await?,
            Act::Vanish(slot, stay) => self.lives.leave(slot, false, stay).await?,
            Act::Crash(slot, is_reborn) => self.lives.crash(slot, is_reborn).await?,
            Act::Change => self.operator.change(ledger),
            Act::Out(domain, time) => self.operator.take_out(domain, time, ledger).await,
        }
        Ok(())
    }

    /// Checks that every kind of request is served again by instances that are all ready.
    async fn check_recovery(&self, plan: &Plan) -> anyhow::Result<()> {
        for n in 0..self.instances.count() {
            if let Err(error) = self.instances.ready(n).await {
                self.ledger.broken(format!("after the last fault: {error:#}"));
                continue;
            }
            let metrics = self.instances.metrics(n).await?;
            let name = "nutmeggrade_relay_invariants_broken";
            for line in metrics.lines().filter(|l| l.starts_with(name)) {
                self.ledger.broken(format!("an instance's own check: {line}"));
            }
        }
        let mut client = Client::new(plan.clients, plan.seed, &self.instances, &self.ledger);
        for route in ["once", "read", "draft", "sort"] {
            if !client.until_served(route, RECOVERY).await {
                self.ledger
                    .broken(format!("/{route}/ is not served {RECOVERY:?} after the last fault"));
            }
        }
        Ok(())
    }

    /// Checks that no endpoint still works for anybody.
    async fn check_idle(&self) {
        let busy = || self.lives.all().iter().map(|l| l.endpoint.open()).sum::<usize>();
        for _ in 0..100 {
            if busy() == 0 {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        self.ledger.broken(format!("{} connections are left at endpoints", busy()));
    }
}
