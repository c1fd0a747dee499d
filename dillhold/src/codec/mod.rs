//! The wire formats. Each parser takes the bytes received so far and returns the first complete message and
//! its length, or `None` if more bytes are needed. Messages borrow from the bytes; nothing is copied except
//! chunked HTTP bodies.

pub mod binary;
pub mod http;
pub mod sip;

/// Largest message of the call protocols.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Bytes that cannot be parsed. The connection has to be closed, as the start of the next message is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// The message exceeds the maximum size.
    TooLong,
    /// The bytes are not a valid message.
    Malformed,
}

/// The message at the start of the bytes and its length, if it is complete.
pub type ParseResult<T> = Result<Option<(T, usize)>, ParseError>;

/// Parses a call id in text: sixteen hexadecimal digits.
pub fn parse_call_id(text: &[u8]) -> Option<u64> {
    let is_valid = text.len() == 16 && text.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(text).ok().filter(|_| is_valid).and_then(|t| u64::from_str_radix(t, 16).ok())
}

/// The length of the head, with the empty line that ends it, or `None` if it is incomplete.
fn find_head_end(bytes: &[u8]) -> Result<Option<usize>, ParseError> {
    let searched = &bytes[..bytes.len().min(MAX_MESSAGE_BYTES)];
    match searched.windows(4).position(|w| w == b"\r\n\r\n") {
        Some(position) => Ok(Some(position + 4)),
        None if searched.len() == MAX_MESSAGE_BYTES => Err(ParseError::TooLong),
        None => Ok(None),
    }
}

/// The headers of a head, as names and values without surrounding white space. An item is `None` for a line
/// that is not a valid header. Folded continuation lines are skipped.
fn parse_headers(head: &[u8]) -> impl Iterator<Item = Option<(&[u8], &[u8])>> {
    let lines = head.split(|b| *b == b'\n').skip(1).map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let is_folded = |line: &&[u8]| line.is_empty() || matches!(line[0], b' ' | b'\t');
    lines.filter(move |line| !is_folded(line)).map(|line| {
        let colon = line.iter().position(|b| *b == b':')?;
        let name = line[..colon].trim_ascii_end();
        let is_token = |b: &u8| b.is_ascii_alphanumeric() || b"-_.!%*+`'~".contains(b);
        let is_valid = !name.is_empty() && name.iter().all(is_token);
        Some((name, line[colon + 1..].trim_ascii())).filter(|_| is_valid)
    })
}

/// The value of the first header with one of these names, ignoring case.
fn find_header<'a>(head: &'a [u8], names: &[&str]) -> Option<&'a [u8]> {
    let matches = |name: &[u8]| names.iter().any(|n| name.eq_ignore_ascii_case(n.as_bytes()));
    parse_headers(head).flatten().find(|(name, _)| matches(name)).map(|(_, value)| value)
}

/// The length of the body that a head states. Malformed headers and contradicting lengths are errors: with a
/// wrong length, the bytes of one message would be parsed as another.
fn parse_body_length(head: &[u8], names: &[&str]) -> Result<Option<u64>, ParseError> {
    let matches = |name: &[u8]| names.iter().any(|n| name.eq_ignore_ascii_case(n.as_bytes()));
    let mut length = None;
    for header in parse_headers(head) {
        let (name, value) = header.ok_or(ParseError::Malformed)?;
        if matches(name) {
            let stated = parse_decimal(value).ok_or(ParseError::Malformed)?;
            if length.is_some_and(|previous| previous != stated) {
                return Err(ParseError::Malformed);
            }
            length = Some(stated);
        }
    }
    Ok(length)
}

/// Parses a number that consists of decimal digits only.
fn parse_decimal(text: &[u8]) -> Option<u64> {
    let is_valid = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text).ok().filter(|_| is_valid).and_then(|t| t.parse().ok())
}

/// Parses attributes: `name:value` pairs joined by semicolons. Parts without a colon are skipped.
pub fn parse_attributes(text: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    text.split(|b| *b == b';').filter_map(|attribute| {
        let colon = attribute.iter().position(|b| *b == b':')?;
        Some((attribute[..colon].trim_ascii(), attribute[colon + 1..].trim_ascii()))
    })
}
