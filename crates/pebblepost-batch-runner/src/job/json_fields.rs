//! Reads the fields of a job from its JSON text, without holding the text as a whole or building a tree of values.

use super::error::{FieldError, JobError};
use super::job_memory::JobMemory;
use crate::text_blocks::TextBlocks;
use base64::engine::general_purpose::STANDARD;
use base64::read::DecoderReader;
use pebblepost_configuration::MAX_NESTING_LEVELS;
use pebblepost_memory::{BlockBuffer, BlockReader, OutOfMemory};
use std::io::{self, Read};
use struson::reader::{JsonReader, JsonStreamReader, ReaderError, ReaderSettings, ValueType};

/// Size of [`JsonFields::chunk`].
const CHUNK_BYTES: usize = 4 * 1024;
/// First capacity of a string.
const FIRST_STRING_BYTES: usize = 64;

/// Reason why a field cannot be read.
#[derive(Debug)]
pub(super) enum ReadError {
    /// The text is not JSON.
    Json(ReaderError),
    /// The text of a string is not JSON.
    JsonString(io::Error),
    /// The memory budget is exhausted.
    Memory(OutOfMemory),
    /// The field is not what it must be.
    Field(FieldError),
}

impl From<ReaderError> for ReadError {
    fn from(error: ReaderError) -> ReadError {
        ReadError::Json(error)
    }
}

impl From<OutOfMemory> for ReadError {
    fn from(error: OutOfMemory) -> ReadError {
        ReadError::Memory(error)
    }
}

impl From<FieldError> for ReadError {
    fn from(error: FieldError) -> ReadError {
        ReadError::Field(error)
    }
}

impl ReadError {
    /// Converts the error; that of a field by `of_field`.
    pub(super) fn into_job_error(self, of_field: impl FnOnce(FieldError) -> JobError) -> JobError {
        match self {
            ReadError::Json(ReaderError::MaxNestingDepthExceeded { .. }) => JobError::NestedTooDeeply,
            ReadError::Json(error) => JobError::NotJson(error.to_string()),
            ReadError::JsonString(error) => JobError::NotJson(error.to_string()),
            ReadError::Memory(error) => JobError::OutOfMemory(error),
            ReadError::Field(error) => of_field(error),
        }
    }
}

/// Reads values in the order of the text.
pub(super) struct JsonFields {
    reader: JsonStreamReader<BlockReader>,
    pub(super) memory: JobMemory,
    /// Buffer between the text of a field and its blocks.
    chunk: Vec<u8>,
}

impl JsonFields {
    /// Starts at the beginning of a text.
    pub(super) fn new(text: BlockBuffer) -> JsonFields {
        let (blocks, reservation) = text.into_reader();
        let memory = JobMemory::new(reservation, blocks.unread_bytes());
        let settings = ReaderSettings {
            track_path: false,
            max_nesting_depth: u32::try_from(MAX_NESTING_LEVELS).ok(),
            restrict_number_values: false,
            ..ReaderSettings::default()
        };
        let reader = JsonStreamReader::new_custom(blocks, settings);
        JsonFields { reader, memory, chunk: vec![0; CHUNK_BYTES] }
    }

    /// Enters an object. Skips any other value and returns false.
    pub(super) fn enter_object(&mut self) -> Result<bool, ReadError> {
        if self.reader.peek()? != ValueType::Object {
            self.reader.skip_value()?;
            return Ok(false);
        }
        self.reader.begin_object()?;
        Ok(true)
    }

    /// Returns the name of the next field of an object, or leaves the object and returns `None`.
    pub(super) fn next_name(&mut self) -> Result<Option<String>, ReadError> {
        if !self.reader.has_next()? {
            self.reader.end_object()?;
            return Ok(None);
        }
        let name = self.reader.next_name_owned()?;
        self.memory.add_name(name.len())?;
        Ok(Some(name))
    }

    /// Enters an array. Skips any other value and returns false.
    pub(super) fn enter_array(&mut self) -> Result<bool, ReadError> {
        if self.reader.peek()? != ValueType::Array {
            self.reader.skip_value()?;
            return Ok(false);
        }
        self.reader.begin_array()?;
        Ok(true)
    }

    /// Returns whether the array has another element; otherwise leaves the array.
    pub(super) fn has_element(&mut self) -> Result<bool, ReadError> {
        if self.reader.has_next()? {
            return Ok(true);
        }
        self.reader.end_array()?;
        Ok(false)
    }

