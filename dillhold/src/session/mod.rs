//! State machines for the connections. They are fed bytes and give bytes; none knows a socket.

pub mod caller;
pub mod exchange;
pub mod journal;

use std::collections::VecDeque;

use crate::codec::Unreadable;

/// The read buffer of a connection. Messages are slices of it.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    taken: usize,
    filled: usize,
}

/// Bytes that can be read at once.
const ROOM: usize = 4 * 1024;

impl ReadBuffer {
    /// Where the next bytes go.
    pub fn unfilled(&mut self) -> &mut [u8] {
        self.bytes.copy_within(self.taken..self.filled, 0);
        self.filled -= self.taken;
        self.taken = 0;
        let whole = (self.filled + ROOM).next_multiple_of(ROOM);
        if self.bytes.len() != whole {
            self.bytes.resize(whole, 0);
            self.bytes.shrink_to(4 * ROOM);
        }
        &mut self.bytes[self.filled..]
    }

    /// So many bytes went there.
    pub fn advance(&mut self, count: usize) {
        self.filled += count;
    }

    /// Adds bytes.
    pub fn append(&mut self, bytes: &[u8]) {
        for part in bytes.chunks(ROOM) {
            self.unfilled()[..part.len()].copy_from_slice(part);
            self.advance(part.len());
        }
    }

    /// What has not been taken.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.taken..self.filled]
    }

    /// Bytes of memory that it takes.
    pub fn capacity_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Takes bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.taken = (self.taken + count).min(self.filled);
    }
}

/// Bytes to be written. Some stretches are marked, so that they can be taken back before they have begun to
/// leave.
#[derive(Debug, Default)]
pub struct WriteBuffer {
    bytes: Vec<u8>,
    written: usize,
    marks: VecDeque<Mark>,
}

#[derive(Debug)]
struct Mark {
    /// Its first byte has left.
    begun: bool,
    start: usize,
    end: usize,
    what: (u64, u32),
}

impl WriteBuffer {
    /// The buffer to append to.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Appends a stretch that is marked.
    pub fn append_tracked(&mut self, what: (u64, u32), write: impl FnOnce(&mut Vec<u8>)) {
        let start = self.bytes.len();
        write(&mut self.bytes);
        self.marks.push_back(Mark { begun: false, start, end: self.bytes.len(), what });
    }

    /// Bytes of memory that it takes.
    pub fn capacity_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Whether a marked stretch has not left whole.
    pub fn has_unsent(&self) -> bool {
        !self.marks.is_empty()
    }

    /// What has to be written next.
    pub fn pending(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    /// So many bytes were written.
    pub fn mark_written(&mut self, count: usize) {
        self.written += count;
        while self.marks.front().is_some_and(|m| m.end <= self.written) {
            self.marks.pop_front();
        }
        if let Some(first) = self.marks.front_mut() {
            first.begun |= first.start < self.written;
        }
        if self.written == self.bytes.len() {
            *self = WriteBuffer { bytes: std::mem::take(&mut self.bytes), ..WriteBuffer::default() };
            self.bytes.clear();
            self.bytes.shrink_to(64 * 1024);
        } else if self.written > 64 * 1024 {
            self.bytes.drain(..self.written);
            let cut = self.written;
            self.marks.iter_mut().for_each(|m| (m.start, m.end) = (m.start.saturating_sub(cut), m.end - cut));
            self.written = 0;
        }
    }

    /// Takes back the marked stretches that fit and of which no byte has left.
    pub fn withdraw(&mut self, fits: impl Fn((u64, u32)) -> bool) -> Vec<(u64, u32)> {
        let (mut back, mut cut) = (Vec::new(), 0);
        let bytes = &mut self.bytes;
        self.marks.retain_mut(|m| {
            (m.start, m.end) = (m.start - cut, m.end - cut);
            if m.begun || !fits(m.what) {
                return true;
            }
            bytes.drain(m.start..m.end);
            cut += m.end - m.start;
            back.push(m.what);
            false
        });
        back
    }

    /// Drops everything. Tells what was marked and had not left whole.
    pub fn clear(&mut self) -> Vec<(u64, u32)> {
        let unsent = self.marks.iter().map(|m| m.what).collect();
        *self = WriteBuffer::default();
        unsent
    }
}

/// Takes whole messages from the read_buffer until none is left. `each` gets a message and tells how many
/// bytes it took; `None` ends it.
fn drain(
    read_buffer: &mut ReadBuffer,
    mut each: impl FnMut(&[u8]) -> Result<Option<usize>, Unreadable>,
) -> Result<(), Unreadable> {
    while let Some(taken) = each(read_buffer.unread())? {
        read_buffer.consume(taken);
    }
    Ok(())
}
