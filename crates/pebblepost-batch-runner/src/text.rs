//! The text of an item, put together from the events of one or more runs, and the versions of the
//! weights that made it.

use pebblepost_messages::batch::PartialText;
use pebblepost_transcriber::StreamEvent;

/// Why an event can't be added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TextError {
    /// Its id is not one above the last.
    UnexpectedId,
    /// It was made under a version older than allowed.
    VersionTooOld,
    /// It was made under another version than the text before, and a single one is wanted.
    MixedVersions,
}

/// What versions may make a text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionTerms {
    /// Oldest version allowed.
    pub min_version: u64,
    /// The text must be made under a single version.
    pub single_version: bool,
}

/// A text as far as it is known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Text {
    so_far: PartialText,
    /// Version under which the present run makes events; `None` if the run does not tell.
    run_version: Option<u64>,
    /// Length of the message, and count of the versions, before the last event.
    before_last: (usize, usize),
}

impl Text {
    /// Goes on from a kept text, or starts anew if its versions do not fit.
    pub fn from_partial(partial: PartialText, terms: VersionTerms) -> Text {
        let fits = partial.versions.iter().all(|version| *version >= terms.min_version)
            && (!terms.single_version || partial.versions.len() <= 1);
        if !fits || partial.last_event == 0 {
            return Text::default();
        }
        let before_last = (partial.message.len(), partial.versions.len());
        Text { so_far: partial, run_version: None, before_last }
    }

    /// Id of the last event; 0 for none.
    pub fn last_event(&self) -> u64 {
        self.so_far.last_event
    }

    /// Whether a run under this version may go on with the text.
    pub fn can_continue_under(&self, version: Option<u64>, terms: VersionTerms) -> bool {
        match version {
            Some(version) if terms.single_version => {
                self.so_far.versions.iter().all(|other| *other == version)
            }
            _ => true,
        }
    }

    /// Forgets all events.
    pub fn clear(&mut self) {
        *self = Text::default();
    }

    /// A run begins, under this version.
    pub fn begin_run(&mut self, version: Option<u64>) {
        self.run_version = version;
    }

    /// Adds the next event. After an error the text is as it was.
    pub fn add(&mut self, event: &StreamEvent, terms: VersionTerms) -> Result<(), TextError> {
        if event.id != self.so_far.last_event + 1 {
            return Err(TextError::UnexpectedId);
        }
        let version = event.weight_version.or(self.run_version);
        self.check_version(version, terms)?;
        self.run_version = version;
        self.before_last = (self.so_far.message.len(), self.so_far.versions.len());
        if self.so_far.last_event > 0 {
            self.so_far.message.push(b'\n');
        }
        self.so_far.message.extend_from_slice(&event.data);
        self.so_far.last_event = event.id;
        if let Some(version) = version.filter(|version| !self.so_far.versions.contains(version)) {
            self.so_far.versions.push(version);
        }
        Ok(())
    }

    /// The text so far, to be continued by another run.
    pub fn partial(&self) -> PartialText {
        self.so_far.clone()
    }

    /// The text without its last event: for a text that is whole, so that a run which continues it
    /// has an event to make. Nothing if the last event came with an earlier lease.
    pub fn partial_before_last(&self) -> PartialText {
        let (length, versions) = self.before_last;
        if self.so_far.last_event <= 1 || length == self.so_far.message.len() {
            return PartialText::default();
        }
        PartialText {
            last_event: self.so_far.last_event - 1,
            message: self.so_far.message[..length].to_vec(),
            versions: self.so_far.versions[..versions].to_vec(),
        }
    }

    fn check_version(&self, version: Option<u64>, terms: VersionTerms) -> Result<(), TextError> {
        let Some(version) = version else { return Ok(()) };
        if version < terms.min_version {
            return Err(TextError::VersionTooOld);
        }
        if terms.single_version && self.so_far.versions.iter().any(|other| *other != version) {
            return Err(TextError::MixedVersions);
        }
        Ok(())
    }
}

/// What is known of an item that is at work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Failed attempts of the text.
    pub failed_attempts: u32,
    /// Failed attempts of the scorer's call.
    pub failed_scorer_attempts: u32,
    /// The text.
    pub text: Text,
    /// All of the text is there.
    pub is_whole: bool,
}

impl Progress {
    /// The text to hand back.
    pub fn partial(&self) -> PartialText {
        if self.is_whole { self.text.partial_before_last() } else { self.text.partial() }
    }
}
