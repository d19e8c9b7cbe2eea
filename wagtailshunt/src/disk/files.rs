//! File operations on one folder, with a trait so that tests can replace the file system.

use std::io::{Seek, Write};
use std::{fs, io, path};

/// Operations on the files of one folder. File names contain no path separator.
pub trait Files {
    /// Returns the path of the folder, for error messages.
    fn path(&self) -> &path::Path;

    /// Returns the names and contents of all files.
    fn read_all(&mut self) -> io::Result<Vec<(String, Vec<u8>)>>;

    /// Writes at an offset, creating the file if it does not exist.
    fn write(&mut self, file: &str, offset: u64, data: &[u8]) -> io::Result<()>;

    /// Makes the content and length of a file durable.
    fn sync(&mut self, file: &str) -> io::Result<()>;

    /// Sets the length of a file in bytes.
    fn set_len(&mut self, file: &str, len: u64) -> io::Result<()>;

    /// Renames a file, replacing a file that has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Deletes a file; it is not an error if the file does not exist.
    fn remove(&mut self, file: &str) -> io::Result<()>;

    /// Makes the creation, renaming and removal of files durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder in the file system. Keeps the file of the last operation open.
#[derive(Debug)]
pub struct Folder {
    path: path::PathBuf,
    handle: fs::File,
    open: Option<(String, fs::File)>,
}

impl Folder {
    /// Opens a folder, creating it durably if it does not exist.
    ///
    /// # Errors
    ///
    /// Any I/O error of the file system.
    pub fn open(path: path::PathBuf) -> io::Result<Folder> {
        if !path.is_dir() {
            fs::create_dir_all(&path)?;
            if let Some(parent) = path.parent() {
                fs::File::open(parent)?.sync_all()?;
            }
        }
        let handle = fs::File::open(&path)?;
        Ok(Folder {
            path,
            handle,
            open: None,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut fs::File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let mut options = fs::OpenOptions::new();
            options.write(true).create(true).truncate(false);
            let file = options.open(self.path.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

impl Files for Folder {
    fn path(&self) -> &path::Path {
        &self.path
    }

    fn read_all(&mut self) -> io::Result<Vec<(String, Vec<u8>)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            if let Ok(name) = entry.file_name().into_string()
                && entry.file_type()?.is_file()
            {
                files.push((name, fs::read(entry.path())?));
            }
        }
        files.sort();
        Ok(files)
    }

    fn write(&mut self, file: &str, offset: u64, data: &[u8]) -> io::Result<()> {
        let file = self.file(file)?;
        file.seek(io::SeekFrom::Start(offset))?;
        file.write_all(data)
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.file(file)?.sync_data()
    }

    fn set_len(&mut self, file: &str, len: u64) -> io::Result<()> {
        self.file(file)?.set_len(len)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        if self.open.as_ref().is_some_and(|(open, _)| open == file) {
            self.open = None;
        }
        match fs::remove_file(self.path.join(file)) {
            Err(err) if err.kind() != io::ErrorKind::NotFound => Err(err),
            _ => Ok(()),
        }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.handle.sync_all()
    }
}
