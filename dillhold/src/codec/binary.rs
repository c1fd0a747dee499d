//! The binary protocol of callers. A message is `length:2 type:1 call:8 parameters`, in bytes and big-endian;
//! each parameter is `code:1 length:2 value`. Each length counts the bytes that follow it.

use super::{ParseError, ParseResult, MAX_MESSAGE_BYTES};

/// Message types.
pub mod kind {
    /// Set-up, with a session description.
    pub const SET_UP: u8 = 1;
    /// Progress of a set-up; it has no meaning.
    pub const PROGRESS: u8 = 6;
    /// Answer, with a session description.
    pub const ANSWER: u8 = 9;
    /// Refusal, cancelled set-up or release, depending on the state of the call; with a cause.
    pub const RELEASE: u8 = 12;
    /// Acknowledgement of a release.
    pub const RELEASE_ACK: u8 = 16;
    /// Connection test.
    pub const TEST: u8 = 52;
    /// Response to a connection test.
    pub const TEST_RESPONSE: u8 = 53;
}

/// Parameter codes.
pub mod param {
    /// Name of the class.
    pub const CLASS: u8 = 100;
    /// How long the caller waits, in milliseconds.
    pub const TIMEOUT_MS: u8 = 101;
    /// The number called.
    pub const CALLED_NUMBER: u8 = 104;
    /// Further attributes, as `name:value` pairs joined by semicolons.
    pub const ATTRIBUTES: u8 = 105;
    /// How long the caller is asked to pause before it tries again, in milliseconds.
    pub const RETRY_AFTER_MS: u8 = 106;
    /// Q.850 cause, one byte.
    pub const CAUSE: u8 = 114;
    /// Session description.
    pub const DESCRIPTION: u8 = 115;
}

/// A parsed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// One of the types in [`kind`].
    pub kind: u8,
    /// Id of the call it refers to.
    pub call_id: u64,
    parameters: &'a [u8],
}

/// Splits off the first parameter. Returns its code, its value and the remaining bytes.
fn split_parameter(bytes: &[u8]) -> Option<(u8, &[u8], &[u8])> {
    let (header, rest) = bytes.split_first_chunk::<3>()?;
    let (value, rest) = rest.split_at_checked(usize::from(u16::from_be_bytes([header[1], header[2]])))?;
    Some((header[0], value, rest))
}

impl<'a> Message<'a> {
    /// The value of the first parameter with this code.
    pub fn parameter(&self, code: u8) -> Option<&'a [u8]> {
        let mut remaining = self.parameters;
        while let Some((parameter_code, value, rest)) = split_parameter(remaining) {
            if parameter_code == code {
                return Some(value);
            }
            remaining = rest;
        }
        None
    }

    /// The Q.850 cause, if the message has one.
    pub fn cause(&self) -> Option<u8> {
        self.parameter(param::CAUSE).and_then(|v| v.first().copied())
    }
}

/// Parses the first message.
pub fn parse(bytes: &[u8]) -> ParseResult<Message<'_>> {
    let Some((length, rest)) = bytes.split_first_chunk::<2>() else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes(*length));
    if length + 2 > MAX_MESSAGE_BYTES {
        return Err(ParseError::TooLong);
    }
    if length < 9 {
        return Err(ParseError::Malformed);
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    let Some((call_id, parameters)) = body[1..].split_first_chunk::<8>() else {
        return Err(ParseError::Malformed);
    };
    let mut remaining = parameters;
    while !remaining.is_empty() {
        remaining = split_parameter(remaining).ok_or(ParseError::Malformed)?.2;
    }
    Ok(Some((Message { kind: body[0], call_id: u64::from_be_bytes(*call_id), parameters }, length + 2)))
}

/// Writes a message. A parameter that would exceed [`MAX_MESSAGE_BYTES`] is left out; parameters received in
/// a message always fit.
pub fn write(out: &mut Vec<u8>, kind: u8, call_id: u64, parameters: &[(u8, &[u8])]) {
    let start = out.len();
    out.extend([0, 0, kind]);
    out.extend(call_id.to_be_bytes());
    for (code, value) in parameters {
        if out.len() - start + 3 + value.len() <= MAX_MESSAGE_BYTES {
            out.push(*code);
            out.extend((value.len() as u16).to_be_bytes());
            out.extend(*value);
        }
    }
    let length = (out.len() - start - 2) as u16;
    out[start..start + 2].copy_from_slice(&length.to_be_bytes());
}
