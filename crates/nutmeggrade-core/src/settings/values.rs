//! Parsing and validation of settings.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::{Origin, SettingKind, SettingSpec};
use crate::code::Code;
use crate::id::InstanceId;
use crate::secret::{MIN_SECRET_LEN, Secret};

/// An invalid setting or argument, with its result code.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// The numbered result code.
    pub code: Code,
    /// Description of the problem, with flag and variable.
    pub detail: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.detail)
    }
}

#[derive(Debug, Clone)]
struct Value {
    spec: SettingSpec,
    text: String,
    origin: Origin,
}

/// All settings of a process, parsed and validated.
#[derive(Debug, Clone)]
pub struct SettingValues {
    values: BTreeMap<&'static str, Value>,
}

impl SettingValues {
    /// Parses and validates flags and variables; returns all mistakes at once.
    ///
    /// `variable` looks up an environment variable and `file` reads a secret's file.
    pub fn load(
        specs: &[SettingSpec],
        args: &[String],
        variable: impl Fn(&str) -> Option<String>,
        file: impl Fn(&str) -> Result<String, String>,
    ) -> Result<Self, Vec<SettingError>> {
        let mut mistakes = Vec::new();
        let matches = match Self::options(specs).parse(args) {
            Ok(m) => m,
            Err(e) => {
                let detail = e.to_string();
                return Err(vec![SettingError { code: Code::UnknownSetting, detail }]);
            }
        };
        for argument in &matches.free {
            let detail = format!("unexpected argument {argument:?}");
            mistakes.push(SettingError { code: Code::UnknownSetting, detail });
        }
        let mut values = BTreeMap::new();
        for spec in specs {
            let flag = match spec.kind {
                SettingKind::Secret => None,
                SettingKind::Switch => matches.opt_present(spec.flag).then(|| "true".to_owned()),
                _ => matches.opt_str(spec.flag),
            };
            match resolve(spec, flag, &variable, &file)
                .and_then(|v| validate(v.as_ref(), spec).map(|()| v))
            {
                Ok(Some(v)) => {
                    values.insert(spec.flag, v);
                }
                Ok(None) => {}
                Err(m) => mistakes.push(m),
            }
        }
        if mistakes.is_empty() { Ok(Self { values }) } else { Err(mistakes) }
    }

    /// Creates the command-line parser; its usage text lists every setting.
    pub fn options(specs: &[SettingSpec]) -> getopts::Options {
        let mut options = getopts::Options::new();
        for spec in specs.iter().filter(|s| s.kind != SettingKind::Secret) {
            if spec.kind == SettingKind::Switch {
                options.optflag("", spec.flag, &spec.describe());
            } else {
                options.optopt("", spec.flag, &spec.describe(), "VALUE");
            }
        }
        options
    }

    /// Returns the text of a setting, or an empty text if it has neither value nor default.
    pub fn text(&self, flag: &str) -> &str {
        self.values.get(flag).map_or("", |v| v.text.as_str())
    }

    /// Returns an integer setting, or 0 if it is not set.
    pub fn number(&self, flag: &str) -> u64 {
        self.text(flag).parse().unwrap_or(0)
    }

    /// Returns an integer setting in milliseconds.
    pub fn millis(&self, flag: &str) -> Duration {
        Duration::from_millis(self.number(flag))
    }

    /// Returns a decimal setting, or 0 if it is not set.
    pub fn decimal(&self, flag: &str) -> f64 {
        self.text(flag).parse().unwrap_or(0.0)
    }

    /// Returns a decimal setting in seconds.
    pub fn seconds(&self, flag: &str) -> Duration {
        Duration::try_from_secs_f64(self.decimal(flag)).unwrap_or_default()
    }

    /// Returns an address setting.
    pub fn address(&self, flag: &str) -> Option<SocketAddr> {
        self.text(flag).parse().ok()
    }

    /// Returns a list of addresses.
    pub fn addresses(&self, flag: &str) -> Vec<SocketAddr> {
        self.text(flag).split(',').filter_map(|a| a.trim().parse().ok()).collect()
    }

    /// Returns a switch.
    pub fn switch(&self, flag: &str) -> bool {
        self.text(flag) == "true"
    }

    /// Returns a secret setting.
    pub fn secret(&self, flag: &str) -> Secret {
        Secret::new(self.text(flag))
    }

