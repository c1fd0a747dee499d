//! HTTP/1.1 as a client of the journal service needs it: one request form, and responses with a counted or a
//! chunked body.

use std::borrow::Cow;

use super::{body_length, decimal, head_end, header, Parsed, Unreadable};

/// The most bytes of a journal answer's body. It may hold a whole list and many changes after a silence, so
/// it is more than one message of the call protocols.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// One response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response<'a> {
    /// Its status.
    pub status: u16,
    /// Whether the other side closes the connection after it.
    pub closes: bool,
    /// Its body; copied only where it came in chunks.
    pub body: Cow<'a, [u8]>,
}

/// Reads the first response.
pub fn parse(bytes: &[u8]) -> Parsed<Response<'_>> {
    let Some(end) = head_end(bytes)? else { return Ok(None) };
    let head = &bytes[..end];
    let mut words = head.split(|b| matches!(b, b' ' | b'\r'));
    let version = words.next().unwrap_or_default();
    if !version.starts_with(b"HTTP/1.") {
        return Err(Unreadable::Malformed);
    }
    let status = words.next().and_then(decimal).filter(|s| (100..600).contains(s));
    let status = status.ok_or(Unreadable::Malformed)? as u16;
    let connection = header(head, &["Connection"]).unwrap_or_default();
    let closes = connection.eq_ignore_ascii_case(b"close") || version == b"HTTP/1.0";
    let coding = header(head, &["Transfer-Encoding"]).unwrap_or_default();
    let rest = &bytes[end..];
    let body = if coding.eq_ignore_ascii_case(b"chunked") {
        chunked(rest)?.map(|(body, taken)| (Cow::Owned(body), taken))
    } else {
        let length = match body_length(head, &["Content-Length"])? {
            Some(length) => length,
            None if status == 204 || status == 304 || status < 200 => 0,
            None => return Err(Unreadable::Malformed),
        };
        if length > MAX_BODY_BYTES as u64 {
            return Err(Unreadable::TooLong);
        }
        rest.get(..length as usize).map(|body| (Cow::Borrowed(body), length as usize))
    };
    Ok(body.map(|(body, taken)| (Response { status, closes, body }, end + taken)))
}

fn chunked(bytes: &[u8]) -> Parsed<Vec<u8>> {
    let (mut body, mut at) = (Vec::new(), 0);
    let line_end = |from: usize| bytes[from..].windows(2).position(|w| w == b"\r\n").map(|n| from + n);
    loop {
        let Some(end) = line_end(at) else {
            return if bytes.len() - at > 1024 { Err(Unreadable::Malformed) } else { Ok(None) };
        };
        let size = bytes[at..end].split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
        let size = std::str::from_utf8(size).ok().and_then(|t| usize::from_str_radix(t, 16).ok());
        let size = size.ok_or(Unreadable::Malformed)?;
        if size > MAX_BODY_BYTES - body.len() {
            return Err(Unreadable::TooLong);
        }
        at = end + 2;
        if size == 0 {
            // Trailers, if any, end with an empty line.
            loop {
                let Some(end) = line_end(at) else { return Ok(None) };
                let empty = end == at;
                at = end + 2;
                if empty {
                    return Ok(Some((body, at)));
                }
            }
        }
        let Some(chunk) = bytes.get(at..at + size + 2) else { return Ok(None) };
        if &chunk[size..] != b"\r\n" {
            return Err(Unreadable::Malformed);
        }
        body.extend(&chunk[..size]);
        at += size + 2;
    }
}

/// Writes a GET request.
pub fn write_get(out: &mut Vec<u8>, path: &str, host: &str) {
    out.extend(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").as_bytes());
}
