//! The documentation agrees with the code.

use std::fs;
use std::path::{Path, PathBuf};

use nutmeggrade_core::prelude::*;
use rstest::rstest;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("workspace").to_owned()
}

#[rstest]
fn result_codes_match_the_table() {
    let text = fs::read_to_string(root().join("docs/RESULT-CODES.md")).expect("read table");
    let rows = text.lines().filter(|l| l.starts_with("| ") && !l.starts_with("| code"));
    let row = |line: &str| {
        let cells: Vec<_> = line.split('|').map(|c| c.trim().trim_matches('`')).collect();
        (cells[1].to_owned(), cells[2].to_owned(), cells[3].to_owned())
    };
    let listed: Vec<_> = rows.map(row).collect();
    let defined = |c: &Code| (c.number().to_string(), c.name().to_owned(), c.status().to_string());
    let defined: Vec<_> = Code::ALL.iter().map(defined).collect();
    assert_eq!(listed, defined);
}

#[rstest]
fn every_page_of_the_summary_exists() {
    let text = fs::read_to_string(root().join("docs/SUMMARY.md")).expect("read summary");
    for link in text.split("](").skip(1).filter_map(|t| t.split(')').next()) {
        assert!(root().join("docs").join(link).is_file(), "{link} is missing");
    }
}

const PROMISE_COUNT: usize = 9;
const INVARIANT_COLUMN: usize = 3;
const PROOF_COLUMN: usize = 4;
const MIN_RULES: usize = 17;
const TEST_COLUMN: usize = 3;

/// Returns the tables of the promises page as rows of cells: the promises, and the platform's
/// rules.
fn tables() -> Vec<Vec<Vec<String>>> {
    let text = fs::read_to_string(root().join("docs/PROMISES.md")).expect("read promises");
    let cells = |l: &str| l.split('|').map(ToOwned::to_owned).collect();
    let mut tables = Vec::new();
    let mut lines = text.lines();
    while lines.by_ref().any(|l| l.starts_with("|---")) {
        let rows = lines.by_ref().take_while(|l| l.starts_with('|'));
        tables.push(rows.map(cells).collect());
    }
    tables
}

/// Returns the table of promises as rows of cells.
fn promises() -> Vec<Vec<String>> {
    tables().remove(0)
}

/// Returns the texts between backticks.
fn quoted(cell: &str) -> Vec<String> {
    cell.split('`').skip(1).step_by(2).map(ToOwned::to_owned).collect()
}

/// Returns whether `a::b::c` is a module of the suite, or a test `c` in the module `a::b`.
fn is_test(name: &str) -> bool {
    let file =
        |name: &str| root().join("tests/suite").join(name.replace("::", "/")).with_extension("rs");
    let Some((module, test)) = name.rsplit_once("::") else { return false };
    let contains_test = |text: String| text.contains(&format!("fn {test}("));
    file(name).is_file() || fs::read_to_string(file(module)).is_ok_and(contains_test)
}

#[rstest]
fn every_proof_of_a_promise_exists() {
    let rows = promises();
    for number in 1..=PROMISE_COUNT {
        let row = rows.iter().find(|r| r[1].trim().starts_with(&format!("{number}. ")));
        let row = row.unwrap_or_else(|| panic!("promise {number} has no row"));
        let names = quoted(&row[PROOF_COLUMN]);
        let names: Vec<_> = names.iter().filter(|n| !n.contains(' ')).collect();
        assert!(!names.is_empty(), "promise {number} names no proof");
    }
    let proofs = rows.iter().flat_map(|r| quoted(&r[PROOF_COLUMN])).filter(|n| !n.contains(' '));
    for name in proofs {
        assert!(is_test(&name), "no test {name}");
    }
}

#[rstest]
fn every_rule_of_the_platform_has_tests() {
    let rows = tables().remove(1);
    assert!(rows.len() >= MIN_RULES, "{} rows", rows.len());
    for row in rows {
        let names = quoted(&row[TEST_COLUMN]);
        assert!(!names.is_empty(), "{} names no test", row[1]);
        for name in names {
            assert!(is_test(&name), "no test {name}");
        }
    }
}

#[rstest]
fn every_invariant_of_a_promise_is_asserted() {
    let asserted = sources(&root().join("crates"));
    for name in promises().iter().flat_map(|r| quoted(&r[INVARIANT_COLUMN])) {
        assert!(asserted.contains(&format!("\"{name}\"")), "{name} is asserted nowhere");
    }
}

/// Returns the text of every Rust file under a folder.
fn sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(folder).expect("read folder") {
        let path = entry.expect("read entry").path();
        if path.is_dir() {
            text.push_str(&sources(&path));
        } else if path.extension().is_some_and(|e| e == "rs") {
            text.push_str(&fs::read_to_string(&path).expect("read source"));
        }
    }
    text
}
