//! Names, keys and ids: short, printable, checked where they are made, so that no later code has to.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Longest name, in bytes.
pub const MAX_NAME: usize = 200;
/// Longest free text (a reason, a version), in bytes.
pub const MAX_TEXT: usize = 400;

/// Why a text is no name or no key.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadName {
    /// Nothing in it.
    #[error("a name is missing")]
    Empty,
    /// It has too many bytes.
    #[error("longer than {0} bytes")]
    Long(usize),
    /// It has a control character in it.
    #[error("a control character in it")]
    Control,
    /// It names no part of the state.
    #[error(
        "{0:?} is none of drain/WORKER, worker/WORKER, setting/NAME, member/NAME, budget/KIND, halt/KIND, release/KIND, lease/TASK, permit/KIND/NAME \
         (KIND: dispatcher, worker)"
    )]
    Kind(String),
}

fn sound(text: &str, longest: usize) -> Result<(), BadName> {
    match text {
        _ if text.len() > longest => Err(BadName::Long(longest)),
        _ if text.chars().any(char::is_control) => Err(BadName::Control),
        _ => Ok(()),
    }
}

/// The name of a worker, a member or a setting: 1 to [`MAX_NAME`] bytes, no control characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "String", into = "String")]
pub struct Name(#[schemars(length(min = 1, max = 200))] String);

/// A reason or the like: at most [`MAX_TEXT`] bytes, no control characters, may be empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "String", into = "String")]
pub struct Text(#[schemars(length(max = 400))] String);

impl Name {
    /// Comes before all others in their order.
    pub(crate) fn first() -> Self {
        Self(String::new())
    }
}

impl TryFrom<String> for Name {
    type Error = BadName;
    fn try_from(text: String) -> Result<Self, BadName> {
        if text.is_empty() {
            return Err(BadName::Empty);
        }
        sound(&text, MAX_NAME).map(|()| Self(text))
    }
}

impl TryFrom<String> for Text {
    type Error = BadName;
    fn try_from(text: String) -> Result<Self, BadName> {
        sound(&text, MAX_TEXT).map(|()| Self(text))
    }
}

macro_rules! text_like {
    ($($kind:ident),*) => {$(
        impl From<$kind> for String {
            fn from(text: $kind) -> Self {
                text.0
            }
        }
        impl FromStr for $kind {
            type Err = BadName;
            fn from_str(text: &str) -> Result<Self, BadName> {
                text.to_owned().try_into()
            }
        }
        impl fmt::Display for $kind {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl $kind {
            /// The text itself.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    )*};
}
text_like!(Name, Text);

/// Tells one request from another, so that one asked again (its answer was lost) is applied once. Drawn at random by
/// whoever asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
pub struct RequestId(pub u64, pub u64);

/// What is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A dispatcher: it ends itself once it has its permit, and is back in a new life.
    Dispatcher,
    /// A worker: it has a drain mark for as long as its permit lasts.
    Worker,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Dispatcher => "dispatcher",
            Self::Worker => "worker",
        })
    }
}

impl FromStr for Kind {
    type Err = BadName;
    fn from_str(text: &str) -> Result<Self, BadName> {
        match text {
            "dispatcher" => Ok(Self::Dispatcher),
            "worker" => Ok(Self::Worker),
            _ => Err(BadName::Kind(text.to_owned())),
        }
    }
}

/// One dispatcher or worker. As text: `dispatcher/NAME`, `worker/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String")]
pub struct Subject {
    /// What it is.
    pub kind: Kind,
    /// Its name.
    pub name: Name,
}

impl FromStr for Subject {
    type Err = BadName;
    fn from_str(text: &str) -> Result<Self, BadName> {
        let (kind, name) = text.split_once('/').ok_or_else(|| BadName::Kind(text.to_owned()))?;
        Ok(Self { kind: kind.parse()?, name: name.parse()? })
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// A place in the state. As text: `drain/WORKER`, `worker/WORKER`, `setting/NAME`, `member/NAME`, `budget/KIND`, `halt/KIND`,
/// `release/KIND`, `lease/TASK`, `permit/KIND/NAME`. Permits come last in their order: see [`State`](crate::State).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String")]
pub enum Key {
    /// A worker's drain mark.
    Drain(Name),
    /// A worker as it was last known.
    Worker(Name),
    /// A setting that may change while programs run.
    Setting(Name),
    /// A dispatcher or a keeper.
    Member(Name),
    /// How many of a kind may be out at once.
    Budget(Kind),
    /// Whether nothing more of a kind may go out.
    Halt(Kind),
    /// The release that goes on.
    Release(Kind),
    /// Who does a task for the whole fleet.
    Lease(Name),
    /// Whether one may go out.
    Permit(Subject),
}

impl FromStr for Key {
    type Err = BadName;
    fn from_str(text: &str) -> Result<Self, BadName> {
        let (kind, name) = text.split_once('/').ok_or_else(|| BadName::Kind(text.to_owned()))?;
        match kind {
            "drain" => Ok(Self::Drain(name.parse()?)),
            "worker" => Ok(Self::Worker(name.parse()?)),
            "setting" => Ok(Self::Setting(name.parse()?)),
            "member" => Ok(Self::Member(name.parse()?)),
            "budget" => Ok(Self::Budget(name.parse()?)),
            "halt" => Ok(Self::Halt(name.parse()?)),
            "release" => Ok(Self::Release(name.parse()?)),
            "lease" => Ok(Self::Lease(name.parse()?)),
            "permit" => Ok(Self::Permit(name.parse()?)),
            _ => Err(BadName::Kind(text.to_owned())),
        }
    }
}

/// What has a text of its own is carried as that.
macro_rules! by_text {
    ($($kind:ident),*) => {$(
        impl TryFrom<String> for $kind {
            type Error = BadName;
            fn try_from(text: String) -> Result<Self, BadName> {
                text.parse()
            }
        }
        impl From<$kind> for String {
            fn from(kind: $kind) -> Self {
                kind.to_string()
            }
        }
    )*};
}
by_text!(Key, Subject);

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, name): (_, &dyn fmt::Display) = match self {
            Self::Drain(name) => ("drain", name),
            Self::Worker(name) => ("worker", name),
            Self::Setting(name) => ("setting", name),
            Self::Member(name) => ("member", name),
            Self::Budget(kind) => ("budget", kind),
            Self::Halt(kind) => ("halt", kind),
            Self::Release(kind) => ("release", kind),
            Self::Lease(name) => ("lease", name),
            Self::Permit(subject) => ("permit", subject),
        };
        write!(f, "{kind}/{name}")
    }
}
