//! One socket with what it is watched for.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};

/// A connection.
pub struct Conn {
    pub stream: TcpStream,
    /// It is not up yet.
    pub connecting: bool,
    /// It was accepted, so a caller is at its other end.
    pub caller: bool,
    watched: EventFlags,
}

impl Conn {
    /// Takes a socket and watches it.
    pub fn new(epoll: &OwnedFd, fd: OwnedFd, token: u64, connecting: bool) -> io::Result<Conn> {
        let stream = TcpStream::from(fd);
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let watched = if connecting { EventFlags::OUT } else { EventFlags::IN };
        epoll::add(epoll, &stream, EventData::new_u64(token), watched)?;
        Ok(Conn { stream, connecting, caller: !connecting, watched })
    }

    /// Whether the connection came up.
    pub fn connected(&mut self) -> io::Result<()> {
        match self.stream.take_error()? {
            None => {
                self.connecting = false;
                Ok(())
            }
            Some(e) => Err(e),
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
