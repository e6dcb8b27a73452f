//! Runs the actions of a soak and its final checks.

use std::sync::Arc;
use std::time::Duration;

use futures::future::{join_all, try_join_all};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::action::{self, Action};
use super::checker::{Verdict, check};
use super::clients::Client;
use super::endpoints::SoakEndpoints;
use super::instances::Instances;
use super::operator::Operator;
use super::plan::Plan;
use super::records::{DisturbanceKind, Records};
use crate::site::Store;

/// Limit after the last fault within which every route must be served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(20);
/// Time for which clients continue after the last fault.
const FINAL_TRAFFIC: Duration = Duration::from_secs(3);
/// Time for which no time limits apply to instances after the store dropped its history.
const HISTORY_LOSS_RECOVERY: Duration = Duration::from_millis(500);

struct Soak {
    store: Store,
    endpoints: SoakEndpoints,
    operator: Operator,
    instances: Arc<Instances>,
    records: Arc<Records>,
}

/// Runs a soak with the faults drawn from its seed, and checks the observations.
pub async fn run(plan: &Plan) -> anyhow::Result<Verdict> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut actions = action::draw_schedule(plan, &mut rng);
    if plan.has_notices {
        actions.extend(action::draw_notices(plan));
    }
    if plan.ends_streams {
        actions.extend(action::draw_stream_ends(plan));
    }
    if let Some(mean_gap_ms) = plan.lost_changes_ms {
        actions.extend(action::draw_lost_changes(plan, mean_gap_ms));
    }
    if let Some(mean_gap_ms) = plan.silences_ms {
        actions.extend(action::draw_silences(plan, mean_gap_ms));
    }
    if let Some(mean_gap_ms) = plan.releases_ms {
        actions.extend(action::draw_releases(plan, mean_gap_ms));
    }
    if let Some(mean_gap_ms) = plan.odd_entries_ms {
        actions.extend(action::draw_odd_entries(plan, mean_gap_ms));
    }
    if let Some(mean_gap_ms) = plan.overlaps_ms {
        actions.extend(action::draw_overlapping_stops(plan, mean_gap_ms));
    }
    actions.sort_by_key(|(at, _)| *at);
    run_actions(plan, &actions).await
}

/// Runs a fixed demo: an engine leaves, the configuration changes, an instance is stopped gracefully,
/// another one is killed, a failure domain is evacuated.
pub async fn show(plan: &Plan) -> anyhow::Result<Verdict> {
    let second = Duration::from_secs;
    let actions = [
        (second(1), Action::Drain(0, second(4))),
        (second(2), Action::ChangeConfig),
        (second(3), Action::Stop(0)),
        (second(6), Action::Kill(1, second(1))),
        (second(8), Action::Evacuate(2, second(2))),
    ];
    run_actions(plan, &actions).await
}

async fn run_actions(plan: &Plan, actions: &[(Duration, Action)]) -> anyhow::Result<Verdict> {
    let store = Store::new();
    let records = Arc::new(Records::new());
    let operator = Operator::start(&store, &records, plan.timeout);
    let endpoints = SoakEndpoints::start(&store, plan.engines, plan.services).await?;
    let instances = Arc::new(Instances::start(&store, plan).await?);
    let soak = Soak { store, endpoints, operator, instances, records };
    let (stop, stopped) = watch::channel(false);
    let clients = (0..plan.clients).map(|n| {
        let keeps_connections = plan.silences_ms.is_some() && n % 2 == 1;
        let reads_slowly = plan.slow_interval.is_some_and(|interval| n % interval == interval - 1);
        let client = Client::new(n, plan.seed, &soak.instances, &soak.records)
            .with_kept_connections(keeps_connections)
            .with_slow_reads(reads_slowly);
        let client = match plan.overlaps_ms {
            Some(_) => client.with_stream_deadline(plan.timeout),
            None => client,
        };
        tokio::spawn(client.run(stopped.clone()))
    });
    let clients: Vec<_> = clients.collect();
    try_join_all(actions.iter().map(|(at, action)| soak.perform(*at, *action))).await?;
    sleep(FINAL_TRAFFIC).await;
    stop.send_replace(true);
    for client in join_all(clients).await {
        client?;
    }
    soak.check_recovery(plan).await?;
    soak.instances.stop_all(&soak.records).await?;
    soak.check_idle().await;
    let actions =
        actions.iter().map(|(at, action)| format!("{:>6} ms {action:?}", at.as_millis())).collect();
    check(plan, &soak.records, &soak.endpoints.incarnations(), soak.instances.log(), actions)
}

