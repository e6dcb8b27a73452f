//! Settings of an instance that serves routes.

use std::io::Write;
use std::path::PathBuf;

use nutmeggrade_core::prelude::*;
use nutmeggrade_relay::Settings;

const VALID_SETTINGS: &str = "# comment\nNUTMEGGRADE_INSTANCE=i-1\nNUTMEGGRADE_DOMAIN=veluwe\n\
    NUTMEGGRADE_PLATFORM=127.0.0.1:1\nNUTMEGGRADE_CLIENT_ADDRESS=127.0.0.1:0\n\
    NUTMEGGRADE_READY_ADDRESS=127.0.0.1:0\nNUTMEGGRADE_DIRECTORY_ADDRESS=127.0.0.1:0\n\
    NUTMEGGRADE_CONTROL_ADDRESS=127.0.0.1:0\nNUTMEGGRADE_BEACON_ADDRESS=127.0.0.1:7000\n\
    NUTMEGGRADE_METRICS_ADDRESS=127.0.0.1:0\nNUTMEGGRADE_SEEDS=\n";

fn load(name: &str, text: &str) -> Result<Settings, Vec<nutmeggrade_core::settings::SettingError>> {
    let path: PathBuf =
        std::env::temp_dir().join(format!("nutmeggrade-{}-{name}.env", std::process::id()));
    let mut file = std::fs::File::create(&path).expect("create settings file");
    file.write_all(text.as_bytes()).expect("write settings file");
    let loaded = Settings::load(&[], Some(&path));
    std::fs::remove_file(&path).expect("remove settings file");
    loaded
}

#[test]
fn file_is_read_and_empty_values_are_defaults() {
    let text = format!("{VALID_SETTINGS}NUTMEGGRADE_GRACE=2.5\nNUTMEGGRADE_ENTRY_KEEP=\n");
    let settings = load("good", &text).expect("good settings");
    assert_eq!(settings.grace, std::time::Duration::from_millis(2_500));
    assert_eq!(settings.entry_ttl, std::time::Duration::from_secs(5));
    assert!(settings.seeds.is_empty());
}

#[test]
fn seeds_are_asked_at_the_heartbeat_port() {
    let text = VALID_SETTINGS.replace("SEEDS=", "SEEDS=10.0.0.1:99,10.0.0.2:99");
    let settings = load("seeds", &text).expect("good settings");
    let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.0.0.1:7000", "10.0.0.2:7000"]);
}

/// Checks the code and the line number of an error in the last line of a settings file.
fn refused(name: &str, line: &str, code: Code) {
    let errors = load(name, &format!("{VALID_SETTINGS}{line}\n")).expect_err("an error");
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert_eq!(errors[0].code, code);
    assert!(errors[0].detail.contains(".env:12:"), "{}", errors[0].detail);
}

cases! {refused {
    unknown: "unknown", "NUTMEGGRADE_GRACES=2", Code::UnknownSetting;
    no_value: "no-value", "NUTMEGGRADE_GRACE", Code::BadSetting;
    no_number: "no-number", "NUTMEGGRADE_GRACE=soon", Code::BadSetting;
    out_of_range: "range", "NUTMEGGRADE_GRACE=0", Code::SettingRange;
    whole_only: "whole", "NUTMEGGRADE_MEMORY=1.5", Code::BadSetting;
}}
