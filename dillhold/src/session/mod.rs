//! Protocol state machines of the connections. They read from and write to buffers and do no I/O themselves.

pub mod caller;
pub mod exchange;
pub mod journal;

use std::collections::VecDeque;

use pitchgw::interface::Nanos;

use crate::codec::ParseError;

/// The read buffer of a connection. Parsed messages borrow from it.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    /// Bytes at the front that have been consumed.
    consumed: usize,
    /// End of the received bytes.
    end: usize,
}

/// The buffer grows in steps of this size.
const CHUNK_BYTES: usize = 4 * 1024;

impl ReadBuffer {
    /// The free space for the next read. Call [`ReadBuffer::advance`] with the number of bytes read.
    pub fn unfilled(&mut self) -> &mut [u8] {
        self.bytes.copy_within(self.consumed..self.end, 0);
        self.end -= self.consumed;
        self.consumed = 0;
        let size = (self.end + CHUNK_BYTES).next_multiple_of(CHUNK_BYTES);
        if self.bytes.len() != size {
            self.bytes.resize(size, 0);
            self.bytes.shrink_to(4 * CHUNK_BYTES);
        }
        &mut self.bytes[self.end..]
    }

    /// Marks bytes of the free space as received.
    pub fn advance(&mut self, count: usize) {
        self.end += count;
    }

    /// Appends a copy of bytes.
    pub fn append(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(CHUNK_BYTES) {
            self.unfilled()[..chunk.len()].copy_from_slice(chunk);
            self.advance(chunk.len());
        }
    }

    /// The bytes that have not been consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..self.end]
    }

    /// Memory allocated for the buffer, in bytes.
    pub fn capacity_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Removes bytes from the front. Once none is left, memory beyond one step is returned.
    pub fn consume(&mut self, count: usize) {
        self.consumed = (self.consumed + count).min(self.end);
        if self.consumed == self.end {
            (self.consumed, self.end) = (0, 0);
            self.bytes.truncate(CHUNK_BYTES);
            self.bytes.shrink_to(CHUNK_BYTES);
        }
    }

    /// Discards all bytes and returns the memory.
    pub fn clear(&mut self) {
        *self = ReadBuffer::default();
    }
}

/// The write buffer of a connection. Tracked messages can be withdrawn until their first byte is written.
#[derive(Debug, Default)]
pub struct WriteBuffer {
    bytes: Vec<u8>,
    /// Bytes at the front that have been written to the connection.
    written: usize,
    /// Tracked messages that have not been written completely, in order.
    tracked: VecDeque<TrackedMessage>,
}

#[derive(Debug)]
struct TrackedMessage {
    /// Whether its first byte has been written to the connection.
    started: bool,
    start: usize,
    end: usize,
    /// Id of the call and number of the attempt.
    attempt_id: (u64, u32),
}

impl WriteBuffer {
    /// The bytes to append untracked messages to.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Appends a message that is tracked under the id of its call and the number of its attempt.
    pub fn append_tracked(&mut self, attempt_id: (u64, u32), write: impl FnOnce(&mut Vec<u8>)) {
        let start = self.bytes.len();
        write(&mut self.bytes);
        self.tracked.push_back(TrackedMessage { started: false, start, end: self.bytes.len(), attempt_id });
    }

    /// Memory allocated for the buffer, in bytes.
    pub fn capacity_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Whether a tracked message has not been written completely.
    pub fn has_unsent(&self) -> bool {
        !self.tracked.is_empty()
    }

    /// The bytes to be written next.
    pub fn pending(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    /// Marks pending bytes as written to the connection.
    pub fn mark_written(&mut self, count: usize) {
        self.written += count;
        while self.tracked.front().is_some_and(|m| m.end <= self.written) {
            self.tracked.pop_front();
        }
        if let Some(first) = self.tracked.front_mut() {
            first.started |= first.start < self.written;
        }
        if self.written == self.bytes.len() {
            *self = WriteBuffer { bytes: std::mem::take(&mut self.bytes), ..WriteBuffer::default() };
            self.bytes.clear();
            self.bytes.shrink_to(CHUNK_BYTES);
        } else if self.written > 64 * 1024 {
            self.bytes.drain(..self.written);
            let removed = self.written;
            self.tracked
                .iter_mut()
                .for_each(|m| (m.start, m.end) = (m.start.saturating_sub(removed), m.end - removed));
            self.written = 0;
        }
    }

    /// Withdraws the tracked messages that match and of which no byte has been written. Returns their call
    /// ids and attempt numbers.
    pub fn withdraw(&mut self, matches: impl Fn((u64, u32)) -> bool) -> Vec<(u64, u32)> {
        let (mut withdrawn, mut removed) = (Vec::new(), 0);
        let bytes = &mut self.bytes;
        self.tracked.retain_mut(|m| {
            (m.start, m.end) = (m.start - removed, m.end - removed);
            if m.started || !matches(m.attempt_id) {
                return true;
            }
            bytes.drain(m.start..m.end);
            removed += m.end - m.start;
            withdrawn.push(m.attempt_id);
            false
        });
        withdrawn
    }

    /// Discards all bytes. Returns the call ids and attempt numbers of the tracked messages that were not
    /// written completely.
    pub fn clear(&mut self) -> Vec<(u64, u32)> {
        let unsent = self.tracked.iter().map(|m| m.attempt_id).collect();
        *self = WriteBuffer::default();
        unsent
    }
}

/// Processes messages from the buffer until none is complete. `process` is given the unread bytes and returns
/// how many of them its message took, or `None` if the next message is incomplete.
fn process_messages(
    read_buffer: &mut ReadBuffer,
    mut process: impl FnMut(&[u8]) -> Result<Option<usize>, ParseError>,
) -> Result<(), ParseError> {
    while let Some(consumed) = process(read_buffer.unread())? {
        read_buffer.consume(consumed);
    }
    Ok(())
}

/// Since when the message at the front of the buffer has been incomplete, if there is one; `before` is the time for the
/// message that was incomplete before this input, unless it is complete now.
fn incomplete_message_since(read_buffer: &ReadBuffer, before: Option<Nanos>, now: Nanos) -> Option<Nanos> {
    before.or(Some(now)).filter(|_| !read_buffer.unread().is_empty())
}
