//! Errors in the settings of an instance: all are listed and nothing is started.

use std::process::Output;

use rstest::rstest;

use super::program;

const SECRET: &str = "a-secret-that-nobody-may-see";
const VALID_FLAGS: [&str; 6] =
    ["--instance", "loket-1", "--domain", "veluwe", "--platform", "127.0.0.1:1"];

fn start(arguments: &[&str]) -> Output {
    let mut command = program("nutmeggrade");
    command.args(arguments).env("NUTMEGGRADE_PEER_KEY", SECRET);
    command.env("NUTMEGGRADE_OPERATOR_TOKEN", SECRET);
    command.output().expect("run nutmeggrade")
}

fn refuses(arguments: &[&str], expected: &[&str]) {
    let output = start(&[&VALID_FLAGS[..], arguments].concat());
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(output.stdout.is_empty(), "started: {errors}");
    let codes: Vec<_> = errors.lines().filter_map(|l| l.split(' ').nth(1)).collect();
    assert_eq!(codes, expected, "{errors}");
    assert!(!errors.contains(SECRET));
}

cases!(refuses {
    unknown_flag: &["--colour", "red"], &["6001"];
    not_a_number: &["--beacon", "soon"], &["6003"];
    out_of_range: &["--workers", "0"], &["6004"];
    silence_below_two_beacons: &["--beacon", "1000", "--silence", "1500"], &["6005"];
    fence_below_silence: &["--silence", "5000", "--fence", "4000"], &["6005"];
    bad_log_filter: &["--log", "nutmeggrade=loud"], &["6003"];
    bad_address: &["--admin-address", "here"], &["6003"];
    same_address_twice: &["--admin-address", "127.0.0.1:9", "--peer-address", "127.0.0.1:9"],
        &["6005"];
    all_at_once: &["--beacon", "9000", "--silence", "9000", "--fence", "8000", "--log", "a=loud"],
        &["6003", "6005", "6005"];
});

// An environment variable is mistyped. If it were ignored, the setting would keep its default
// unnoticed.
#[rstest]
fn mistyped_variable_is_a_mistake() {
    let mut command = program("nutmeggrade");
    command.args(["check"]).args(VALID_FLAGS).env("NUTMEGGRADE_PEER_KEY", SECRET);
    command.env("NUTMEGGRADE_OPERATOR_TOKEN", SECRET).env("NUTMEGGRADE_WHO", "anna");
    command.env("NUTMEGGRADE_BEACN", "100");
    let output = command.output().expect("run nutmeggrade");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert_eq!(errors.lines().count(), 1, "{errors}");
    assert!(errors.contains("6001") && errors.contains("NUTMEGGRADE_BEACN"), "{errors}");
}

#[rstest]
fn check_prints_origins_and_hides_secrets() {
    let output = start(&[&["check"], &VALID_FLAGS[..]].concat());
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("instance=loket-1 origin=flag"), "{text}");
    assert!(text.contains("beacon=500 origin=default"), "{text}");
    assert!(text.contains("peer-key=(hidden) origin=variable"), "{text}");
    assert!(!text.contains(SECRET));
}

#[rstest]
fn help_lists_flag_variable_default_unit_and_range() {
    let output = start(&["--help"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let text: Vec<_> = text.split_whitespace().collect();
    let text = text.join(" ");
    assert!(text.contains("--beacon VALUE"), "{text}");
    assert!(text.contains("[NUTMEGGRADE_BEACON; ms, 50 to 10000; default \"500\"]"), "{text}");
    assert!(!text.contains(SECRET));
}