    /// Returns one line per setting with its value and origin; secrets are hidden.
    pub fn lines(&self) -> Vec<String> {
        let format_line = |v: &Value| {
            let text =
                if v.spec.kind == SettingKind::Secret { "(hidden)" } else { v.text.as_str() };
            format!("{}={text} origin={}", v.spec.flag, v.origin)
        };
        self.values.values().map(format_line).collect()
    }
}

fn resolve(
    spec: &SettingSpec,
    flag: Option<String>,
    variable: &impl Fn(&str) -> Option<String>,
    file: &impl Fn(&str) -> Result<String, String>,
) -> Result<Option<Value>, SettingError> {
    let name = spec.variable();
    if let Some(text) = flag {
        return Ok(Some(Value { spec: *spec, text, origin: Origin::Flag }));
    }
    if let Some(text) = variable(&name) {
        return Ok(Some(Value { spec: *spec, text, origin: Origin::Variable }));
    }
    if spec.kind == SettingKind::Secret
        && let Some(path) = variable(&format!("{name}_FILE"))
    {
        return match file(&path) {
            Ok(text) => {
                let text = text.trim().to_owned();
                Ok(Some(Value { spec: *spec, text, origin: Origin::File }))
            }
            Err(e) => {
                Err(SettingError { code: Code::BadSetting, detail: format!("{name}_FILE: {e}") })
            }
        };
    }
    if let Some(text) = spec.default {
        return Ok(Some(Value { spec: *spec, text: text.to_owned(), origin: Origin::Default }));
    }
    if spec.optional {
        return Ok(None);
    }
    let detail = match spec.kind {
        SettingKind::Secret => format!("{name} or {name}_FILE must be set"),
        _ => format!("--{} or {name} must be set", spec.flag),
    };
    Err(SettingError { code: Code::SettingMissing, detail })
}

fn validate(value: Option<&Value>, spec: &SettingSpec) -> Result<(), SettingError> {
    let Some(value) = value else { return Ok(()) };
    let text = value.text.as_str();
    let setting = format!("--{} ({})", spec.flag, spec.variable());
    let invalid = |detail: String| Err(SettingError { code: Code::BadSetting, detail });
    match spec.kind {
        SettingKind::Name => match InstanceId::new(text) {
            Ok(_) => Ok(()),
            Err(e) => invalid(format!("{setting}: {e}")),
        },
        SettingKind::Address => match text.parse::<SocketAddr>() {
            Ok(_) => Ok(()),
            Err(_) => invalid(format!("{setting}: {text:?} is not ip:port")),
        },
        SettingKind::Addresses => {
            let addresses = text.split(',').map(str::trim).filter(|a| !a.is_empty());
            match addresses.into_iter().find(|a| a.parse::<SocketAddr>().is_err()) {
                Some(a) => invalid(format!("{setting}: {a:?} is not ip:port")),
                None => Ok(()),
            }
        }
        SettingKind::Switch if text == "true" || text == "false" => Ok(()),
        SettingKind::Switch => invalid(format!("{setting}: {text:?} is neither true nor false")),
        SettingKind::Number { unit, min, max } => match text.parse::<u64>() {
            Ok(n) if (min..=max).contains(&n) => Ok(()),
            Ok(n) => {
                let detail = format!("{setting}: {n} {unit} is not in {min} to {max}");
                Err(SettingError { code: Code::SettingRange, detail })
            }
            Err(_) => invalid(format!("{setting}: {text:?} is not a whole number of {unit}")),
        },
        SettingKind::Decimal { unit, min, max } => match text.parse::<f64>() {
            Ok(n) if (min as f64..=max as f64).contains(&n) => Ok(()),
            Ok(n) => {
                let detail = format!("{setting}: {n} {unit} is not in {min} to {max}");
                Err(SettingError { code: Code::SettingRange, detail })
            }
            Err(_) => invalid(format!("{setting}: {text:?} is not a number of {unit}")),
        },
        SettingKind::Secret if text.len() < MIN_SECRET_LEN => {
            let detail = format!("{} is shorter than {MIN_SECRET_LEN} bytes", spec.variable());
            Err(SettingError { code: Code::SettingRange, detail })
        }
        SettingKind::Text | SettingKind::Secret => Ok(()),
    }
}