    /// Skips a `null` and returns whether there was one. A field that is `null` counts as missing.
    pub(super) fn skip_null(&mut self) -> Result<bool, ReadError> {
        if self.reader.peek()? != ValueType::Null {
            return Ok(false);
        }
        self.reader.next_null()?;
        Ok(true)
    }

    /// Skips the next value.
    pub(super) fn skip(&mut self) -> Result<(), ReadError> {
        Ok(self.reader.skip_value()?)
    }

    /// Reads a string. Returns an empty one for `null`.
    pub(super) fn text(&mut self, name: &'static str) -> Result<String, ReadError> {
        if !self.starts_string(name)? {
            return Ok(String::new());
        }
        let mut bytes = Vec::new();
        let mut reader = self.reader.next_string_reader()?;
        loop {
            let length = reader.read(&mut self.chunk).map_err(ReadError::JsonString)?;
            if length == 0 {
                break;
            }
            reserve(&mut bytes, length, &mut self.memory)?;
            bytes.extend_from_slice(&self.chunk[..length]);
        }
        String::from_utf8(bytes).map_err(|_| FieldError::NotAString(name).into())
    }

    /// Reads the value of a header.
    pub(super) fn header_value(&mut self, name: &str) -> Result<TextBlocks, ReadError> {
        if self.reader.peek()? != ValueType::String {
            return Err(FieldError::HeaderNotAString(name.to_owned()).into());
        }
        let reader = self.reader.next_string_reader()?;
        read_blocks(reader, &mut self.chunk).map_err(ReadError::JsonString)
    }

    /// Reads and decodes a base64 string. Returns no bytes for `null`.
    pub(super) fn base64_bytes(&mut self, name: &'static str) -> Result<TextBlocks, ReadError> {
        if !self.starts_string(name)? {
            return Ok(TextBlocks::default());
        }
        let reader = self.reader.next_string_reader()?;
        read_blocks(DecoderReader::new(reader, &STANDARD), &mut self.chunk).map_err(|error| {
            match error.get_ref().is_some_and(|cause| cause.is::<base64::DecodeError>()) {
                true => ReadError::Field(FieldError::NotBase64(name)),
                false => ReadError::JsonString(error),
            }
        })
    }

    /// Reads an unsigned integer. Returns 0 for `null`.
    pub(super) fn unsigned_integer(&mut self, name: &'static str) -> Result<u64, ReadError> {
        if self.skip_null()? {
            return Ok(0);
        }
        if self.reader.peek()? != ValueType::Number {
            return Err(FieldError::NotAnUnsignedInteger(name).into());
        }
        let number = self.reader.next_number_as_str()?.parse();
        number.map_err(|_| FieldError::NotAnUnsignedInteger(name).into())
    }

    /// Checks that nothing follows the value, and returns the reserved memory.
    pub(super) fn finish(self) -> Result<JobMemory, ReadError> {
        self.reader.consume_trailing_whitespace()?;
        Ok(self.memory)
    }

    /// Returns whether the next value is a string; skips a `null`.
    fn starts_string(&mut self, name: &'static str) -> Result<bool, ReadError> {
        if self.skip_null()? {
            return Ok(false);
        }
        match self.reader.peek()? {
            ValueType::String => Ok(true),
            _ => Err(FieldError::NotAString(name).into()),
        }
    }
}

/// Reads to the end.
fn read_blocks(mut reader: impl Read, chunk: &mut [u8]) -> io::Result<TextBlocks> {
    let mut blocks = TextBlocks::default();
    loop {
        match reader.read(chunk)? {
            0 => return Ok(blocks),
            length => blocks.push(&chunk[..length]),
        }
    }
}

/// Makes room for more bytes of a string. The memory is reserved before it is allocated.
fn reserve(bytes: &mut Vec<u8>, additional: usize, memory: &mut JobMemory) -> Result<(), OutOfMemory> {
    let wanted = bytes.len() + additional;
    if wanted <= bytes.capacity() {
        return Ok(());
    }
    let capacity = wanted.next_power_of_two().max(FIRST_STRING_BYTES);
    memory.add_field_bytes(capacity)?;
    bytes.reserve_exact(capacity - bytes.len());
    Ok(())
}
