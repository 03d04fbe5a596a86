//! The generated text of an item, assembled from the events of one or more attempts, and the weight
//! versions that made it.
//!
//! Owns the text and the checks of an event against it. Reads no sockets and knows no leases.

use pebblepost_messages::batch::PartialText;
use pebblepost_transcriber::StreamEvent;
use thiserror::Error;

/// Why an event can't be appended to a text.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TextError {
    /// The id of the event is not the successor of the last event's id.
    #[error("the event id does not follow the last one")]
    UnexpectedEventId,
    /// The event was made under a version below the required minimum.
    #[error("the event was made under a version older than allowed")]
    VersionTooOld,
    /// The event was made under another version than the text, and a single one is required.
    #[error("the event was made under another version than the text")]
    MixedVersions,
}

/// Weight versions that may make a text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionRequirement {
    /// Oldest version allowed.
    pub min_version: u64,
    /// The whole text must be made under a single version.
    pub single_version: bool,
}

impl VersionRequirement {
    /// Whether a text made under these versions may be used.
    fn allows(&self, versions: &[u64]) -> bool {
        versions.iter().all(|version| *version >= self.min_version)
            && (!self.single_version || versions.len() <= 1)
    }
}

/// Lengths of a text at an earlier moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Watermark {
    message_bytes: usize,
    version_count: usize,
}

/// A text as far as its events have arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Text {
    content: PartialText,
    /// Version under which the current attempt makes events; `None` if the transcriber does not say.
    attempt_version: Option<u64>,
    /// The text before its last event.
    before_last_event: Watermark,
}

impl Text {
    /// Resumes a stored text; an empty one if its versions do not meet the requirement.
    pub fn from_partial(partial: PartialText, requirement: VersionRequirement) -> Text {
        if !requirement.allows(&partial.versions) || partial.last_event == 0 {
            return Text::default();
        }
        let before_last_event = watermark(&partial);
        Text { content: partial, attempt_version: None, before_last_event }
    }

    /// Id of the last event; 0 if there is none.
    pub fn last_event(&self) -> u64 {
        self.content.last_event
    }

    /// Whether an attempt under this version may resume the text.
    pub fn can_resume_under(&self, version: Option<u64>, requirement: VersionRequirement) -> bool {
        match version {
            Some(version) if requirement.single_version => {
                self.content.versions.iter().all(|other| *other == version)
            }
            _ => true,
        }
    }

    /// Drops all events.
    pub fn clear(&mut self) {
        *self = Text::default();
    }

    /// Notes that an attempt under this version starts.
    pub fn start_attempt(&mut self, version: Option<u64>) {
        self.attempt_version = version;
    }

    /// Appends the next event.
    ///
    /// # Errors
    /// The event does not follow the last one, or its version is not allowed; the text is then unchanged.
    pub fn append(&mut self, event: &StreamEvent, requirement: VersionRequirement) -> Result<(), TextError> {
        if event.id != self.content.last_event + 1 {
            return Err(TextError::UnexpectedEventId);
        }
        let version = event.weight_version.or(self.attempt_version);
        self.check_version(version, requirement)?;
        self.attempt_version = version;
        self.before_last_event = watermark(&self.content);
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

    /// The text so far, for another attempt to resume.
    pub fn partial(&self) -> PartialText {
        self.content.clone()
    }

    /// The text without its last event. A complete text is stored this way, as an attempt that resumes
    /// it needs an event to make. Empty if the last event came under an earlier lease.
    pub fn partial_before_last_event(&self) -> PartialText {
        let Watermark { message_bytes, version_count } = self.before_last_event;
        if self.content.last_event <= 1 || message_bytes == self.content.message.len() {
            return PartialText::default();
        }
        PartialText {
            last_event: self.content.last_event - 1,
            message: self.content.message[..message_bytes].to_vec(),
            versions: self.content.versions[..version_count].to_vec(),
        }
    }

    fn check_version(&self, version: Option<u64>, requirement: VersionRequirement) -> Result<(), TextError> {
        let Some(version) = version else { return Ok(()) };
        if version < requirement.min_version {
            return Err(TextError::VersionTooOld);
        }
        if requirement.single_version && self.content.versions.iter().any(|other| *other != version) {
            return Err(TextError::MixedVersions);
        }
        Ok(())
    }
}

fn watermark(partial: &PartialText) -> Watermark {
    Watermark { message_bytes: partial.message.len(), version_count: partial.versions.len() }
}
