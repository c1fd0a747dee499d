//! The parsers against random cuts of valid messages and random garbage, from fixed seeds.

use dillhold::codec::{binary, http, sip, Unreadable, MAX_MESSAGE_BYTES};
use dillhold::session::{ReadBuffer, WriteBuffer};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(seed: u8) -> TestRunner {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

/// Feeds a stream in pieces, each cut telling a piece's length, and lists what `parse` finds.
fn read<T>(
    stream: &[u8],
    cuts: &[usize],
    parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, Unreadable>,
) -> Vec<T> {
    let (mut read_buffer, mut found, mut rest) = (ReadBuffer::default(), Vec::new(), stream);
    let mut cuts = cuts.iter().copied().cycle();
    while !rest.is_empty() {
        let (piece, after) = rest.split_at(cuts.next().unwrap_or(1).clamp(1, rest.len()));
        read_buffer.append(piece);
        rest = after;
        while let Some((one, taken)) = parse(read_buffer.unread()).expect("a valid stream") {
            found.push(one);
            read_buffer.consume(taken);
        }
    }
    assert!(read_buffer.unread().is_empty(), "nothing is left of a valid stream");
    found
}

type Plain = (u8, u64, Vec<(u8, Vec<u8>)>);

fn plain() -> impl Strategy<Value = Plain> {
    (any::<u8>(), any::<u64>(), vec((any::<u8>(), vec(any::<u8>(), 0..60)), 0..6))
}

#[test]
fn binary_messages_survive_any_cut() {
    let messages = (vec(plain(), 1..8), vec(1usize..90, 1..20));
    let whole = |(messages, cuts): (Vec<Plain>, Vec<usize>)| {
        let mut stream = Vec::new();
        for (kind, call, parameters) in &messages {
            let parameters: Vec<_> = parameters.iter().map(|(c, v)| (*c, v.as_slice())).collect();
            binary::write(&mut stream, *kind, *call, &parameters);
        }
        let found = read(&stream, &cuts, |bytes| {
            let own = |m: binary::Message<'_>| {
                (m.kind, m.call_id, (0..=255u8).map(|c| m.parameter(c).map(Vec::from)).collect::<Vec<_>>())
            };
            Ok(binary::parse(bytes)?.map(|(m, taken)| (own(m), taken)))
        });
        let first = |parameters: &[(u8, Vec<u8>)], code| {
            parameters.iter().find(|(c, _)| *c == code).map(|(_, v)| v.clone())
        };
        let sent = messages.iter().map(|(kind, call, parameters)| {
            (*kind, *call, (0..=255u8).map(|c| first(parameters, c)).collect::<Vec<_>>())
        });
        prop_assert_eq!(found, sent.collect::<Vec<_>>());
        Ok(())
    };
    runner(1).run(&messages, whole).unwrap();
}

#[test]
fn sip_messages_survive_any_cut() {
    let one = (100u16..700, any::<u64>(), any::<u32>(), vec(any::<u8>(), 0..200));
    let messages = (vec(one, 1..6), vec(1usize..120, 1..20));
    runner(2)
        .run(&messages, |(messages, cuts)| {
            let mut stream = b"\r\n\r\n".to_vec();
            for (code, call, number, body) in &messages {
                let line = format_args!("SIP/2.0 {code} Word");
                let call = format!("{call:016x}");
                let further = format_args!("Reason: Q.850;cause=16\r\nX-Odd:\r\n folded\r\n");
                sip::write(&mut stream, line, call.as_bytes(), (*number, "INVITE"), further, body);
            }
            let found = read(&stream, &cuts, |bytes| {
                Ok(sip::parse(bytes)?.map(|(m, taken)| {
                    assert_eq!(m.cause(), Some(16));
                    let sip::StartLine::Response(code) = m.start_line else {
                        panic!("a response was written")
                    };
                    ((code, m.call_id().unwrap(), m.cseq().unwrap().0, m.body.to_vec()), taken)
                }))
            });
            prop_assert_eq!(found, messages);
            Ok(())
        })
        .unwrap();
}

#[test]
fn http_answers_survive_any_cut() {
    let answers = (vec((vec(any::<u8>(), 0..300), any::<bool>()), 1..5), vec(1usize..120, 1..20));
    runner(3)
        .run(&answers, |(answers, cuts)| {
            let mut stream = Vec::new();
            for (body, chunked) in &answers {
                stream.extend(b"HTTP/1.1 200 OK\r\nServer: x\r\n");
                if *chunked {
                    stream.extend(b"transfer-encoding: chunked\r\n\r\n");
                    for part in body.chunks(70) {
                        stream
                            .extend(format!("{:x};note\r\n", part.len()).bytes().chain(part.iter().copied()));
                        stream.extend(b"\r\n");
                    }
                    stream.extend(b"0\r\nTrailer: y\r\n\r\n");
                } else {
                    stream.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
                    stream.extend(body);
                }
            }
            let found = read(&stream, &cuts, |bytes| {
                Ok(http::parse(bytes)?.map(|(r, taken)| (r.body.to_vec(), taken)))
            });
            prop_assert_eq!(found, answers.into_iter().map(|(body, _)| body).collect::<Vec<_>>());
            Ok(())
        })
        .unwrap();
}

