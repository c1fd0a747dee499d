//! Writes closed intervals to the operator's folder, whole or not at all: under a temporary name, synced, renamed,
//! and the folder synced. A thread of its own does it, for a disk may take longer than a call can wait; there is
//! none unless measuring is on.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::thread::JoinHandle;

use measured::record::{encode, Interval};

/// Intervals that wait for a disk that does not answer; past that they are dropped.
const WAITING: usize = 16;

/// The folder with the thread that writes to it.
pub struct Archive {
    queue: Option<SyncSender<Interval>>,
    writer: Option<JoinHandle<()>>,
}

/// Writes one interval whole or not at all.
pub fn store(folder: &Path, interval: &Interval) -> io::Result<PathBuf> {
    let name = interval.file_name();
    let (temporary, place) = (folder.join(format!(".{name}.part")), folder.join(name));
    let mut file = File::create(&temporary)?;
    file.write_all(&encode(interval))?;
    file.sync_all()?;
    drop(file);
    fs::rename(&temporary, &place)?;
    File::open(folder)?.sync_all()?;
    Ok(place)
}

impl Archive {
    /// Opens a folder, which is made if need be; that it can be written to is found out now and not in the night.
    pub fn open(folder: &Path) -> Result<Archive, String> {
        let said = |e: io::Error| format!("measure.folder: {}: {e}", folder.display());
        fs::create_dir_all(folder).map_err(said)?;
        let probe = folder.join(".dillhold.part");
        File::create(&probe).and_then(|f| f.sync_all()).map_err(said)?;
        fs::remove_file(&probe).map_err(said)?;
        let (queue, intervals) = sync_channel::<Interval>(WAITING);
        let folder = folder.to_path_buf();
        let writer = std::thread::Builder::new().name("archive".into()).spawn(move || {
            for interval in intervals {
                match store(&folder, &interval) {
                    Ok(place) => tracing::info!(place = %place.display(), "interval written"),
                    Err(e) => tracing::error!(from = interval.from, error = %e, "interval not written"),
                }
            }
        });
        let writer = writer.map_err(|e| format!("measure: a thread: {e}"))?;
        Ok(Archive { queue: Some(queue), writer: Some(writer) })
    }

    /// Takes an interval to be written; false: the disk is too far behind.
    pub fn take(&self, interval: Interval) -> bool {
        let queue = self.queue.as_ref();
        !queue.is_some_and(|q| matches!(q.try_send(interval), Err(TrySendError::Full(_))))
    }
}

impl Drop for Archive {
    fn drop(&mut self) {
        // The queue ends, and what waits in it is written.
        self.queue = None;
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }
}
