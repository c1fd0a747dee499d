//! A non-blocking socket and its epoll registration.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};

/// A connection's socket.
pub struct Conn {
    pub stream: TcpStream,
    /// Not established yet.
    pub connecting: bool,
    /// Accepted by the listener, so the peer is a caller.
    pub is_caller: bool,
    interest: EventFlags,
}

impl Conn {
    /// Wraps a socket and registers it with epoll.
    pub fn new(epoll: &OwnedFd, fd: OwnedFd, token: u64, connecting: bool) -> io::Result<Conn> {
        let stream = TcpStream::from(fd);
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let interest = if connecting { EventFlags::OUT } else { EventFlags::IN };
        epoll::add(epoll, &stream, EventData::new_u64(token), interest)?;
        Ok(Conn { stream, connecting, is_caller: !connecting, interest })
    }

    /// Checks the result of a non-blocking connect.
    pub fn finish_connect(&mut self) -> io::Result<()> {
        match self.stream.take_error()? {
            None => {
                self.connecting = false;
                Ok(())
            }
            Some(e) => Err(e),
        }
    }

    /// Updates the epoll registration if it has changed.
    pub fn set_interest(
        &mut self,
        epoll: &OwnedFd,
        token: u64,
        readable: bool,
        writable: bool,
    ) -> io::Result<()> {
        let mut new_interest = EventFlags::empty();
        new_interest.set(EventFlags::IN, readable);
        new_interest.set(EventFlags::OUT, writable);
        if new_interest != self.interest {
            epoll::modify(epoll, &self.stream, EventData::new_u64(token), new_interest)?;
            self.interest = new_interest;
        }
        Ok(())
    }
}

/// Starts a non-blocking connect.
pub fn connect(address: SocketAddr) -> io::Result<OwnedFd> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = net::socket_with(family, SocketType::STREAM, flags, None)?;
    match net::connect(&socket, &address) {
        // An immediate refusal is reported when the socket becomes ready, like a later one.
        Ok(()) | Err(Errno::INPROGRESS) => Ok(socket),
        Err(e) => Err(e.into()),
    }
}

/// Discards the bytes in a signal pipe. Returns whether there were any.
pub fn clear_pipe(mut pipe: &UnixStream) -> bool {
    let mut bytes = [0; 64];
    let mut found = false;
    while matches!(pipe.read(&mut bytes), Ok(n) if n > 0) {
        found = true;
    }
    found
}
