//! Arguments of commands, checks and settings.

use std::time;

use derive_more::{Deref, Display, From};

/// One argument.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Arg {
    /// A bare word, such as `vm2` or `on`.
    #[display("{_0}")]
    Word(String),
    /// A quoted text.
    #[display("{_0:?}")]
    Text(String),
    /// A whole number.
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

/// A missing argument or one of another type.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ArgError {
    /// There is no argument at this position (counted from 1) or of this name.
    #[error("argument {0} is missing")]
    Missing(String),
    /// The argument has another type.
    #[error("`{found}` is not {expected}")]
    Type {
        /// The type asked for.
        expected: &'static str,
        /// The argument as written.
        found: String,
    },
}

impl Arg {
    /// Returns a word or quoted text.
    pub fn as_text(&self) -> Result<&str, ArgError> {
        match self {
            Arg::Word(text) | Arg::Text(text) => Ok(text),
            _ => Err(self.wrong("a word or text")),
        }
    }

    /// Returns a whole number that is not negative.
    pub fn as_u64(&self) -> Result<u64, ArgError> {
        match self {
            Arg::Integer(value) => {
                u64::try_from(*value).map_err(|_| self.wrong("a number of zero or more"))
            }
            _ => Err(self.wrong("a whole number")),
        }
    }

    /// Returns a whole or decimal number.
    pub fn as_f64(&self) -> Result<f64, ArgError> {
        match self {
            Arg::Integer(value) => Ok(*value as f64),
            Arg::Decimal(value) => Ok(*value),
            _ => Err(self.wrong("a number")),
        }
    }

    /// Returns a duration.
    pub fn as_duration(&self) -> Result<time::Duration, ArgError> {
        match self {
            Arg::Duration(value) => Ok(*value),
            _ => Err(self.wrong("a duration such as 50ms")),
        }
    }

    /// Returns a switch written as `on`, `off`, `true` or `false`.
    pub fn as_bool(&self) -> Result<bool, ArgError> {
        match self {
            Arg::Word(word) if word == "on" || word == "true" => Ok(true),
            Arg::Word(word) if word == "off" || word == "false" => Ok(false),
            _ => Err(self.wrong("on or off")),
        }
    }

    fn wrong(&self, expected: &'static str) -> ArgError {
        ArgError::Type {
            expected,
            found: self.to_string(),
        }
    }
}

/// The arguments of a command or check, in the order written.
///
/// The accessors by position count all arguments, from 0.
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

    /// Returns the whole number at `index`.
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

    /// Returns the value of `name=value`, if given.
    pub fn named(&self, name: &str) -> Option<&Arg> {
        self.0.iter().find_map(|arg| match arg {
            Arg::Named(key, value) if key == name => Some(value.as_ref()),
            _ => None,
        })
    }

    /// Returns the value of `name=value`, which must be given.
    pub fn required(&self, name: &str) -> Result<&Arg, ArgError> {
        self.named(name)
            .ok_or_else(|| ArgError::Missing(name.to_owned()))
    }

    /// Returns the arguments that are not of the form `name=value`.
    pub fn positional(&self) -> impl Iterator<Item = &Arg> {
        self.0.iter().filter(|arg| !matches!(arg, Arg::Named(..)))
    }
}