impl Soak {
    async fn perform(&self, at: Duration, action: Action) -> anyhow::Result<()> {
        sleep(at).await;
        let (instances, records) = (&self.instances, self.records.as_ref());
        match action {
            Action::Kill(n, down) => instances.kill(n, down, records).await?,
            Action::Pause(n, time) => instances.pause(n, time, records).await?,
            Action::Stop(n) => instances.stop(n, records).await?,
            Action::Reload(n, is_signalled) => instances.reload(n, is_signalled, records).await?,
            Action::FailStore(n, kind, time) => instances.fail_store(n, kind, time, records).await,
            Action::LoseChange(lost) => {
                instances.lose_waiting_calls(lost.kinds(), records);
                self.operator.change(records);
            }
            Action::DropHistory => {
                for n in 0..instances.count() {
                    records.add_disturbance(n, DisturbanceKind::Store, HISTORY_LOSS_RECOVERY);
                }
                self.store.drop_history();
            }
            Action::FailLink(slot, link, time) => self.endpoints.fail_link(slot, link, time).await,
            Action::Misbehave(slot, behaviour, time) => {
                self.endpoints.misbehave(slot, behaviour, time).await;
            }
            Action::LimitRate(slot, (first, second), time) => {
                let limits = (f64::from(first) / 10.0, f64::from(second) / 10.0);
                self.endpoints.limit_rate(slot, limits, time).await;
            }
            Action::Reject(slot, backoff, time) => self.endpoints.reject(slot, backoff, time).await,
            Action::Drain(slot, delay) => self.endpoints.leave(slot, true, delay).await?,
            Action::Deregister(slot, delay) => self.endpoints.leave(slot, false, delay).await?,
            Action::Crash(slot, keeps_id) => self.endpoints.crash(slot, keeps_id).await?,
            Action::ChangeConfig => self.operator.change(records),
            Action::Silence(silenced, time) => self.endpoints.silence(silenced, time).await,
            Action::Release(release) => self.endpoints.release(release).await?,
            Action::KillAll(spared, down) => {
                let killed = (0..instances.count()).filter(|n| Some(*n) != spared);
                try_join_all(killed.map(|n| instances.kill(n, down, records))).await?;
            }
            Action::WriteOddEntry { entry, is_evacuation, stay } => {
                self.operator.write_odd_entry(entry, is_evacuation, stay).await;
            }
            Action::Evacuate(domain, time) => self.operator.evacuate(domain, time, records).await,
        }
        Ok(())
    }

    /// Checks that all instances are ready and that every kind of request is served again.
    async fn check_recovery(&self, plan: &Plan) -> anyhow::Result<()> {
        for n in 0..self.instances.count() {
            if let Err(error) = self.instances.ready(n).await {
                self.records.add_violation(format!("after the last fault: {error:#}"));
                continue;
            }
            let metrics = self.instances.metrics(n).await?;
            let name = "nutmeggrade_relay_invariants_broken";
            for line in metrics.lines().filter(|l| l.starts_with(name)) {
                self.records
                    .add_violation(format!("an instance's own invariant check failed: {line}"));
            }
        }
        let mut client = Client::new(plan.clients, plan.seed, &self.instances, &self.records);
        for route in ["once", "read", "draft", "sort"] {
            if !client.until_served(route, RECOVERY_LIMIT).await {
                self.records.add_violation(format!(
                    "/{route}/ is not served {RECOVERY_LIMIT:?} after the last fault"
                ));
            }
        }
        self.check_use(plan).await;
        Ok(())
    }

    /// Checks that all running endpoints get requests.
    async fn check_use(&self, plan: &Plan) {
        let start = Instant::now();
        let until_used = async |n: usize| {
            let mut client =
                Client::new(plan.clients + n, plan.seed, &self.instances, &self.records);
            while !self.endpoints.unused().is_empty() && start.elapsed() < RECOVERY_LIMIT {
                client.until_served("draft", RECOVERY_LIMIT).await;
                client.until_served("once", RECOVERY_LIMIT).await;
            }
        };
        join_all((1..=plan.clients).map(until_used)).await;
        for id in self.endpoints.unused() {
            self.records.add_violation(format!(
                "{id} got no request up to {RECOVERY_LIMIT:?} after the last fault"
            ));
        }
    }

    /// Checks that no endpoint has an open connection left.
    async fn check_idle(&self) {
        let open_connections =
            || self.endpoints.incarnations().iter().map(|i| i.endpoint.open()).sum::<usize>();
        for _ in 0..100 {
            if open_connections() == 0 {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        self.records.add_violation(format!(
            "{} connections to endpoints are still open",
            open_connections()
        ));
    }
}
