//! The process's signals. Each kind arrives on a pipe that epoll watches.

use std::io;
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};

use super::conn::clear_pipe;

/// The signals that have a handler. Install it before anything else: until then a signal ends the process. What arrives
/// before the driver runs waits in its pipe.
pub struct Signals {
    shutdown: UnixStream,
    print: UnixStream,
    reload: UnixStream,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// SIGTERM or SIGINT: shut down.
    Shutdown,
    /// SIGUSR1: print the counters.
    Print,
    /// SIGHUP: read the configuration again.
    Reload,
}

fn install_handlers(signals: &[i32]) -> io::Result<UnixStream> {
    let (read_end, write_end) = UnixStream::pair()?;
    read_end.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, write_end.try_clone()?)?;
    }
    Ok(read_end)
}

impl Signals {
    /// Installs the handlers.
    pub fn install() -> Result<Signals, String> {
        let install = |signals: &[i32]| install_handlers(signals).map_err(|e| format!("signals: {e}"));
        Ok(Signals {
            reload: install(&[SIGHUP])?,
            shutdown: install(&[SIGTERM, SIGINT])?,
            print: install(&[SIGUSR1])?,
        })
    }

    /// The pipes, with the request that arrives on each.
    pub(super) fn pipes(&self) -> [(Request, BorrowedFd<'_>); 3] {
        [
            (Request::Shutdown, self.shutdown.as_fd()),
            (Request::Print, self.print.as_fd()),
            (Request::Reload, self.reload.as_fd()),
        ]
    }

    /// Takes the signals of one kind out of their pipe. Returns whether there were any.
    pub(super) fn take(&self, request: Request) -> bool {
        clear_pipe(match request {
            Request::Shutdown => &self.shutdown,
            Request::Print => &self.print,
            Request::Reload => &self.reload,
        })
    }
}
