//! Names, keys and ids. Each is validated when it is constructed or deserialized, so other code need not.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// Maximum length of a free text such as a reason or a version, in bytes.
pub const MAX_TEXT_BYTES: usize = 400;

/// A string is not a valid name, text or key.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidName {
    /// The name is empty.
    #[error("a name is missing")]
    Empty,
    /// The string exceeds this many bytes.
    #[error("longer than {0} bytes")]
    TooLong(usize),
    /// The string contains a control character.
    #[error("a control character in it")]
    ControlCharacter,
    /// The string has the form of no key or subject, or names an unknown kind.
    #[error(
        "{0:?} is not a valid key or kind: expected drain/WORKER, worker/WORKER, setting/NAME, member/NAME, budget/KIND, halt/KIND, release/KIND, \
         lease/TASK or permit/KIND/NAME, where KIND is dispatcher or worker"
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

/// A free text, such as a reason: 0 to [`MAX_TEXT_BYTES`] bytes, no control characters.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Text(String);

impl Name {
    /// Returns a name that sorts before all valid ones.
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

/// Implements the conversions of a validated string.
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
            /// Returns the string.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    )*};
}
impl_checked_text!(Name, Text);

/// The id of a request, drawn at random by its issuer. A retry, sent because the answer was lost, carries the
/// same id and is applied once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u64, pub u64);

/// The id of one process of a member, drawn at random when the process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IncarnationId(pub u64, pub u64);

/// The kind of subject that a permit takes out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubjectKind {
    /// A dispatcher, which exits when its permit is granted and returns in a new incarnation.
    Dispatcher,
    /// A worker, which has a drain mark for as long as its granted permit lasts.
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

/// One dispatcher or worker. Its string form is `dispatcher/NAME` or `worker/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Subject {
    /// Kind of the subject.
    pub kind: SubjectKind,
    /// Name of the dispatcher or worker.
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

/// The key of a value in the state. Its string form is `drain/WORKER`, `worker/WORKER`, `setting/NAME`,
/// `member/NAME`, `budget/KIND`, `halt/KIND`, `release/KIND`, `lease/TASK` or `permit/KIND/NAME`. Drains sort
/// first and permits last; range scans of the entries rely on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Key {
    /// The drain mark of a worker.
    Drain(Name),
    /// The last known record of a worker.
    Worker(Name),
    /// The value of a setting.
    Setting(Name),
    /// A member: a dispatcher or a replica.
    Member(Name),
    /// The disruption budget of one kind.
    Budget(SubjectKind),
    /// The halt of one kind: none of its permits are granted.
    Halt(SubjectKind),
    /// The release in progress for one kind.
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

/// Implements the conversions by which serde stores a type in its string form.
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
