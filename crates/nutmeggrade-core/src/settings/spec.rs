//! The description of one setting.

/// Prefix of every variable.
pub const VARIABLE_PREFIX: &str = "NUTMEGGRADE_";

/// What values a setting takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
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
    /// A whole number with its unit and range, both ends included.
    Number {
        /// Unit, such as `ms`, `bytes` or `1`.
        unit: &'static str,
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A number that may have a fraction, with its unit and range, both ends included.
    Decimal {
        /// Unit, such as `s` or `1`.
        unit: &'static str,
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A secret; only by variable, or by a file that `<variable>_FILE` names.
    Secret,
}

/// One setting: its flag, what it takes and its default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spec {
    /// Flag without dashes; the variable's name follows from it.
    pub flag: &'static str,
    /// What values it takes.
    pub kind: Kind,
    /// Value if neither flag nor variable is given; `None` makes the setting required unless it is
    /// `optional`.
    pub default: Option<&'static str>,
    /// Whether it may be left out though it has no default.
    pub optional: bool,
    /// One line of help.
    pub help: &'static str,
}

impl Spec {
    /// Describes a required setting.
    pub const fn new(flag: &'static str, kind: Kind, help: &'static str) -> Self {
        Self { flag, kind, default: None, optional: false, help }
    }

    /// Sets the default.
    #[must_use]
    pub const fn with_default(mut self, default: &'static str) -> Self {
        self.default = Some(default);
        self
    }

    /// Lets the setting be left out.
    #[must_use]
    pub const fn with_optional(mut self, optional: bool) -> Self {
        self.optional = optional;
        self
    }

    /// Returns the environment variable's name.
    pub fn variable(&self) -> String {
        format!("{VARIABLE_PREFIX}{}", self.flag.to_uppercase().replace('-', "_"))
    }

    /// Returns the line of help that goes under the flag: variable, default, unit and range.
    pub fn describe(&self) -> String {
        let default = self.default.map_or("required".to_owned(), |d| format!("default {d:?}"));
        let kind = match self.kind {
            Kind::Text => "text".to_owned(),
            Kind::Name => "id".to_owned(),
            Kind::Address => "ip:port".to_owned(),
            Kind::Addresses => "ip:port,...".to_owned(),
            Kind::Switch => "true or false".to_owned(),
            Kind::Number { unit, min, max } => format!("{unit}, {min} to {max}"),
            Kind::Decimal { unit, min, max } => format!("{unit}, {min} to {max}, fractions too"),
            Kind::Secret => "secret, variable or file only".to_owned(),
        };
        format!("{} [{}; {kind}; {default}]", self.help, self.variable())
    }
}
