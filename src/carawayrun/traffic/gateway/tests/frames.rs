//! An answer is accepted only if it is complete and belongs to the run.

use bytes::{Bytes, BytesMut};
use prost::Message;
use test_case::test_case;

use crate::peer::message::frame::Part;
use crate::peer::message::{End, Failed, Frame, Node, RequestId, Run, Started};
use crate::traffic::gateway::frames::FrameReader;

const CHUNKS: [&str; 3] = ["one", "two", "three"];

fn id(sequence: u64) -> RequestId {
    RequestId {
        gateway: Some(Node {
            name: "g1".into(),
            incarnation: 7,
        }),
        sequence,
    }
}

fn run() -> Run {
    Run {
        request: Some(id(1)),
        ..Run::default()
    }
}

fn answer() -> Vec<Frame> {
    let mut parts = vec![Part::Started(Started::default())];
    parts.extend(CHUNKS.map(|chunk| Part::Chunk(Bytes::from(chunk))));
    parts.push(Part::End(End {
        chunks: CHUNKS.len() as u64,
        ..End::default()
    }));
    parts
        .into_iter()
        .zip(0..)
        .map(|(part, sequence)| Frame {
            request: Some(id(1)),
            step: 0,
            sequence,
            part: Some(part),
        })
        .collect()
}

fn encoded(frames: &[Frame]) -> Bytes {
    let mut bytes = BytesMut::new();
    for frame in frames {
        frame.encode_length_delimited(&mut bytes).unwrap();
    }
    bytes.freeze()
}

fn read(bytes: &Bytes, piece: usize) -> Result<Vec<Part>, String> {
    let mut reader = FrameReader::new(&run());
    let mut parts = Vec::new();
    for piece in bytes.chunks(piece) {
        reader.push(&Bytes::copy_from_slice(piece));
        while let Some(part) = reader.next().map_err(|error| error.to_string())? {
            parts.push(part);
        }
    }
    Ok(parts)
}

#[test_case(1; "byte by byte")]
#[test_case(7; "in odd pieces")]
#[test_case(10_000; "at once")]
fn complete_answer_is_read_in_pieces_of_any_size(piece: usize) {
    let frames = answer();
    let parts: Vec<Part> = frames
        .iter()
        .filter_map(|frame| frame.part.clone())
        .collect();
    assert_eq!(read(&encoded(&frames), piece), Ok(parts));
}

#[test]
fn failure_is_accepted_in_place_of_any_part() {
    for position in 0..4 {
        let mut frames = answer();
        frames.truncate(position + 1);
        frames[position].part = Some(Part::Failed(Failed::default()));
        assert_eq!(
            read(&encoded(&frames), 64).map(|parts| parts.len()),
            Ok(position + 1)
        );
    }
}

#[test_case(|frames| frames[2].request = Some(id(2)), "another request"; "of another request")]
#[test_case(|frames| frames[2].request = None, "another request"; "of no request")]
#[test_case(|frames| frames[2].step = 1, "another request or step"; "of another step")]
#[test_case(|frames| drop(frames.remove(2)), "frame 3 came where 2 was due"; "lost")]
#[test_case(|frames| frames.swap(1, 2), "frame 2 came where 1 was due"; "in the wrong order")]
#[test_case(|frames| frames.insert(2, frames[1].clone()), "frame 1 came where 2"; "twice")]
#[test_case(|frames| frames[0].part = Some(Part::Chunk(Bytes::new())), "before the start"; "before the start")]
#[test_case(|frames| frames[2].part = Some(Part::Started(Started::default())), "after the start"; "a second start")]
#[test_case(|frames| frames[4].part = Some(Part::End(End::default())), "tells of 0 chunks, and 3 came"; "with a wrong count")]
#[test_case(|frames| frames[2].part = None, "without a part"; "empty")]
fn invalid_frame_is_an_error(corrupt: fn(&mut Vec<Frame>), message: &str) {
    let mut frames = answer();
    corrupt(&mut frames);
    let error = read(&encoded(&frames), 64).unwrap_err();
    assert!(error.contains(message), "{error}");
}

#[test]
fn frame_after_the_end_is_an_error() {
    let mut frames = answer();
    let mut extra = frames[1].clone();
    extra.sequence = frames.len() as u64;
    frames.push(extra);
    let error = read(&encoded(&frames), 64).unwrap_err();
    assert!(error.contains("after the end"), "{error}");
}

#[test]
fn bytes_that_are_not_a_frame_are_an_error() {
    let error = read(&Bytes::from_static(&[3, 0xff, 0xff, 0xff]), 64).unwrap_err();
    assert!(error.contains("can't be decoded"), "{error}");
    let error = read(&Bytes::from_static(&[0xff; 16]), 64).unwrap_err();
    assert!(error.contains("can't be decoded"), "{error}");
    let error = read(&Bytes::from_static(&[0xff, 0xff, 0xff, 0xff, 0x0f]), 64).unwrap_err();
    assert!(error.contains("are accepted"), "{error}");
}
