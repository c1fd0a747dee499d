//! Writes closed intervals to the operator's folder, each completely or not at all: to a temporary file that is
//! synced and renamed, after which the folder is synced. A separate thread writes, as a disk may take longer than a
//! call can wait; it only runs while measuring is on.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::thread::JoinHandle;

use measured::record::{encode, Interval};

/// Intervals that may wait for a slow disk; further ones are dropped.
const QUEUE_CAPACITY: usize = 16;

/// The folder, and the thread that writes to it.
pub struct IntervalArchive {
    queue: Option<SyncSender<Interval>>,
    writer: Option<JoinHandle<()>>,
}

/// Writes one interval completely or not at all.
pub fn write_interval(folder: &Path, interval: &Interval) -> io::Result<PathBuf> {
    let name = interval.file_name();
    let (temporary_path, path) = (folder.join(format!(".{name}.part")), folder.join(name));
    let mut file = File::create(&temporary_path)?;
    file.write_all(&encode(interval))?;
    file.sync_all()?;
    drop(file);
    fs::rename(&temporary_path, &path)?;
    File::open(folder)?.sync_all()?;
    Ok(path)
}

impl IntervalArchive {
    /// Opens a folder, creating it if necessary. Checks that it is writable, so that an error shows at the start and
    /// not with the first interval.
    pub fn open(folder: &Path) -> Result<IntervalArchive, String> {
        let error_context = |e: io::Error| format!("measure.folder: {}: {e}", folder.display());
        fs::create_dir_all(folder).map_err(error_context)?;
        let test_file = folder.join(".dillhold.part");
        File::create(&test_file).and_then(|f| f.sync_all()).map_err(error_context)?;
        fs::remove_file(&test_file).map_err(error_context)?;
        let (queue, intervals) = sync_channel::<Interval>(QUEUE_CAPACITY);
        let folder = folder.to_path_buf();
        let writer = std::thread::Builder::new().name("archive".into()).spawn(move || {
            for interval in intervals {
                match write_interval(&folder, &interval) {
                    Ok(path) => tracing::info!(place = %path.display(), "interval written"),
                    Err(e) => tracing::error!(from = interval.from, error = %e, "interval not written"),
                }
            }
        });
        let writer = writer.map_err(|e| format!("measure: cannot start the writer thread: {e}"))?;
        Ok(IntervalArchive { queue: Some(queue), writer: Some(writer) })
    }

    /// Queues an interval to be written. Returns false if the queue is full.
    pub fn enqueue(&self, interval: Interval) -> bool {
        let queue = self.queue.as_ref();
        !queue.is_some_and(|q| matches!(q.try_send(interval), Err(TrySendError::Full(_))))
    }
}

impl Drop for IntervalArchive {
    fn drop(&mut self) {
        // Closing the queue lets the thread write what is queued and end.
        self.queue = None;
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }
}
