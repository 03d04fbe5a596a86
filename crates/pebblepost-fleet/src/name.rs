//! Names, keys and ids: short and printable. They are checked where they are made, so no later code has to.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// Longest free text (a reason, a version), in bytes.
pub const MAX_TEXT_BYTES: usize = 400;

/// Why a text is not a valid name, text or key.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidName {
    /// It is empty.
    #[error("a name is missing")]
    Empty,
    /// It has more than this many bytes.
    #[error("longer than {0} bytes")]
    TooLong(usize),
    /// It has a control character.
    #[error("a control character in it")]
    ControlCharacter,
    /// It has no known prefix.
    #[error(
        "{0:?} is none of drain/WORKER, worker/WORKER, setting/NAME, member/NAME, budget/KIND, halt/KIND, release/KIND, lease/TASK, permit/KIND/NAME \
         (KIND: dispatcher, worker)"
    )]
    UnknownKind(String),
}

fn validate(text: &str, max_bytes: usize) -> Result<(), InvalidName> {
    match text {
        _ if text.len() > max_bytes => Err(InvalidName::TooLong(max_bytes)),
        _ if text.chars().any(char::is_control) => Err(InvalidName::ControlCharacter),
        _ => Ok(()),
    }
}

/// The name of a worker, a member or a setting: 1 to [`MAX_NAME_BYTES`] bytes, no control characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

/// A reason or the like: at most [`MAX_TEXT_BYTES`] bytes, no control characters, may be empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Text(String);

impl Name {
    /// Comes before all valid names in their order.
    pub(crate) fn lowest() -> Self {
        Self(String::new())
    }
}

impl TryFrom<String> for Name {
    type Error = InvalidName;
    fn try_from(text: String) -> Result<Self, InvalidName> {
        if text.is_empty() {
            return Err(InvalidName::Empty);
        }
        validate(&text, MAX_NAME_BYTES).map(|()| Self(text))
    }
}

impl TryFrom<String> for Text {
    type Error = InvalidName;
    fn try_from(text: String) -> Result<Self, InvalidName> {
        validate(&text, MAX_TEXT_BYTES).map(|()| Self(text))
    }
}

/// Conversions of a checked text.
macro_rules! impl_checked_text {
    ($($kind:ident),*) => {$(
        impl From<$kind> for String {
            fn from(text: $kind) -> Self {
                text.0
            }
        }
        impl FromStr for $kind {
            type Err = InvalidName;
            fn from_str(text: &str) -> Result<Self, InvalidName> {
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
impl_checked_text!(Name, Text);

/// Identifies a request, so that a retry (the answer was lost) is applied once. Drawn at random by the
/// issuer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u64, pub u64);

/// Identifies one process of a member: drawn at random when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IncarnationId(pub u64, pub u64);

/// What a permit takes out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubjectKind {
    /// A dispatcher: it exits once it has its permit, and returns in a new incarnation.
    Dispatcher,
    /// A worker: it has a drain mark for as long as its granted permit lasts.
    Worker,
}

impl fmt::Display for SubjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Dispatcher => "dispatcher",
            Self::Worker => "worker",
        })
    }
}

impl FromStr for SubjectKind {
    type Err = InvalidName;
    fn from_str(text: &str) -> Result<Self, InvalidName> {
        match text {
            "dispatcher" => Ok(Self::Dispatcher),
            "worker" => Ok(Self::Worker),
            _ => Err(InvalidName::UnknownKind(text.to_owned())),
        }
    }
}

/// One dispatcher or worker. As text: `dispatcher/NAME`, `worker/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Subject {
    /// Its kind.
    pub kind: SubjectKind,
    /// Its name.
    pub name: Name,
}

impl FromStr for Subject {
    type Err = InvalidName;
    fn from_str(text: &str) -> Result<Self, InvalidName> {
        let (kind, name) = text.split_once('/').ok_or_else(|| InvalidName::UnknownKind(text.to_owned()))?;
        Ok(Self { kind: kind.parse()?, name: name.parse()? })
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// The key of a value in the state. As text: `drain/WORKER`, `worker/WORKER`, `setting/NAME`, `member/NAME`,
/// `budget/KIND`, `halt/KIND`, `release/KIND`, `lease/TASK`, `permit/KIND/NAME`. Permits come last in their
/// order, and drains first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Key {
    /// A worker's drain mark.
    Drain(Name),
    /// A worker as it was last known.
    Worker(Name),
    /// A setting's value.
    Setting(Name),
    /// A dispatcher or a replica.
    Member(Name),
    /// The disruption budget of a kind.
    Budget(SubjectKind),
    /// A halt of a kind.
    Halt(SubjectKind),
    /// The release in progress.
    Release(SubjectKind),
    /// The lease of a task.
    Lease(Name),
    /// The permit of a dispatcher or worker.
    Permit(Subject),
}

impl FromStr for Key {
    type Err = InvalidName;
    fn from_str(text: &str) -> Result<Self, InvalidName> {
        let (kind, name) = text.split_once('/').ok_or_else(|| InvalidName::UnknownKind(text.to_owned()))?;
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
            _ => Err(InvalidName::UnknownKind(text.to_owned())),
        }
    }
}

/// The conversions by which serde stores a type as its text.
macro_rules! impl_serde_by_text {
    ($($kind:ident),*) => {$(
        impl TryFrom<String> for $kind {
            type Error = InvalidName;
            fn try_from(text: String) -> Result<Self, InvalidName> {
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
impl_serde_by_text!(Key, Subject);

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
