//! SIP over TCP, as much of it as exchanges speak: a first line, headers and a body of `Content-Length`
//! bytes.

use std::fmt::Write;

use super::{body_length, decimal, head_end, header, parse_call_id, Parsed, Unreadable, MAX_MESSAGE_BYTES};

/// What a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartLine<'a> {
    /// A request of this method.
    Request(&'a [u8]),
    /// A response with this status.
    Response(u16),
}

/// One message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// What it is.
    pub start_line: StartLine<'a>,
    head: &'a [u8],
    /// The body, byte for byte.
    pub body: &'a [u8],
}

impl<'a> Message<'a> {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&'a [u8]> {
        header(self.head, &[name])
    }

    /// The address in the first line of a request.
    pub fn uri(&self) -> Option<&'a [u8]> {
        let line = self.head.split(|b| *b == b'\r').next()?;
        line.split(|b| *b == b' ').nth(1).filter(|_| matches!(self.start_line, StartLine::Request(_)))
    }

    /// The call that `Call-ID` names.
    pub fn call_id(&self) -> Option<u64> {
        header(self.head, &["Call-ID", "i"]).and_then(parse_call_id)
    }

    /// The raw `Call-ID`, whatever it holds.
    pub fn raw_call_id(&self) -> &'a [u8] {
        header(self.head, &["Call-ID", "i"]).unwrap_or_default()
    }

    /// Number and method of `CSeq`.
    pub fn cseq(&self) -> Option<(u32, &'a [u8])> {
        let value = self.header("CSeq")?;
        let gap = value.iter().position(u8::is_ascii_whitespace)?;
        let number = decimal(&value[..gap]).and_then(|n| u32::try_from(n).ok())?;
        Some((number, value[gap..].trim_ascii()))
    }

    /// The cause of `Reason: Q.850;cause=N`.
    pub fn cause(&self) -> Option<u8> {
        let value = self.header("Reason")?;
        let mut parts = value.split(|b| *b == b';').map(<[u8]>::trim_ascii);
        let text = parts.find_map(|p| p.strip_prefix(b"cause="))?;
        decimal(text).and_then(|n| u8::try_from(n).ok())
    }
}

fn parse_start_line(line: &[u8]) -> Option<StartLine<'_>> {
    let mut words = line.split(|b| *b == b' ');
    let (first, second, third) = (words.next()?, words.next()?, words.next());
    if first == b"SIP/2.0" {
        let code = decimal(second).filter(|c| (100..700).contains(c))?;
        return Some(StartLine::Response(code as u16));
    }
    let method = !first.is_empty() && first.iter().all(u8::is_ascii_uppercase);
    Some(StartLine::Request(first)).filter(|_| method && third == Some(b"SIP/2.0"))
}

/// Reads the first message. Empty lines before it, which keep connections alive, count to its length.
pub fn parse(bytes: &[u8]) -> Parsed<Message<'_>> {
    let skipped = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
    if skipped > MAX_MESSAGE_BYTES {
        return Err(Unreadable::TooLong);
    }
    let bytes = &bytes[skipped..];
    let Some(end) = head_end(bytes)? else { return Ok(None) };
    let head = &bytes[..end];
    let line = head.split(|b| *b == b'\r').next().unwrap_or_default();
    let start_line = parse_start_line(line).ok_or(Unreadable::Malformed)?;
    let length = body_length(head, &["Content-Length", "l"])?.ok_or(Unreadable::Malformed)?;
    if length > (MAX_MESSAGE_BYTES - end) as u64 {
        return Err(Unreadable::TooLong);
    }
    let whole = end + length as usize;
    let Some(body) = bytes.get(end..whole) else { return Ok(None) };
    Ok(Some((Message { start_line, head, body }, skipped + whole)))
}

/// Writes one message: its first line, `Call-ID`, `CSeq`, further headers and the body.
pub fn write(
    out: &mut Vec<u8>,
    line: std::fmt::Arguments<'_>,
    call: &[u8],
    sequence: (u32, &str),
    further: std::fmt::Arguments<'_>,
    body: &[u8],
) {
    let (number, method) = sequence;
    let call = String::from_utf8_lossy(call);
    let mut head = String::with_capacity(256);
    // Writing to a String cannot fail.
    let _ = write!(
        head,
        "{line}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: {number} {method}\r\n{further}\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    out.extend(head.as_bytes());
    out.extend(body);
}
