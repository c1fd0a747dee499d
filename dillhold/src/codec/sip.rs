//! The part of SIP over TCP that exchanges use: a start line, headers and a body of `Content-Length` bytes.

use std::fmt::Write;

use super::{
    find_head_end, find_header, parse_body_length, parse_call_id, parse_decimal, ParseError, ParseResult,
    MAX_MESSAGE_BYTES,
};

/// The start line of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartLine<'a> {
    /// A request; holds the method.
    Request(&'a [u8]),
    /// A response; holds the status code.
    Response(u16),
}

/// A parsed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// The start line.
    pub start_line: StartLine<'a>,
    head: &'a [u8],
    /// The body, unchanged.
    pub body: &'a [u8],
}

impl<'a> Message<'a> {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&'a [u8]> {
        find_header(self.head, &[name])
    }

    /// The URI of a request.
    pub fn uri(&self) -> Option<&'a [u8]> {
        let line = self.head.split(|b| *b == b'\r').next()?;
        line.split(|b| *b == b' ').nth(1).filter(|_| matches!(self.start_line, StartLine::Request(_)))
    }

    /// The call id in `Call-ID`, if it is valid.
    pub fn call_id(&self) -> Option<u64> {
        find_header(self.head, &["Call-ID", "i"]).and_then(parse_call_id)
    }

    /// The value of `Call-ID`, valid or not.
    pub fn raw_call_id(&self) -> &'a [u8] {
        find_header(self.head, &["Call-ID", "i"]).unwrap_or_default()
    }

    /// The number and the method of `CSeq`.
    pub fn cseq(&self) -> Option<(u32, &'a [u8])> {
        let value = self.header("CSeq")?;
        let separator = value.iter().position(u8::is_ascii_whitespace)?;
        let number = parse_decimal(&value[..separator]).and_then(|n| u32::try_from(n).ok())?;
        Some((number, value[separator..].trim_ascii()))
    }

    /// The Q.850 cause in `Reason: Q.850;cause=N`.
    pub fn cause(&self) -> Option<u8> {
        let value = self.header("Reason")?;
        let mut parts = value.split(|b| *b == b';').map(<[u8]>::trim_ascii);
        let text = parts.find_map(|p| p.strip_prefix(b"cause="))?;
        parse_decimal(text).and_then(|n| u8::try_from(n).ok())
    }
}

fn parse_start_line(line: &[u8]) -> Option<StartLine<'_>> {
    let mut words = line.split(|b| *b == b' ');
    let (first, second, third) = (words.next()?, words.next()?, words.next());
    if first == b"SIP/2.0" {
        let code = parse_decimal(second).filter(|c| (100..700).contains(c))?;
        return Some(StartLine::Response(code as u16));
    }
    let is_method = !first.is_empty() && first.iter().all(u8::is_ascii_uppercase);
    Some(StartLine::Request(first)).filter(|_| is_method && third == Some(b"SIP/2.0"))
}

/// Parses the first message. Its length includes empty lines before it, which are sent as keep-alives.
pub fn parse(bytes: &[u8]) -> ParseResult<Message<'_>> {
    let skipped = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
    if skipped > MAX_MESSAGE_BYTES {
        return Err(ParseError::TooLong);
    }
    let bytes = &bytes[skipped..];
    let Some(head_len) = find_head_end(bytes)? else { return Ok(None) };
    let head = &bytes[..head_len];
    let line = head.split(|b| *b == b'\r').next().unwrap_or_default();
    let start_line = parse_start_line(line).ok_or(ParseError::Malformed)?;
    let body_len = parse_body_length(head, &["Content-Length", "l"])?.ok_or(ParseError::Malformed)?;
    if body_len > (MAX_MESSAGE_BYTES - head_len) as u64 {
        return Err(ParseError::TooLong);
    }
    let message_len = head_len + body_len as usize;
    let Some(body) = bytes.get(head_len..message_len) else { return Ok(None) };
    Ok(Some((Message { start_line, head, body }, skipped + message_len)))
}

/// Writes a message. `cseq` is the number and the method of `CSeq`; `headers` are further header lines, each
/// ended by CRLF.
pub fn write(
    out: &mut Vec<u8>,
    start_line: std::fmt::Arguments<'_>,
    call_id: &[u8],
    cseq: (u32, &str),
    headers: std::fmt::Arguments<'_>,
    body: &[u8],
) {
    let (cseq_number, method) = cseq;
    let call_id = String::from_utf8_lossy(call_id);
    let mut head = String::with_capacity(256);
    // Writing to a String cannot fail.
    let _ = write!(
        head,
        "{start_line}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\nCSeq: {cseq_number} {method}\r\n{headers}\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    out.extend(head.as_bytes());
    out.extend(body);
}
