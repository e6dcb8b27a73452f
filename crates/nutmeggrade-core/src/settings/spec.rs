//! Specifications of settings.

/// Prefix of the environment variables.
pub const VARIABLE_PREFIX: &str = "NUTMEGGRADE_";

/// Type of a setting's values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingKind {
    /// Any text.
    Text,
    /// An id, see [`crate::id`].
    Name,
    /// An IP address and a port; port 0 lets the operating system choose.
    Address,
    /// IP addresses with ports, separated by commas; may be empty.
    Addresses,
    /// `true` or `false`; the flag alone means `true`.
    Switch,
    /// An integer with its unit and inclusive range.
    Number {
        /// Unit, such as `ms`, `bytes` or `1`.
        unit: &'static str,
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A decimal number with its unit and inclusive range.
    Decimal {
        /// Unit, such as `s` or `1`.
        unit: &'static str,
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A secret; given by a variable, or by a file whose path is in `<variable>_FILE`.
    Secret,
}

/// Specification of a setting: its flag, type and default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingSpec {
    /// Flag without dashes; the variable's name is derived from it.
    pub flag: &'static str,
    /// Type of its values.
    pub kind: SettingKind,
    /// Value if neither flag nor variable is given; `None` makes the setting required unless it is
    /// `optional`.
    pub default: Option<&'static str>,
    /// Whether it may be omitted although it has no default.
    pub optional: bool,
    /// One-line help text.
    pub help: &'static str,
}

impl SettingSpec {
    /// Creates a required setting.
    pub const fn new(flag: &'static str, kind: SettingKind, help: &'static str) -> Self {
        Self { flag, kind, default: None, optional: false, help }
    }

    /// Sets the default.
    #[must_use]
    pub const fn with_default(mut self, default: &'static str) -> Self {
        self.default = Some(default);
        self
    }

    /// Sets whether the setting may be omitted.
    #[must_use]
    pub const fn with_optional(mut self, optional: bool) -> Self {
        self.optional = optional;
        self
    }

    /// Returns the environment variable's name.
    pub fn variable(&self) -> String {
        format!("{VARIABLE_PREFIX}{}", self.flag.to_uppercase().replace('-', "_"))
    }

    /// Returns the help line: description, variable, type, unit, range and default.
    pub fn describe(&self) -> String {
        let default = self.default.map_or("required".to_owned(), |d| format!("default {d:?}"));
        let kind = match self.kind {
            SettingKind::Text => "text".to_owned(),
            SettingKind::Name => "id".to_owned(),
            SettingKind::Address => "ip:port".to_owned(),
            SettingKind::Addresses => "ip:port,...".to_owned(),
            SettingKind::Switch => "true or false".to_owned(),
            SettingKind::Number { unit, min, max } => format!("{unit}, {min} to {max}"),
            SettingKind::Decimal { unit, min, max } => {
                format!("{unit}, {min} to {max}, fractions too")
            }
            SettingKind::Secret => "secret, variable or file only".to_owned(),
        };
        format!("{} [{}; {kind}; {default}]", self.help, self.variable())
    }
}
