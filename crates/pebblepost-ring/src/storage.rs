//! File operations that the ring needs, and their implementation on real files.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Read, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

/// A folder of files. All calls block.
pub trait Storage {
    /// An open file.
    type File;

    /// Returns the names of all files in the folder.
    ///
    /// # Errors
    ///
    /// Fails if the system call fails.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Opens an existing file for reading and writing.
    ///
    /// # Errors
    ///
    /// Fails if the file does not exist or can't be opened.
    fn open(&mut self, name: &str) -> io::Result<Self::File>;
    /// Opens a file for reading and writing, creating it if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails if the system call fails.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;
    /// Returns the length of a file, in bytes.
    ///
    /// # Errors
    ///
    /// Fails if the system call fails.
    fn length(&mut self, file: &mut Self::File) -> io::Result<u64>;
    /// Sets the length of a file. Bytes added by this are zero.
    ///
    /// # Errors
    ///
    /// Fails if the system call fails.
    fn set_length(&mut self, file: &mut Self::File, length: u64) -> io::Result<()>;
    /// Fills the buffer from `offset` and returns the number of bytes read, which is less than
    /// `buffer.len()` only at the end of the file.
    ///
    /// # Errors
    ///
    /// Fails if the system call fails.
    fn read_at(&mut self, file: &mut Self::File, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes all bytes at `offset`.
    ///
    /// # Errors
    ///
    /// Fails if the system call fails. Some of the bytes may have been written then.
    fn write_at(&mut self, file: &mut Self::File, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Makes the content and length of a file durable.
    ///
    /// # Errors
    ///
    /// Fails if the system call fails.
    fn sync_data(&mut self, file: &mut Self::File) -> io::Result<()>;
    /// Makes the content and all attributes of a file durable.
    ///
    /// # Errors
    ///
    /// Fails if the system call fails.
    fn sync_all(&mut self, file: &mut Self::File) -> io::Result<()>;
    /// Renames a file, replacing an existing file of the new name.
    ///
    /// # Errors
    ///
    /// Fails if the system call fails.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails if the system call fails.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the creation, renaming and removal of files durable.
    ///
    /// # Errors
    ///
    /// Fails if the system call fails.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// [`Storage`] on the files of a folder.
#[derive(Debug)]
pub struct FileStorage {
    folder: PathBuf,
    handle: File,
}

/// An open file with its known position, so that sequential calls need no seek.
#[derive(Debug)]
pub struct PositionedFile {
    file: File,
    /// `None` if the position is not known, because a call is in progress or has failed.
    position: Option<u64>,
}

impl FileStorage {
    /// Opens a folder, creating it if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be created or opened.
    pub fn open(folder: &Path) -> io::Result<FileStorage> {
        fs::create_dir_all(folder)?;
        let handle = File::open(folder)?;
        Ok(FileStorage { folder: folder.to_path_buf(), handle })
    }
}

impl PositionedFile {
    fn new(file: File) -> PositionedFile {
        PositionedFile { file, position: Some(0) }
    }

    fn seek(&mut self, offset: u64) -> io::Result<()> {
        if self.position != Some(offset) {
            self.position = None;
            self.file.seek(SeekFrom::Start(offset))?;
        }
        self.position = None;
        Ok(())
    }
}

impl Storage for FileStorage {
    type File = PositionedFile;

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn open(&mut self, name: &str) -> io::Result<PositionedFile> {
        let file = OpenOptions::new().read(true).write(true).open(self.folder.join(name))?;
        Ok(PositionedFile::new(file))
    }

    fn create(&mut self, name: &str) -> io::Result<PositionedFile> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false);
        Ok(PositionedFile::new(options.open(self.folder.join(name))?))
    }

    fn length(&mut self, file: &mut PositionedFile) -> io::Result<u64> {
        Ok(file.file.metadata()?.len())
    }

    fn set_length(&mut self, file: &mut PositionedFile, length: u64) -> io::Result<()> {
        file.file.set_len(length)
    }

    fn read_at(&mut self, file: &mut PositionedFile, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        file.seek(offset)?;
        let mut filled = 0;
        while filled < buffer.len() {
            match file.file.read(&mut buffer[filled..]) {
                Ok(0) => break,
                Ok(count) => filled += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        file.position = Some(offset + filled as u64);
        Ok(filled)
    }

    fn write_at(&mut self, file: &mut PositionedFile, offset: u64, bytes: &[u8]) -> io::Result<()> {
        file.seek(offset)?;
        file.file.write_all(bytes)?;
        file.position = Some(offset + bytes.len() as u64);
        Ok(())
    }

    fn sync_data(&mut self, file: &mut PositionedFile) -> io::Result<()> {
        file.file.sync_data()
    }

    fn sync_all(&mut self, file: &mut PositionedFile) -> io::Result<()> {
        file.file.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.handle.sync_all()
    }
}
