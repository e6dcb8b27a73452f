//! Settings are validated as a whole, and every mistake is listed.

use std::collections::BTreeMap;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::settings::{SettingKind, SettingSpec, SettingValues};
use rstest::rstest;

const SPECS: &[SettingSpec] = &[
    SettingSpec::new("instance", SettingKind::Name, "name"),
    SettingSpec::new("platform", SettingKind::Address, "platform").with_default("127.0.0.1:1"),
    SettingSpec::new("beacon", SettingKind::Number { unit: "ms", min: 50, max: 100 }, "beacon")
        .with_default("60"),
    SettingSpec::new("peer-key", SettingKind::Secret, "key"),
];

fn load(args: &[&str], variables: &[(&str, &str)]) -> Result<SettingValues, Vec<Code>> {
    let args: Vec<String> = args.iter().map(ToString::to_string).collect();
    let variables: BTreeMap<&str, &str> = variables.iter().copied().collect();
    let variable = |name: &str| variables.get(name).map(ToString::to_string);
    let file = |_: &str| Ok("a-secret-from-a-file\n".to_owned());
    SettingValues::load(SPECS, &args, variable, file)
        .map_err(|mistakes| mistakes.into_iter().map(|m| m.code).collect())
}

const KEY: (&str, &str) = ("NUTMEGGRADE_PEER_KEY", "a-secret-long-enough");
const NAME: (&str, &str) = ("NUTMEGGRADE_INSTANCE", "loket-1");

fn refuses(args: &[&str], variables: &[(&str, &str)], codes: &[Code]) {
    assert_eq!(load(args, variables).err(), Some(codes.to_vec()));
}

cases!(refuses {
    missing: &[], &[KEY], &[Code::SettingMissing];
    unknown_flag: &["--colour", "red"], &[KEY, NAME], &[Code::UnknownSetting];
    extra_word: &["red"], &[KEY, NAME], &[Code::UnknownSetting];
    bad_name: &["--instance", "a b"], &[KEY], &[Code::BadSetting];
    bad_address: &["--platform", "nowhere"], &[KEY, NAME], &[Code::BadSetting];
    not_a_number: &["--beacon", "soon"], &[KEY, NAME], &[Code::BadSetting];
    out_of_range: &["--beacon", "49"], &[KEY, NAME], &[Code::SettingRange];
    short_secret: &[], &[NAME, ("NUTMEGGRADE_PEER_KEY", "short")], &[Code::SettingRange];
    secret_as_flag: &["--peer-key", "a-secret-long-enough"], &[NAME], &[Code::UnknownSetting];
    all_at_once: &["--beacon", "49", "--platform", "x"], &[],
        &[Code::SettingMissing, Code::BadSetting, Code::SettingRange, Code::SettingMissing];
});

#[rstest]
fn flag_goes_before_variable() {
    let values = load(&["--instance", "flag"], &[KEY, NAME]).expect("valid settings");
    assert_eq!(values.text("instance"), "flag");
}

#[rstest]
fn secret_from_file_is_never_shown() {
    let file = ("NUTMEGGRADE_PEER_KEY_FILE", "peer.key");
    let values = load(&[], &[NAME, file]).expect("valid settings");
    assert_eq!(values.text("peer-key"), "a-secret-from-a-file");
    assert!(values.lines().contains(&"peer-key=(hidden) origin=file".to_owned()));
}
