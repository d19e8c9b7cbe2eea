//! Typed arguments of commands, checks and settings, as the parser reads them from a script.

use std::time;

use derive_more::{Deref, Display, From};

/// One argument.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Arg {
    /// A word without quotes, such as `vm2` or `on`.
    #[display("{_0}")]
    Word(String),
    /// A quoted text.
    #[display("{_0:?}")]
    Text(String),
    /// An integer.
    #[display("{_0}")]
    Integer(i64),
    /// A number with a decimal point.
    #[display("{_0}")]
    Decimal(f64),
    /// A duration with a unit, such as `50ms`.
    #[display("{_0:?}")]
    Duration(time::Duration),
    /// `name=value`.
    #[display("{_0}={_1}")]
    Named(String, Box<Arg>),
}

/// An argument that is missing or has the wrong type.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ArgError {
    /// No argument has this position (counted from 1) or this name.
    #[error("argument {0} is missing")]
    Missing(String),
    /// The argument has the wrong type.
    #[error("`{found}` is not {expected}")]
    Type {
        /// The expected type.
        expected: &'static str,
        /// The argument as written in the script.
        found: String,
    },
}

impl Arg {
    /// Returns the value of a word or quoted text.
    pub fn as_text(&self) -> Result<&str, ArgError> {
        match self {
            Arg::Word(text) | Arg::Text(text) => Ok(text),
            _ => Err(self.type_error("a word or text")),
        }
    }

    /// Returns the value of an integer that is not negative.
    pub fn as_u64(&self) -> Result<u64, ArgError> {
        match self {
            Arg::Integer(value) => {
                u64::try_from(*value).map_err(|_| self.type_error("a number of zero or more"))
            }
            _ => Err(self.type_error("a whole number")),
        }
    }

    /// Returns the value of an integer or a decimal number.
    pub fn as_f64(&self) -> Result<f64, ArgError> {
        match self {
            Arg::Integer(value) => Ok(*value as f64),
            Arg::Decimal(value) => Ok(*value),
            _ => Err(self.type_error("a number")),
        }
    }

    /// Returns the value of a duration.
    pub fn as_duration(&self) -> Result<time::Duration, ArgError> {
        match self {
            Arg::Duration(value) => Ok(*value),
            _ => Err(self.type_error("a duration such as 50ms")),
        }
    }

    /// Returns the value of a switch: true for `on` and `true`, false for `off` and `false`.
    pub fn as_bool(&self) -> Result<bool, ArgError> {
        match self {
            Arg::Word(word) if word == "on" || word == "true" => Ok(true),
            Arg::Word(word) if word == "off" || word == "false" => Ok(false),
            _ => Err(self.type_error("on or off")),
        }
    }

    fn type_error(&self, expected: &'static str) -> ArgError {
        ArgError::Type {
            expected,
            found: self.to_string(),
        }
    }
}

/// The arguments of a command or check, in script order.
///
/// Positions count all arguments, named ones included, from 0.
#[derive(Clone, Debug, Default, Deref, From, PartialEq)]
pub struct Args(pub Vec<Arg>);

impl Args {
    /// Returns the argument at `index`.
    pub fn at(&self, index: usize) -> Result<&Arg, ArgError> {
        self.0
            .get(index)
            .ok_or_else(|| ArgError::Missing((index + 1).to_string()))
    }

    /// Returns the word or quoted text at `index`.
    pub fn text(&self, index: usize) -> Result<&str, ArgError> {
        self.at(index)?.as_text()
    }

    /// Returns the integer at `index`, which must not be negative.
    pub fn u64(&self, index: usize) -> Result<u64, ArgError> {
        self.at(index)?.as_u64()
    }

    /// Returns the number at `index`.
    pub fn f64(&self, index: usize) -> Result<f64, ArgError> {
        self.at(index)?.as_f64()
    }

    /// Returns the duration at `index`.
    pub fn duration(&self, index: usize) -> Result<time::Duration, ArgError> {
        self.at(index)?.as_duration()
    }

    /// Returns the value of the argument `name=value`, if present.
    pub fn named(&self, name: &str) -> Option<&Arg> {
        self.0.iter().find_map(|arg| match arg {
            Arg::Named(key, value) if key == name => Some(value.as_ref()),
            _ => None,
        })
    }

    /// Returns the value of the argument `name=value`.
    ///
    /// # Errors
    ///
    /// Returns [`ArgError::Missing`] if there is no such argument.
    pub fn required(&self, name: &str) -> Result<&Arg, ArgError> {
        self.named(name)
            .ok_or_else(|| ArgError::Missing(name.to_owned()))
    }

    /// Returns the arguments that are not of the form `name=value`.
    pub fn positional(&self) -> impl Iterator<Item = &Arg> {
        self.0.iter().filter(|arg| !matches!(arg, Arg::Named(..)))
    }
}
