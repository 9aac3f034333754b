//! The peer codec, and the tags that authenticate peers.

use std::time::Duration;

use bolero::check;
use shallottide::peer_codec::{
    CodecError, FrameReader, MAX_MESSAGE_BYTES, PROTOCOL_VERSION, PeerKey, PeerKeyError,
    SigningInput, decode, encode, encode_frame,
};
use shallottide_types::call::ReplyEvent;
use shallottide_types::cases;
use shallottide_types::id::StoreIndex;
use shallottide_types::peer::{ForwardedCall, PeerMsg, RecordCopy, RecordsSince};

fn records(key: &str, index: u64, value: Option<Vec<u8>>) -> PeerMsg {
    let index = StoreIndex(index);
    let key = key.into();
    PeerMsg::RecordsSince(RecordsSince {
        since: StoreIndex(1),
        to: index,
        records: vec![RecordCopy { key, index, value }],
    })
}

#[test]
fn any_bytes_decode_or_return_an_error() {
    check!().for_each(|bytes: &[u8]| {
        let _ = decode::<PeerMsg>(bytes);
        let versioned = [&[PROTOCOL_VERSION], bytes].concat();
        let _ = decode::<ForwardedCall>(&versioned);
        let _ = decode::<ReplyEvent>(&versioned);
        if let Ok(msg) = decode::<PeerMsg>(&versioned) {
            assert_eq!(decode::<PeerMsg>(&encode(&msg)), Ok(msg));
        }
    });
}

#[test]
fn any_record_round_trips() {
    let input = check!().with_type::<(String, u64, Option<Vec<u8>>)>();
    input.for_each(|(key, index, value)| {
        let msg = records(key, *index, value.clone());
        assert_eq!(decode::<PeerMsg>(&encode(&msg)), Ok(msg));
    });
}

#[test]
fn frames_are_reassembled_from_chunks_of_any_size() {
    check!()
        .with_type::<(u8, Vec<Vec<u8>>)>()
        .for_each(|(chunk_size, values)| {
            let msgs: Vec<_> = values
                .iter()
                .map(|v| records("k", 2, Some(v.clone())))
                .collect();
            let frames = msgs.iter().map(|msg| encode_frame(msg).unwrap());
            let stream = frames.collect::<Vec<_>>().concat();
            let mut reader = FrameReader::default();
            let mut read = Vec::new();
            for chunk in stream.chunks(usize::from(*chunk_size) + 1) {
                reader.push(chunk);
                while let Some(message) = reader.next_message().unwrap() {
                    read.push(decode::<PeerMsg>(&message).unwrap());
                }
            }
            assert_eq!(read, msgs);
            assert!(reader.is_empty());
        });
}

fn check_refused(bytes: &[u8], error: &CodecError) {
    assert_eq!(decode::<PeerMsg>(bytes).as_ref(), Err(error));
}

cases! { check_refused;
    empty_message_is_refused: &[], &CodecError::Empty;
    unknown_version_is_refused: &[9, 0], &CodecError::Version(9);
    trailing_bytes_are_refused: &[1, 2, 5, 0], &CodecError::Trailing(1);
    too_long_message_is_refused: &vec![1; MAX_MESSAGE_BYTES + 1], &CodecError::TooLong(MAX_MESSAGE_BYTES + 1);
}

#[test]
fn too_long_frame_is_refused_by_its_length_prefix() {
    let mut reader = FrameReader::default();
    reader.push(&u32::MAX.to_be_bytes());
    assert_eq!(
        reader.next_message(),
        Err(CodecError::TooLong(u32::MAX as usize))
    );
}

const NOW: Duration = Duration::from_secs(1_000_000);
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(30);

fn signing_input(body: &[u8]) -> SigningInput {
    let receiver = "10.0.0.2:7000".parse().unwrap();
    SigningInput::new("jkpg-1".parse().unwrap(), receiver, NOW, body)
}

fn check_verify(
    alter: impl Fn(&mut SigningInput, &mut PeerKey, &mut String, &mut Duration),
    expected: Result<(), PeerKeyError>,
) {
    let mut key = PeerKey::new(b"0123456789abcdef").unwrap();
    let mut input = signing_input(b"body");
    let mut tag = key.sign(&input);
    let mut now = NOW;
    alter(&mut input, &mut key, &mut tag, &mut now);
    assert_eq!(key.verify(&input, &tag, now, MAX_CLOCK_SKEW), expected);
}

cases! { check_verify;
    unaltered_message_is_accepted: |_, _, _, _| {}, Ok(());
    other_key_is_refused: |_, key, _, _| *key = PeerKey::new(b"0123456789abcdeX").unwrap(), Err(PeerKeyError::WrongTag);
    altered_body_is_refused: |input, _, _, _| *input = self::signing_input(b"bodY"), Err(PeerKeyError::WrongTag);
    altered_sender_is_refused: |input, _, _, _| input.sender = "jkpg-2".parse().unwrap(), Err(PeerKeyError::WrongTag);
    altered_receiver_is_refused: |input, _, _, _| input.receiver.set_port(1), Err(PeerKeyError::WrongTag);
    altered_send_time_is_refused: |input, _, _, _| input.sent_at += Duration::from_secs(1), Err(PeerKeyError::WrongTag);
    truncated_tag_is_refused: |_, _, tag, _| tag.truncate(32), Err(PeerKeyError::WrongTag);
    tag_that_is_not_hex_is_refused: |_, _, tag, _| *tag = "é".repeat(32), Err(PeerKeyError::WrongTag);
    old_send_time_is_refused: |_, _, _, now| *now += MAX_CLOCK_SKEW * 2, Err(PeerKeyError::ClockSkew(MAX_CLOCK_SKEW * 2));
    future_send_time_is_refused: |_, _, _, now| *now -= MAX_CLOCK_SKEW * 2, Err(PeerKeyError::ClockSkew(MAX_CLOCK_SKEW * 2));
}

#[test]
fn short_secret_is_refused() {
    assert_eq!(
        PeerKey::new(b"short").unwrap_err(),
        PeerKeyError::TooShort(5)
    );
}
