//! Property tests of the parsers, with fixed seeds: valid messages that arrive in random pieces, and random
//! bytes. Also tests of malformed messages and of the write buffer.

use dillhold::codec::{binary, http, sip, ParseError, MAX_MESSAGE_BYTES};
use dillhold::session::{ReadBuffer, WriteBuffer};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(seed: u8) -> TestRunner {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

/// Passes a stream to `parse` in pieces of the given lengths, in turn, and returns the messages found.
fn parse_in_pieces<T>(
    stream: &[u8],
    piece_lengths: &[usize],
    parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, ParseError>,
) -> Vec<T> {
    let (mut read_buffer, mut messages, mut remaining) = (ReadBuffer::default(), Vec::new(), stream);
    let mut piece_lengths = piece_lengths.iter().copied().cycle();
    while !remaining.is_empty() {
        let (piece, rest) = remaining.split_at(piece_lengths.next().unwrap_or(1).clamp(1, remaining.len()));
        read_buffer.append(piece);
        remaining = rest;
        while let Some((message, consumed)) = parse(read_buffer.unread()).expect("a valid stream") {
            messages.push(message);
            read_buffer.consume(consumed);
        }
    }
    assert!(read_buffer.unread().is_empty(), "a valid stream is consumed completely");
    messages
}

/// Kind, call id and parameters of a binary message; each parameter is its code and value.
type BinaryMessage = (u8, u64, Vec<(u8, Vec<u8>)>);

fn binary_message() -> impl Strategy<Value = BinaryMessage> {
    (any::<u8>(), any::<u64>(), vec((any::<u8>(), vec(any::<u8>(), 0..60)), 0..6))
}

#[test]
fn parses_binary_messages_in_pieces() {
    let input = (vec(binary_message(), 1..8), vec(1usize..90, 1..20));
    let property = |(messages, piece_lengths): (Vec<BinaryMessage>, Vec<usize>)| {
        let mut stream = Vec::new();
        for (kind, call_id, parameters) in &messages {
            let parameters: Vec<_> = parameters.iter().map(|(c, v)| (*c, v.as_slice())).collect();
            binary::write(&mut stream, *kind, *call_id, &parameters);
        }
        let found = parse_in_pieces(&stream, &piece_lengths, |bytes| {
            let to_owned = |m: binary::Message<'_>| {
                (m.kind, m.call_id, (0..=255u8).map(|c| m.parameter(c).map(Vec::from)).collect::<Vec<_>>())
            };
            Ok(binary::parse(bytes)?.map(|(m, consumed)| (to_owned(m), consumed)))
        });
        let first_value = |parameters: &[(u8, Vec<u8>)], code| {
            parameters.iter().find(|(c, _)| *c == code).map(|(_, v)| v.clone())
        };
        let expected = messages.iter().map(|(kind, call_id, parameters)| {
            (*kind, *call_id, (0..=255u8).map(|c| first_value(parameters, c)).collect::<Vec<_>>())
        });
        prop_assert_eq!(found, expected.collect::<Vec<_>>());
        Ok(())
    };
    runner(1).run(&input, property).unwrap();
}

#[test]
fn parses_sip_messages_in_pieces() {
    let message = (100u16..700, any::<u64>(), any::<u32>(), vec(any::<u8>(), 0..200));
    let input = (vec(message, 1..6), vec(1usize..120, 1..20));
    runner(2)
        .run(&input, |(messages, piece_lengths)| {
            let mut stream = b"\r\n\r\n".to_vec();
            for (code, call_id, number, body) in &messages {
                let start_line = format_args!("SIP/2.0 {code} Word");
                let call_id = format!("{call_id:016x}");
                let headers = format_args!("Reason: Q.850;cause=16\r\nX-Odd:\r\n folded\r\n");
                sip::write(&mut stream, start_line, call_id.as_bytes(), (*number, "INVITE"), headers, body);
            }
            let found = parse_in_pieces(&stream, &piece_lengths, |bytes| {
                Ok(sip::parse(bytes)?.map(|(m, consumed)| {
                    assert_eq!(m.cause(), Some(16));
                    let sip::StartLine::Response(code) = m.start_line else { panic!("expected a response") };
                    ((code, m.call_id().unwrap(), m.cseq().unwrap().0, m.body.to_vec()), consumed)
                }))
            });
            prop_assert_eq!(found, messages);
            Ok(())
        })
        .unwrap();
}

#[test]
fn parses_http_responses_in_pieces() {
    let input = (vec((vec(any::<u8>(), 0..300), any::<bool>()), 1..5), vec(1usize..120, 1..20));
    runner(3)
        .run(&input, |(responses, piece_lengths)| {
            let mut stream = Vec::new();
            for (body, is_chunked) in &responses {
                stream.extend(b"HTTP/1.1 200 OK\r\nServer: x\r\n");
                if *is_chunked {
                    stream.extend(b"transfer-encoding: chunked\r\n\r\n");
                    for chunk in body.chunks(70) {
                        stream.extend(
                            format!("{:x};note\r\n", chunk.len()).bytes().chain(chunk.iter().copied()),
                        );
                        stream.extend(b"\r\n");
                    }
                    stream.extend(b"0\r\nTrailer: y\r\n\r\n");
                } else {
                    stream.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
                    stream.extend(body);
                }
            }
            let found = parse_in_pieces(&stream, &piece_lengths, |bytes| {
                Ok(http::parse(bytes)?.map(|(r, consumed)| (r.body.to_vec(), consumed)))
            });
            prop_assert_eq!(found, responses.into_iter().map(|(body, _)| body).collect::<Vec<_>>());
            Ok(())
        })
        .unwrap();
}

