//! Errors of documents and patches. Their texts are part of the operator's interface.

/// Why a document or a patch was rejected. The display text is one sentence for the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// The document is larger than the limit.
    #[error("the document has more than {max_bytes} bytes")]
    DocumentTooLarge {
        /// The limit, in bytes.
        max_bytes: usize,
    },
    /// The document is nested deeper than the limit, which protects the stack of the recursive parser.
    #[error("the document is nested deeper than {max_depth} levels")]
    NestedTooDeeply {
        /// The limit, in levels.
        max_depth: usize,
    },
    /// The document has so many values that parsing it would take too much memory.
    #[error("the document has more than {max_values} values")]
    TooManyValues {
        /// The limit.
        max_values: usize,
    },
    /// The bytes are not valid JSON.
    #[error("the document is not valid JSON: {message}")]
    InvalidJson {
        /// Error message of the parser.
        message: String,
    },
    /// A value that must be an object is of another type.
    #[error("{object} is not an object")]
    NotAnObject {
        /// Description of the value, such as `route 0`.
        object: String,
    },
    /// A field of an object is missing or invalid.
    #[error("{object}: `{field}` {reason}")]
    InvalidField {
        /// Description of the object, such as `route 'r'`.
        object: String,
        /// Name of the field.
        field: String,
        /// Why the field is invalid.
        reason: FieldError,
    },
    /// Two services have the same name.
    #[error("two services have the name '{name}'")]
    DuplicateService {
        /// The duplicate name.
        name: String,
    },
    /// Two routes have the same name.
    #[error("two routes have the name '{name}'")]
    DuplicateRoute {
        /// The duplicate name.
        name: String,
    },
    /// Two routes have the same host and path prefix.
    #[error("routes '{first}' and '{second}' have the same host and prefix")]
    AmbiguousRoutes {
        /// Name of the first route, in the order of the document.
        first: String,
        /// Name of the second route.
        second: String,
    },
    /// The generation of a patch is not above that of the document.
    #[error("generation {generation} is not above the current {current}")]
    StaleGeneration {
        /// Generation of the patch.
        generation: u64,
        /// Generation of the document to which it was applied.
        current: u64,
    },
    /// `upsert` or `remove` of a patch is not an object.
    #[error("the patch: `{section}` must be an object")]
    InvalidPatchSection {
        /// Name of the section.
        section: &'static str,
    },
    /// An entry of `remove` is not an array of strings.
    #[error("the patch: `remove` must hold a list of names under `{key}`")]
    InvalidRemoval {
        /// Key of the entry.
        key: String,
    },
    /// A patch upserts items into a field of the document that is not an array.
    #[error("the document: `{key}` is not a list")]
    NotAList {
        /// Key of the field.
        key: String,
    },
    /// An item that a patch upserts has no name.
    #[error("the patch: an item of `{key}` has no name")]
    UnnamedItem {
        /// Key of the array.
        key: String,
    },
}

/// Why a field is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// A required field is absent or `null`.
    #[error("is missing")]
    Missing,
    /// The value is not a string.
    #[error("must be a string")]
    NotAString,
    /// The value is not a boolean.
    #[error("must be true or false")]
    NotABoolean,
    /// The value is not a number.
    #[error("must be a number")]
    NotANumber,
    /// The number is negative or not finite.
    #[error("must not be negative")]
    Negative,
    /// The number is not an integer.
    #[error("must be an integer")]
    NotAnInteger,
    /// The value is not an array.
    #[error("must be a list")]
    NotAList,
    /// The number is zero, but must be positive.
    #[error("must be above 0")]
    Zero,
    /// A path prefix does not begin or does not end with a slash.
    #[error("must begin and end with a slash")]
    MissingSlash,
    /// A traffic split has no entries, and no other backend is given.
    #[error("has no entries, and no `backend` is given")]
    NoBackend,
    /// All weights of a traffic split are 0.
    #[error("has weights that sum to 0")]
    ZeroWeights,
    /// The field names a service that the document does not define.
    #[error("names the unknown service '{0}'")]
    UnknownService(String),
}
