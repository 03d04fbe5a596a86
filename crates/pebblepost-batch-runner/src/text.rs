//! Generated text of an item, assembled from the events of one or more attempts, and the weight versions under which
//! it was generated.
//!
//! Checks that each event may be appended. Performs no I/O and does not depend on leases.

use pebblepost_messages::batch::PartialText;
use pebblepost_transcriber::StreamEvent;
use thiserror::Error;

/// Maximum length of a text. Each message that carries one must fit a link.
pub const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;

/// Reason why an event cannot be appended to a text.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AppendError {
    /// The id of the event does not follow the id of the last event.
    #[error("event id does not follow the id of the last event")]
    UnexpectedEventId,
    /// The event was generated under a version below the required minimum.
    #[error("event was generated under a version below the required minimum")]
    VersionTooOld,
    /// The event was generated under another version than the text, but a single version is required.
    #[error("event was generated under another version than the text, which requires a single version")]
    MixedVersions,
    /// The text would be longer than [`MAX_TEXT_BYTES`].
    #[error("text would be longer than {MAX_TEXT_BYTES} bytes")]
    TooLong,
}

/// Weight versions under which a text may be generated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionRequirement {
    /// Oldest allowed version.
    pub min_version: u64,
    /// Whether the whole text must be generated under a single version.
    pub single_version: bool,
}

impl VersionRequirement {
    /// Returns whether a text generated under these versions may be used.
    fn allows(&self, versions: &[u64]) -> bool {
        versions.iter().all(|version| *version >= self.min_version)
            && (!self.single_version || versions.len() <= 1)
    }
}

/// Length of a text at an earlier time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TextLength {
    message_bytes: usize,
    version_count: usize,
}

/// A text with the events that have arrived so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GeneratedText {
    content: PartialText,
    /// Version under which the current attempt generates events; `None` if the transcriber does not state it.
    attempt_version: Option<u64>,
    /// Length of the text before its last event.
    before_last_event: TextLength,
}

impl GeneratedText {
    /// Creates a text from a stored one. The result is empty if the versions of the stored text are not allowed.
    pub fn from_partial(partial: PartialText, requirement: VersionRequirement) -> GeneratedText {
        if !requirement.allows(&partial.versions) || partial.last_event == 0 {
            return GeneratedText::default();
        }
        let before_last_event = length_of(&partial);
        GeneratedText { content: partial, attempt_version: None, before_last_event }
    }

    /// Returns the id of the last event, or 0 if there is none.
    pub fn last_event(&self) -> u64 {
        self.content.last_event
    }

    /// Returns whether an attempt under this version may resume the text.
    pub fn can_resume_under(&self, version: Option<u64>, requirement: VersionRequirement) -> bool {
        match version {
            Some(version) if requirement.single_version => {
                self.content.versions.iter().all(|other| *other == version)
            }
            _ => true,
        }
    }

    /// Removes all events.
    pub fn clear(&mut self) {
        *self = GeneratedText::default();
    }

    /// Records that an attempt under this version starts.
    pub fn start_attempt(&mut self, version: Option<u64>) {
        self.attempt_version = version;
    }

    /// Appends the next event.
    ///
    /// # Errors
    /// The event does not follow the last one, its version is not allowed, or the text would be too long. The text is
    /// then unchanged.
    pub fn append(
        &mut self, event: &StreamEvent, requirement: VersionRequirement,
    ) -> Result<(), AppendError> {
        if event.id != self.content.last_event + 1 {
            return Err(AppendError::UnexpectedEventId);
        }
        if self.content.message.len() + event.data.len() >= MAX_TEXT_BYTES {
            return Err(AppendError::TooLong);
        }
        let version = event.weight_version.or(self.attempt_version);
        self.check_version(version, requirement)?;
        self.attempt_version = version;
        self.before_last_event = length_of(&self.content);
        if self.content.last_event > 0 {
            self.content.message.push(b'\n');
        }
        self.content.message.extend_from_slice(&event.data);
        self.content.last_event = event.id;
        if let Some(version) = version.filter(|version| !self.content.versions.contains(version)) {
            self.content.versions.push(version);
        }
        Ok(())
    }

    /// Returns the text so far, which another attempt can resume.
    pub fn partial(&self) -> PartialText {
        self.content.clone()
    }

    /// Returns the text without its last event. A complete text is stored in this form, because an attempt that
    /// resumes it must have at least one event to generate.
    ///
    /// The result is empty if the last event arrived under an earlier lease.
    pub fn partial_before_last_event(&self) -> PartialText {
        let TextLength { message_bytes, version_count } = self.before_last_event;
        if self.content.last_event <= 1 || message_bytes == self.content.message.len() {
            return PartialText::default();
        }
        PartialText {
            last_event: self.content.last_event - 1,
            message: self.content.message[..message_bytes].to_vec(),
            versions: self.content.versions[..version_count].to_vec(),
        }
    }

    fn check_version(
        &self, version: Option<u64>, requirement: VersionRequirement,
    ) -> Result<(), AppendError> {
        let Some(version) = version else { return Ok(()) };
        if version < requirement.min_version {
            return Err(AppendError::VersionTooOld);
        }
        if requirement.single_version && self.content.versions.iter().any(|other| *other != version) {
            return Err(AppendError::MixedVersions);
        }
        Ok(())
    }
}

fn length_of(partial: &PartialText) -> TextLength {
    TextLength { message_bytes: partial.message.len(), version_count: partial.versions.len() }
}
