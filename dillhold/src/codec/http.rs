//! The part of HTTP/1.1 that a client of the journal service needs: GET requests, and responses whose body
//! has a `Content-Length` or is chunked.

use std::borrow::Cow;

use super::{find_head_end, find_header, parse_body_length, parse_decimal, ParseError, ParseResult};

/// Largest body of a response. It is larger than [`super::MAX_MESSAGE_BYTES`], as it may hold a complete list
/// and the many changes that accumulate during an outage.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// A parsed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response<'a> {
    /// Status code.
    pub status: u16,
    /// Whether the server closes the connection after it.
    pub closes_connection: bool,
    /// The body; copied only if it was chunked.
    pub body: Cow<'a, [u8]>,
}

/// Parses the first response.
pub fn parse(bytes: &[u8]) -> ParseResult<Response<'_>> {
    let Some(head_len) = find_head_end(bytes)? else { return Ok(None) };
    let head = &bytes[..head_len];
    let mut words = head.split(|b| matches!(b, b' ' | b'\r'));
    let version = words.next().unwrap_or_default();
    if !version.starts_with(b"HTTP/1.") {
        return Err(ParseError::Malformed);
    }
    let status = words.next().and_then(parse_decimal).filter(|s| (100..600).contains(s));
    let status = status.ok_or(ParseError::Malformed)? as u16;
    let connection = find_header(head, &["Connection"]).unwrap_or_default();
    let closes_connection = connection.eq_ignore_ascii_case(b"close") || version == b"HTTP/1.0";
    let transfer_encoding = find_header(head, &["Transfer-Encoding"]).unwrap_or_default();
    let rest = &bytes[head_len..];
    let body = if transfer_encoding.eq_ignore_ascii_case(b"chunked") {
        parse_chunked_body(rest)?.map(|(body, body_len)| (Cow::Owned(body), body_len))
    } else {
        let length = match parse_body_length(head, &["Content-Length"])? {
            Some(length) => length,
            None if status == 204 || status == 304 || status < 200 => 0,
            None => return Err(ParseError::Malformed),
        };
        if length > MAX_BODY_BYTES as u64 {
            return Err(ParseError::TooLong);
        }
        rest.get(..length as usize).map(|body| (Cow::Borrowed(body), length as usize))
    };
    Ok(body.map(|(body, body_len)| (Response { status, closes_connection, body }, head_len + body_len)))
}

/// Parses a chunked body with its trailers.
fn parse_chunked_body(bytes: &[u8]) -> ParseResult<Vec<u8>> {
    let (mut body, mut position) = (Vec::new(), 0);
    let find_line_end = |from: usize| bytes[from..].windows(2).position(|w| w == b"\r\n").map(|n| from + n);
    loop {
        let Some(end) = find_line_end(position) else {
            return if bytes.len() - position > 1024 { Err(ParseError::Malformed) } else { Ok(None) };
        };
        let size = bytes[position..end].split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
        let size = std::str::from_utf8(size).ok().and_then(|t| usize::from_str_radix(t, 16).ok());
        let size = size.ok_or(ParseError::Malformed)?;
        if size > MAX_BODY_BYTES - body.len() {
            return Err(ParseError::TooLong);
        }
        position = end + 2;
        if size == 0 {
            // Trailers are skipped; they end with an empty line.
            loop {
                let Some(end) = find_line_end(position) else { return Ok(None) };
                let is_empty = end == position;
                position = end + 2;
                if is_empty {
                    return Ok(Some((body, position)));
                }
            }
        }
        let Some(chunk) = bytes.get(position..position + size + 2) else { return Ok(None) };
        if &chunk[size..] != b"\r\n" {
            return Err(ParseError::Malformed);
        }
        body.extend(&chunk[..size]);
        position += size + 2;
    }
}

/// Writes a GET request.
pub fn write_get(out: &mut Vec<u8>, path: &str, host: &str) {
    out.extend(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").as_bytes());
}
