//! Commands that are refused before anything is written, and commands that only read.

use nutmeggrade_core::config::CONFIG_PREFIX;
use nutmeggrade_fakes::fleet::Plan;
use nutmeggrade_platform::Platform;
use rstest::rstest;

use super::program;
use crate::support::{fleet, run};

const PERMIT_DESK_PRESETS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../presets/permit-desk");
const COOPERATIVE_PRESET: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/../presets/cooperative/ordinary.json");

/// Exit code, part of the output, and the arguments of the command.
const CASES: &[(i32, &str, &[&str])] = &[
    (2, "unknown command", &["domain", "sideways", "veluwe"]),
    (2, "6001", &["domain", "out", "veluwe", "--colour", "red"]),
    (2, "6004", &["status", "--wait", "9999999"]),
    (2, "6003", &["status", "--admin", "here"]),
    (3, "5005", &["domain", "out", "veluwe"]),
    (3, "5005", &["domain", "out", "veluwe", "--who", "anna"]),
    (3, "5011", &["domain", "out", "velwe", "--who", "anna", "--why", "x"]),
    (3, "5012", &["domain", "out", "veluwe", "--who", "anna", "--why", "x"]),
    (3, "5011", &["endpoint", "out", "engine-9", "--who", "anna", "--why", "x"]),
    (3, "5011", &["preset", "use", "festive", "--who", "anna", "--why", "x"]),
    (3, "5011", &["preset", "show", "festive"]),
    (3, "5007", &["preset", "put", "x", "Cargo.toml", "--who", "anna", "--why", "x"]),
    (3, "5013", &["explain", "nobody-asked-this"]),
    (
        0,
        "would_accept version=2",
        &["preset", "put", "x", COOPERATIVE_PRESET, "--who", "a", "--why", "b", "--dry-run"],
    ),
    (
        0,
        "\"event\":\"would_accept\"",
        &[
            "domain",
            "out",
            "veluwe",
            "--who",
            "a",
            "--why",
            "b",
            "--dry-run",
            "--json",
            "--confirm",
            "5012",
        ],
    ),
    (0, "unchanged version=1", &["domain", "in", "veluwe", "--who", "a", "--why", "b"]),
    (0, "* ordinary", &["preset", "list"]),
    (0, "status instance=node-0", &["watch", "--rounds", "1"]),
    (0, "nutmegctl domain out NAME", &["domain", "out", "--help"]),
];

// Operators mistype names, omit who and why, and use dry runs. Each command gets its exit code and
// error code, and none of them writes anything.
#[rstest]
fn refusals_and_reads_write_nothing() {
    run(async {
        let plan = Plan::default().with_nodes(1).with_engines(1).with_services(1);
        let guard = fleet(&plan).await?;
        for (expected_code, expected_text, arguments) in CASES {
            let (code, text) = guard.fleet.run_nutmegctl(arguments).await?;
            assert_eq!(code, *expected_code, "{arguments:?}: {text}");
            assert!(text.contains(expected_text), "{arguments:?}: {text}");
        }
        assert_eq!(guard.fleet.client().list(CONFIG_PREFIX).await?.objects.len(), 1);
        Ok(())
    });
}

// The first preset creates version 1; without a version nothing else can be changed.
#[rstest]
fn first_preset_makes_version_1() {
    run(async {
        let plan = Plan::default().with_nodes(0).with_engines(1).with_services(0);
        let guard = fleet(&plan).await?;
        guard.fleet.client().remove("config/000000000001", 1).await?;
        let why = ["--who", "anna", "--why", "start"];
        let (code, text) =
            guard.fleet.run_nutmegctl(&[&["preset", "use", "peak"], &why[..]].concat()).await?;
        assert!(code == 3 && text.contains("5003"), "{text}");
        let file = format!("{PERMIT_DESK_PRESETS}/peak.json");
        let arguments = [&["preset", "put", "peak", &file], &why[..]].concat();
        let (code, text) = guard.fleet.run_nutmegctl(&arguments).await?;
        assert!(code == 0 && text.contains("accepted version=1"), "{text}");
        Ok(())
    });
}

#[rstest]
fn token_is_never_printed() {
    let token = "a-token-that-nobody-may-see";
    for arguments in [["status", "--help"], ["status", "--wait"], ["status", "--json"]] {
        let mut command = program("nutmegctl");
        command.args(arguments).env("NUTMEGGRADE_OPERATOR_TOKEN", token);
        let output = command.output().expect("run nutmegctl");
        let text = [output.stdout, output.stderr].concat();
        assert!(!String::from_utf8_lossy(&text).contains(token));
    }
}

// An operator pipes the output into `head`, which closes the pipe early. The command still ends
// with its own exit code; a crash would hide whether a change is in force.
#[rstest]
fn closed_pipe_is_no_failure() {
    for arguments in [["status", "--help"], ["help", "--version"]] {
        let (reader, writer) = std::io::pipe().expect("pipe");
        drop(reader);
        let status = program("nutmegctl").args(arguments).stdout(writer).status();
        assert_eq!(status.expect("run nutmegctl").code(), Some(0), "{arguments:?}");
    }
}

// The token of an operator has expired. The command reports that with its code and ends, and does
// not report every instance as unreachable.
#[rstest]
fn old_token_is_named() {
    run(async {
        let plan = Plan::default().with_nodes(1).with_engines(1).with_services(0);
        let guard = fleet(&plan).await?;
        let platform = guard.fleet.platform.to_string();
        let mut command = program("nutmegctl");
        command.args(["status", "--platform", &platform]);
        command.env("NUTMEGGRADE_OPERATOR_TOKEN", "a-token-of-last-year");
        let output = tokio::task::spawn_blocking(move || command.output()).await??;
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(3), "{errors}");
        assert!(errors.contains("5001 bad_token"), "{errors}");
        Ok(())
    });
}
