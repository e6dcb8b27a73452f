//! The documents say what the code says.

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
    let coded = |c: &Code| (c.number().to_string(), c.name().to_owned(), c.status().to_string());
    let coded: Vec<_> = Code::ALL.iter().map(coded).collect();
    assert_eq!(listed, coded);
}

#[rstest]
fn every_page_of_the_summary_exists() {
    let text = fs::read_to_string(root().join("docs/SUMMARY.md")).expect("read summary");
    for link in text.split("](").skip(1).filter_map(|t| t.split(')').next()) {
        assert!(root().join("docs").join(link).is_file(), "{link} is missing");
    }
}
