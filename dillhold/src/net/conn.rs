//! One socket with what it is watched for.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use pitchgw::interface::{ExchangeId, Nanos};
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};

use crate::session::caller::Caller;
use crate::session::journal::Journal;

/// Who is at the other end.
pub enum Peer {
    /// Callers.
    Caller(Caller),
    /// An exchange; its session is with its link.
    Exchange(ExchangeId),
    /// The journal service.
    Journal(Journal),
}

/// A connection.
pub struct Conn {
    pub stream: TcpStream,
    pub peer: Peer,
    /// It is not up yet.
    pub connecting: bool,
    /// It was refused.
    pub refused: bool,
    /// The other side writes no more.
    pub ended: bool,
    /// When it was opened, and when bytes last came.
    pub opened: Nanos,
    pub read: Nanos,
    /// Bytes that its buffers take, as last counted.
    pub held: usize,
    watched: EventFlags,
}

impl Conn {
    /// Takes a socket and watches it.
    pub fn new(
        epoll: &OwnedFd,
        fd: OwnedFd,
        token: u64,
        peer: Peer,
        connecting: bool,
        now: Nanos,
    ) -> io::Result<Conn> {
        let stream = TcpStream::from(fd);
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let watched = if connecting { EventFlags::OUT } else { EventFlags::IN };
        epoll::add(epoll, &stream, EventData::new_u64(token), watched)?;
        let (refused, ended) = (false, false);
        Ok(Conn { stream, peer, connecting, refused, ended, opened: now, read: now, held: 0, watched })
    }

    /// Whether the connection came up.
    pub fn connected(&mut self) -> io::Result<()> {
        match self.stream.take_error()? {
            None => {
                self.connecting = false;
                Ok(())
            }
            Some(e) => {
                self.refused = e.kind() == io::ErrorKind::ConnectionRefused;
                Err(e)
            }
        }
    }

    /// Sets what it is watched for, if that has changed.
    pub fn watch(&mut self, epoll: &OwnedFd, token: u64, reads: bool, writes: bool) -> io::Result<()> {
        let mut wanted = EventFlags::empty();
        wanted.set(EventFlags::IN, reads);
        wanted.set(EventFlags::OUT, writes);
        if wanted != self.watched {
            epoll::modify(epoll, &self.stream, EventData::new_u64(token), wanted)?;
            self.watched = wanted;
        }
        Ok(())
    }
}

/// Starts a connection without waiting for it.
pub fn connect(address: SocketAddr) -> io::Result<OwnedFd> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = net::socket_with(family, SocketType::STREAM, flags, None)?;
    match net::connect(&socket, &address) {
        // A refusal that comes at once is found when the socket is ready, as one that comes later.
        Ok(()) | Err(Errno::INPROGRESS) => Ok(socket),
        Err(e) => Err(e.into()),
    }
}

/// Empties the pipe of a signal.
pub fn swallow(mut pipe: &UnixStream) {
    let mut bytes = [0; 64];
    while matches!(pipe.read(&mut bytes), Ok(n) if n > 0) {}
}
