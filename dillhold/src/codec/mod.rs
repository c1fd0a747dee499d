//! The wire formats. Each parser takes the bytes read so far and gives the first whole message, as slices of
//! those bytes, with its length; `None` means that more bytes are needed. Nothing is copied here.

pub mod binary;
pub mod http;
pub mod sip;

/// The most bytes of one message.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Bytes that cannot be read on: the connection they came on has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// The message is longer than the cap.
    TooLong,
    /// The bytes do not have the form of a message.
    Malformed,
}

/// A message at the start of the bytes and how many of them it takes, if it is whole.
pub type Parsed<T> = Result<Option<(T, usize)>, Unreadable>;

/// Sixteen hex digits: how a call is named in text.
pub fn parse_call_id(text: &[u8]) -> Option<u64> {
    let digits = text.len() == 16 && text.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(text).ok().filter(|_| digits).and_then(|t| u64::from_str_radix(t, 16).ok())
}

/// Where the blank line ends that closes a head of CRLF lines, if it has come. Over the cap it is an error.
fn head_end(bytes: &[u8]) -> Result<Option<usize>, Unreadable> {
    let seen = &bytes[..bytes.len().min(MAX_MESSAGE_BYTES)];
    match seen.windows(4).position(|w| w == b"\r\n\r\n") {
        Some(at) => Ok(Some(at + 4)),
        None if seen.len() == MAX_MESSAGE_BYTES => Err(Unreadable::TooLong),
        None => Ok(None),
    }
}

/// The header lines of a head: name and value without the white space round them. `None`: a line that is no
/// header, nor goes on with the one before.
fn headers(head: &[u8]) -> impl Iterator<Item = Option<(&[u8], &[u8])>> {
    let lines = head.split(|b| *b == b'\n').skip(1).map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let folded = |line: &&[u8]| line.is_empty() || matches!(line[0], b' ' | b'\t');
    lines.filter(move |line| !folded(line)).map(|line| {
        let colon = line.iter().position(|b| *b == b':')?;
        let name = line[..colon].trim_ascii_end();
        let token = |b: &u8| b.is_ascii_alphanumeric() || b"-_.!%*+`'~".contains(b);
        let named = !name.is_empty() && name.iter().all(token);
        Some((name, line[colon + 1..].trim_ascii())).filter(|_| named)
    })
}

/// A header's value by any of its names, whatever their case.
fn header<'a>(head: &'a [u8], names: &[&str]) -> Option<&'a [u8]> {
    let named = |name: &[u8]| names.iter().any(|n| name.eq_ignore_ascii_case(n.as_bytes()));
    headers(head).flatten().find(|(name, _)| named(name)).map(|(_, value)| value)
}

/// The length that a head gives for its body: a number, the same wherever it is given. Whoever reads on past
/// a length that may be wrong takes one message's bytes for another's.
fn body_length(head: &[u8], names: &[&str]) -> Result<Option<u64>, Unreadable> {
    let named = |name: &[u8]| names.iter().any(|n| name.eq_ignore_ascii_case(n.as_bytes()));
    let mut length = None;
    for line in headers(head) {
        let (name, value) = line.ok_or(Unreadable::Malformed)?;
        if named(name) {
            let told = decimal(value).ok_or(Unreadable::Malformed)?;
            if length.is_some_and(|known| known != told) {
                return Err(Unreadable::Malformed);
            }
            length = Some(told);
        }
    }
    Ok(length)
}

/// A whole number in decimal digits and nothing else.
fn decimal(text: &[u8]) -> Option<u64> {
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text).ok().filter(|_| digits).and_then(|t| t.parse().ok())
}

/// Figures in text: `name:value` joined by semicolons. What has no colon is skipped.
pub fn attributes(text: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    text.split(|b| *b == b';').filter_map(|figure| {
        let colon = figure.iter().position(|b| *b == b':')?;
        Some((figure[..colon].trim_ascii(), figure[colon + 1..].trim_ascii()))
    })
}
