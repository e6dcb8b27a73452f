//! The metrics page lists exactly the metrics of an instance.

use std::collections::BTreeSet;
use std::fs;

use nutmeggrade_fakes::fleet::Plan;
use rstest::rstest;

use crate::support::{fleet, run};

const PAGE_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/operators/metrics.md");
const CODE_PATHS: [&str; 2] = [
    concat!(env!("CARGO_MANIFEST_DIR"), "/../crates/nutmeggrade/src/metrics.rs"),
    concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../crates/nutmeggrade-relay/src/intake/memory_metrics.rs"
    ),
];

/// Returns the code that registers metrics.
fn code() -> String {
    CODE_PATHS.map(|path| fs::read_to_string(path).expect("read code")).concat()
}

/// Returns the metric names in the first column of the tables of the page.
fn documented() -> BTreeSet<String> {
    let text = fs::read_to_string(PAGE_PATH).expect("read page");
    let rows = text.lines().filter_map(|l| l.strip_prefix("| `"));
    let names = rows.filter_map(|l| l.split('`').next());
    names.filter(|n| n.starts_with("nutmeggrade_")).map(ToOwned::to_owned).collect()
}

#[rstest]
fn page_and_instance_agree() {
    run(async {
        let guard = fleet(&Plan::default().with_nodes(1).with_engines(1)).await?;
        let text = guard.fleet.metrics("node-0").await?;
        let exported = text.lines().filter_map(|l| l.strip_prefix("# HELP "));
        let exported: BTreeSet<_> = exported.filter_map(|l| l.split(' ').next()).collect();
        let listed = documented();
        let registered = registered();
        let missing: Vec<_> = exported
            .into_iter()
            .chain(registered.iter().map(String::as_str))
            .filter(|n| !listed.contains(*n))
            .collect();
        assert!(missing.is_empty(), "not in docs/operators/metrics.md: {missing:?}");
        Ok(())
    });
}

#[rstest]
fn page_names_nothing_else() {
    let code = code();
    for listed in documented() {
        let unprefixed = listed.trim_start_matches("nutmeggrade_");
        assert!(code.contains(&format!("\"{unprefixed}\"")), "{listed} is not a metric");
    }
}

/// Returns the metric names that the code registers; a metric with labels is exported only once it
/// has a value.
fn registered() -> BTreeSet<String> {
    let text = code();
    let after = |kind: &str| -> Vec<String> {
        let starts = text.split(kind).skip(1);
        starts.filter_map(|t| t.trim_start().strip_prefix('"')).filter_map(name).collect()
    };
    let kinds = ["counter(", "counters(", "gauge(", "gauges("];
    kinds.into_iter().flat_map(after).collect()
}

fn name(start: &str) -> Option<String> {
    start.split('"').next().map(|n| format!("nutmeggrade_{n}"))
}