#[test]
fn random_bytes_are_rejected_or_await_bounded_input() {
    // Prefixes that get further through the parsers than random bytes alone.
    let prefixes =
        ["", "\0\u{9}", "INVITE sip:x SIP/2.0\r\n", "SIP/2.0 200 OK\r\nContent-Length: 5", "HTTP/1.1 200"];
    let input = (0..prefixes.len(), vec(any::<u8>(), 0..400), any::<bool>());
    runner(4)
        .run(&input, |(prefix_index, random_bytes, is_long)| {
            let mut bytes = [prefixes[prefix_index].as_bytes(), &random_bytes].concat();
            if is_long {
                bytes.resize(400 * 1024, b'a');
            }
            // Either an error, or a message within the bytes, or a request for more bytes below the maximum.
            let is_valid = |consumed: Option<Result<Option<usize>, ParseError>>, max_bytes| match consumed {
                Some(Ok(Some(consumed))) => consumed > 0 && consumed <= bytes.len(),
                Some(Ok(None)) => bytes.len() < max_bytes,
                _ => true,
            };
            let consumed = binary::parse(&bytes).map(|p| p.map(|p| p.1));
            prop_assert!(is_valid(Some(consumed), MAX_MESSAGE_BYTES));
            let consumed = sip::parse(&bytes).map(|p| p.map(|p| p.1));
            prop_assert!(is_valid(Some(consumed), 2 * MAX_MESSAGE_BYTES));
            let consumed = http::parse(&bytes).map(|p| p.map(|p| p.1));
            prop_assert!(is_valid(Some(consumed), MAX_MESSAGE_BYTES + http::MAX_BODY_BYTES));
            Ok(())
        })
        .unwrap();
}

#[test]
fn rejects_oversized_message_before_it_is_complete() {
    let mut binary = (MAX_MESSAGE_BYTES as u16 - 1).to_be_bytes().to_vec();
    assert_eq!(binary::parse(&binary), Err(ParseError::TooLong));
    binary[..2].copy_from_slice(&(MAX_MESSAGE_BYTES as u16 - 2).to_be_bytes());
    assert_eq!(binary::parse(&binary), Ok(None));
    let sip = format!("BYE sip:a SIP/2.0\r\nContent-Length: {MAX_MESSAGE_BYTES}\r\n\r\n");
    assert_eq!(sip::parse(sip.as_bytes()), Err(ParseError::TooLong));
    assert_eq!(sip::parse(&vec![b'A'; MAX_MESSAGE_BYTES]), Err(ParseError::TooLong));
}

/// A response with a line that is not a valid header was once accepted.
#[test]
fn rejects_malformed_sip_responses() {
    let response = |start_line: &str, headers: &str| format!("{start_line}\r\n{headers}\r\n\r\nabcd");
    let valid = response("SIP/2.0 200 OK", "Call-ID: 00000000000000aa\r\nl: 4\r\nContent-Length: 4");
    assert!(matches!(sip::parse(valid.as_bytes()), Ok(Some((m, _))) if m.body == b"abcd"));
    for (start_line, headers) in [
        ("SIP/9.9 OK 200", "Content-Length: 4"),
        ("SIP/2.0 OK", "Content-Length: 4"),
        ("SIP/2.0 200 OK", "no colon here\r\nContent-Length: 4"),
        ("SIP/2.0 200 OK", "\u{7f}\u{1}: x\r\nContent-Length: 4"),
        ("SIP/2.0 200 OK", "Content-Length: -4"),
        ("SIP/2.0 200 OK", "Content-Length: x\r\nContent-Length: 4"),
        ("SIP/2.0 200 OK", "Content-Length: 4\r\nContent-Length: 5"),
        ("SIP/2.0 200 OK", "Call-ID: 00000000000000aa"),
    ] {
        assert_eq!(
            sip::parse(response(start_line, headers).as_bytes()),
            Err(ParseError::Malformed),
            "{start_line} {headers}"
        );
    }
    let oversized = response("SIP/2.0 200 OK", "Content-Length: 3000000000");
    assert_eq!(
        sip::parse(oversized.as_bytes()),
        Err(ParseError::TooLong),
        "rejected for the stated length, before the bytes arrive"
    );
}

/// A message that is partly written must be completed; one that is withdrawn must not be written at all.
#[test]
fn withdraws_only_messages_that_are_not_partly_written() {
    let mut write_buffer = WriteBuffer::default();
    for attempt in 0..3 {
        write_buffer.append_tracked((7, attempt), |out| out.extend([attempt as u8; 70_000]));
    }
    write_buffer.buffer().extend(b"end");
    write_buffer.mark_written(70_001);
    assert_eq!(write_buffer.withdraw(|m| m.1 > 0), vec![(7, 2)], "attempt 1 is partly written");
    assert_eq!(write_buffer.pending(), [&[1; 69_999][..], b"end"].concat());
    assert_eq!(write_buffer.clear(), vec![(7, 1)], "attempt 1 is not written completely");
}
