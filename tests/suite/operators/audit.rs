//! Refusals in the audit trail, and the limits of the trail.

use std::time::Duration;

use http::Method;
use nutmeggrade_core::audit::{AUDIT_PREFIX, AuditEvent};
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::{Fleet, Plan};
use nutmeggrade_fakes::http::send;
use nutmeggrade_platform::Platform;
use nutmeggrade_state::audit_log::{AuditLog, MAX_PENDING, MAX_RECENT, REPEAT_WINDOW};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::support::{fleet, run};

fn log() -> AuditLog {
    AuditLog::new(&InstanceId::new("loket-1").expect("id"), 1)
}

// A script calls with an expired token thousands of times a second. The log has one entry per
// minute, with the number of refusals.
#[rstest]
fn repeats_are_counted() {
    let mut log = log();
    for n in 0..10_000 {
        log.note(AuditEvent::TokenRefused, "path=status", 1, n, Moment::from_millis(n));
    }
    assert_eq!(log.recent().count(), 1);
    let later = Moment::from_millis(10_000).after(REPEAT_WINDOW);
    let entry = log.note(AuditEvent::TokenRefused, "path=status", 1, 0, later);
    assert_eq!(entry.map(|e| e.repeats), Some(9_999));
}

// The platform is down for hours while an instance refuses many different requests. The log keeps
// the latest entries and the number of lost ones, so that it does not exhaust the memory.
#[rstest]
fn outage_does_not_fill_the_memory() {
    let mut log = log();
    for n in 0..10_000_u64 {
        let detail = format!("path={n}");
        log.note(AuditEvent::TokenRefused, &detail, 1, n, Moment::from_millis(n));
    }
    assert_eq!(log.recent().count(), MAX_RECENT);
    assert_eq!(log.dropped_count(), 10_000 - MAX_PENDING as u64);
    let first = log.first_pending().map(|e| e.number);
    assert_eq!(first, Some(10_001 - MAX_PENDING as u64));
}

async fn is_written(fleet: &Fleet) -> anyhow::Result<bool> {
    let objects = fleet.client().list(AUDIT_PREFIX).await?.objects;
    let refused = |v: &Value| v["event"] == "token_refused";
    Ok(objects.iter().filter_map(|o| o.value.as_ref()).any(refused))
}

// A request has a wrong token while answers of the platform get lost. The audit trail has the
// refusal once, after the change that was in force, and the refusal can be read from the instance
// too.
#[rstest]
fn refusals_are_in_the_trail() {
    run(async {
        let guard = fleet(&Plan::default().with_nodes(1).with_engines(1)).await?;
        guard.fleet.set_faults("platform", &json!({ "lose": 1 })).await?;
        let admin = guard.fleet.nodes["node-0"].admin;
        let headers = [("authorization", "Bearer wrong")];
        let (status, _) = send(admin, Method::GET, "/status", &headers, Vec::new()).await?;
        assert_eq!(status.as_u16(), Code::BadToken.status());
        while !is_written(&guard.fleet).await? {
            sleep(Duration::from_millis(50)).await;
        }
        let (code, text) = guard.fleet.run_nutmegctl(&["audit"]).await?;
        assert_eq!(code, 0, "{text}");
        let lines: Vec<_> = text.lines().collect();
        let find_lines = |start: &str| -> Vec<usize> {
            (0..lines.len()).filter(|n| lines[*n].starts_with(start)).collect()
        };
        let (change, refusal) = (find_lines("change version=1 "), find_lines("token_refused "));
        assert!(change.len() == 1 && refusal.len() == 1, "{text}");
        assert!(change < refusal && lines[refusal[0]].contains("instance=node-0 "), "{text}");
        guard.fleet.set_faults("platform", &json!({ "down": true })).await?;
        let admin = admin.to_string();
        let (code, text) = guard.fleet.run_nutmegctl(&["audit", "--admin", &admin]).await?;
        assert!(code == 0 && text.contains("token_refused instance=node-0 "), "{text}");
        Ok(())
    });
}
