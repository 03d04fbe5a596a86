//! Why a document or a patch is rejected. The texts are part of the operator's interface.

/// A document or patch was rejected. The text is one sentence for the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// The document is larger than the parser is given.
    #[error("the document has more than {max_bytes} bytes")]
    DocumentTooLarge {
        /// Largest size, in bytes.
        max_bytes: usize,
    },
    /// The document is nested deeper than the recursive parser is given.
    #[error("the document is nested deeper than {max_depth} levels")]
    NestedTooDeeply {
        /// Deepest nesting, in levels.
        max_depth: usize,
    },
    /// The bytes are not valid JSON.
    #[error("the document is not valid JSON: {message}")]
    InvalidJson {
        /// Message of the parser.
        message: String,
    },
    /// A value that must be an object is of another type.
    #[error("{object} is not an object")]
    NotAnObject {
        /// What the value stands for.
        object: String,
    },
    /// A field of an object is missing or invalid.
    #[error("{object}: `{field}` {reason}")]
    InvalidField {
        /// What the object stands for.
        object: String,
        /// Name of the field.
        field: String,
        /// What is wrong with it.
        reason: FieldError,
    },
    /// Two services have the same name.
    #[error("two services have the name '{name}'")]
    DuplicateService {
        /// The name.
        name: String,
    },
    /// Two routes have the same name.
    #[error("two routes have the name '{name}'")]
    DuplicateRoute {
        /// The name.
        name: String,
    },
    /// Two routes match the same host and prefix.
    #[error("routes '{first}' and '{second}' have the same host and prefix")]
    AmbiguousRoutes {
        /// Name of the route that comes first in the document.
        first: String,
        /// Name of the other one.
        second: String,
    },
    /// A patch does not raise the generation.
    #[error("generation {generation} is not above the current {current}")]
    StaleGeneration {
        /// Generation of the patch.
        generation: u64,
        /// Generation of the document that it was applied to.
        current: u64,
    },
    /// `upsert` or `remove` of a patch is not an object.
    #[error("the patch: `{section}` must be an object")]
    InvalidPatchSection {
        /// Name of the section.
        section: &'static str,
    },
    /// An entry of `remove` is not a list of names.
    #[error("the patch: `remove` must hold a list of names under `{key}`")]
    InvalidRemoval {
        /// Key of the entry.
        key: String,
    },
    /// A patch upserts items into a field of the document that is not a list.
    #[error("the document: `{key}` is no list")]
    NotAList {
        /// Key of the field.
        key: String,
    },
    /// An item that a patch upserts has no name.
    #[error("the patch: an item of `{key}` has no name")]
    UnnamedItem {
        /// Key of the list.
        key: String,
    },
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// A required field is absent or `null`.
    #[error("is missing")]
    Missing,
    /// Not a string.
    #[error("must be a text")]
    NotAString,
    /// Not a boolean.
    #[error("must be true or false")]
    NotABoolean,
    /// Not a number.
    #[error("must be a number")]
    NotANumber,
    /// Negative, or not finite.
    #[error("must not be negative")]
    Negative,
    /// Not an integer.
    #[error("must be a whole number")]
    NotAnInteger,
    /// Not a list.
    #[error("must be a list")]
    NotAList,
    /// Zero where a positive number is required.
    #[error("must be above 0")]
    Zero,
    /// A path prefix without a slash at its beginning or end.
    #[error("must begin and end with a slash")]
    MissingSlash,
    /// A traffic split without entries, and no other backend.
    #[error("names no service")]
    NoBackend,
    /// A traffic split of which all weights are 0.
    #[error("has weights that sum to 0")]
    ZeroWeights,
    /// The document has no service of this name.
    #[error("names the unknown service '{0}'")]
    UnknownService(String),
}
