//! The callers' binary messages: `length:2 type:1 call:8 parameters`, a parameter being `code:1 length:2
//! value`.

use super::{Parsed, Unreadable, MAX_MESSAGE_BYTES};

/// Types of message.
pub mod kind {
    /// A set-up, with a description.
    pub const SET_UP: u8 = 1;
    /// An answer, with a description.
    pub const ANSWER: u8 = 9;
    /// A refusal, a set-up given up or a release, by when it comes; with a cause.
    pub const RELEASE: u8 = 12;
    /// A release was heard.
    pub const RELEASE_ACK: u8 = 16;
    /// A test.
    pub const TEST: u8 = 52;
    /// The answer to a test.
    pub const TEST_RESPONSE: u8 = 53;
}

/// Codes of parameters.
pub mod param {
    /// The class of call.
    pub const CLASS: u8 = 100;
    /// How long the caller waits, in milliseconds.
    pub const TIMEOUT_MS: u8 = 101;
    /// The number called.
    pub const CALLED_NUMBER: u8 = 104;
    /// Further figures, `name:value` joined by semicolons.
    pub const ATTRIBUTES: u8 = 105;
    /// The pause that the caller is asked to keep, in milliseconds.
    pub const RETRY_AFTER_MS: u8 = 106;
    /// The cause, one byte.
    pub const CAUSE: u8 = 114;
    /// The description of the call.
    pub const DESCRIPTION: u8 = 115;
}

/// One message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// Its type.
    pub kind: u8,
    /// The call it speaks of.
    pub call_id: u64,
    parameters: &'a [u8],
}

fn first_parameter(bytes: &[u8]) -> Option<(u8, &[u8], &[u8])> {
    let (head, rest) = bytes.split_first_chunk::<3>()?;
    let (value, rest) = rest.split_at_checked(usize::from(u16::from_be_bytes([head[1], head[2]])))?;
    Some((head[0], value, rest))
}

impl<'a> Message<'a> {
    /// The first parameter of this code.
    pub fn parameter(&self, code: u8) -> Option<&'a [u8]> {
        let mut rest = self.parameters;
        while let Some((found, value, after)) = first_parameter(rest) {
            if found == code {
                return Some(value);
            }
            rest = after;
        }
        None
    }

    /// The cause, where there is one.
    pub fn cause(&self) -> Option<u8> {
        self.parameter(param::CAUSE).and_then(|v| v.first().copied())
    }
}

/// Reads the first message.
pub fn parse(bytes: &[u8]) -> Parsed<Message<'_>> {
    let Some((length, rest)) = bytes.split_first_chunk::<2>() else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes(*length));
    if length + 2 > MAX_MESSAGE_BYTES {
        return Err(Unreadable::TooLong);
    }
    if length < 9 {
        return Err(Unreadable::Malformed);
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    let Some((call, parameters)) = body[1..].split_first_chunk::<8>() else {
        return Err(Unreadable::Malformed);
    };
    let mut left = parameters;
    while !left.is_empty() {
        left = first_parameter(left).ok_or(Unreadable::Malformed)?.2;
    }
    Ok(Some((Message { kind: body[0], call_id: u64::from_be_bytes(*call), parameters }, length + 2)))
}

/// Writes one message. A parameter that does not fit in a message is left out: what came in fitted.
pub fn write(out: &mut Vec<u8>, kind: u8, call: u64, parameters: &[(u8, &[u8])]) {
    let start = out.len();
    out.extend([0, 0, kind]);
    out.extend(call.to_be_bytes());
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
