//! The settings file: one `VARIABLE=value` per line.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::settings::{SettingError, SettingSpec};

#[derive(Debug, Clone)]
struct Line {
    number: usize,
    value: String,
}

/// Parsed settings file: one `VARIABLE=value` per line, comment lines start with `#`.
#[derive(Debug, Clone, Default)]
pub struct SettingsFile {
    path: PathBuf,
    lines: BTreeMap<String, Line>,
}

impl SettingsFile {
    /// Reads a file and rejects variables that belong to no setting: a mistyped one would otherwise
    /// silently leave its setting at the default.
    pub fn load(path: &Path, specs: &[SettingSpec]) -> Result<Self, Vec<SettingError>> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            let detail = format!("{}: {e}", path.display());
            vec![SettingError { code: Code::BadSetting, detail }]
        })?;
        let mut file = Self { path: path.to_owned(), lines: BTreeMap::new() };
        let mut errors = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let number = index + 1;
            if let Err(error) = file.parse_line(line, number, specs) {
                errors.push(error);
            }
        }
        if errors.is_empty() { Ok(file) } else { Err(errors) }
    }

    fn parse_line(
        &mut self,
        line: &str,
        number: usize,
        specs: &[SettingSpec],
    ) -> Result<(), SettingError> {
        let place = format!("{}:{number}", self.path.display());
        let Some((name, value)) = line.split_once('=') else {
            let detail = format!("{place}: no = in {line:?}");
            return Err(SettingError { code: Code::BadSetting, detail });
        };
        let name = name.trim();
        if !specs.iter().any(|s| s.variable() == name) {
            let detail = format!("{place}: {name} is not a variable of this program");
            return Err(SettingError { code: Code::UnknownSetting, detail });
        }
        let value = value.trim().to_owned();
        self.lines.insert(name.to_owned(), Line { number, value });
        Ok(())
    }

    /// Returns the value of a variable. An empty one counts as not given.
    pub fn get(&self, name: &str) -> Option<String> {
        self.lines.get(name).map(|l| l.value.clone()).filter(|v| !v.is_empty())
    }

    /// Adds the file and line number to an error in a value from the file.
    pub fn locate(&self, mut error: SettingError, specs: &[SettingSpec]) -> SettingError {
        let variables = specs.iter().map(SettingSpec::variable);
        let line = variables
            .filter(|v| error.detail.contains(&format!("({v})")))
            .find_map(|v| self.lines.get(&v));
        if let Some(line) = line {
            error.detail = format!("{}:{}: {}", self.path.display(), line.number, error.detail);
        }
        error
    }
}