#[test]
fn garbage_is_refused_or_bounded() {
    // Starts that lead further into the parsers than bare noise does.
    let starts =
        ["", "\0\u{9}", "INVITE sip:x SIP/2.0\r\n", "SIP/2.0 200 OK\r\nContent-Length: 5", "HTTP/1.1 200"];
    let noise = (0..starts.len(), vec(any::<u8>(), 0..400), any::<bool>());
    runner(4)
        .run(&noise, |(start, noise, long)| {
            let mut bytes = [starts[start].as_bytes(), &noise].concat();
            if long {
                bytes.resize(400 * 1024, b'a');
            }
            // Either it is an error, or a message within the bytes, or more is needed below the cap.
            let settled = |taken: Option<Result<Option<usize>, Unreadable>>, cap| match taken {
                Some(Ok(Some(taken))) => taken > 0 && taken <= bytes.len(),
                Some(Ok(None)) => bytes.len() < cap,
                _ => true,
            };
            let taken = binary::parse(&bytes).map(|p| p.map(|p| p.1));
            prop_assert!(settled(Some(taken), MAX_MESSAGE_BYTES));
            let taken = sip::parse(&bytes).map(|p| p.map(|p| p.1));
            prop_assert!(settled(Some(taken), 2 * MAX_MESSAGE_BYTES));
            let taken = http::parse(&bytes).map(|p| p.map(|p| p.1));
            prop_assert!(settled(Some(taken), MAX_MESSAGE_BYTES + http::MAX_BODY_BYTES));
            Ok(())
        })
        .unwrap();
}

#[test]
fn messages_over_the_cap_are_refused_before_they_are_whole() {
    let mut binary = (MAX_MESSAGE_BYTES as u16 - 1).to_be_bytes().to_vec();
    assert_eq!(binary::parse(&binary), Err(Unreadable::TooLong));
    binary[..2].copy_from_slice(&(MAX_MESSAGE_BYTES as u16 - 2).to_be_bytes());
    assert_eq!(binary::parse(&binary), Ok(None));
    let sip = format!("BYE sip:a SIP/2.0\r\nContent-Length: {MAX_MESSAGE_BYTES}\r\n\r\n");
    assert_eq!(sip::parse(sip.as_bytes()), Err(Unreadable::TooLong));
    assert_eq!(sip::parse(&vec![b'A'; MAX_MESSAGE_BYTES]), Err(Unreadable::TooLong));
}

/// An answer with a line that is no header was once passed on as good.
#[test]
fn spoilt_answers_cannot_be_read() {
    let answer = |first: &str, lines: &str| format!("{first}\r\n{lines}\r\n\r\nabcd");
    let good = answer("SIP/2.0 200 OK", "Call-ID: 00000000000000aa\r\nl: 4\r\nContent-Length: 4");
    assert!(matches!(sip::parse(good.as_bytes()), Ok(Some((m, _))) if m.body == b"abcd"));
    for (first, lines) in [
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
            sip::parse(answer(first, lines).as_bytes()),
            Err(Unreadable::Malformed),
            "{first} {lines}"
        );
    }
    let huge = answer("SIP/2.0 200 OK", "Content-Length: 3000000000");
    assert_eq!(sip::parse(huge.as_bytes()), Err(Unreadable::TooLong), "on the claim, not on the bytes");
}

/// What has begun to leave cannot be taken back; what has not must not leave.
#[test]
fn only_what_has_not_begun_to_leave_is_taken_back() {
    let mut write_buffer = WriteBuffer::default();
    for attempt in 0..3 {
        write_buffer.append_tracked((7, attempt), |out| out.extend([attempt as u8; 70_000]));
    }
    write_buffer.buffer().extend(b"end");
    write_buffer.mark_written(70_001);
    assert_eq!(write_buffer.withdraw(|m| m.1 > 0), vec![(7, 2)], "the second one has begun");
    assert_eq!(write_buffer.pending(), [&[1; 69_999][..], b"end"].concat());
    assert_eq!(write_buffer.clear(), vec![(7, 1)], "and has not left whole");
}
