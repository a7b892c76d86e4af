//! The committed generated code is up to date, and malformed frames are rejected.

use assert_matches::assert_matches;
use bytes::{BufMut, BytesMut};
use rosemarypond_wire::codec::{Codec, Error, MAX_FRAME_BYTES};
use tokio_util::codec::Decoder;

fn committed_code_matches_the_generator() {
    for name in ["peer", "gossip"] {
        assert_matches_the_generator(name);
    }
}

fn assert_matches_the_generator(name: &str) {
    let package = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let file = format!("{name}.proto");
    let set = protox::compile([file], [package.join("proto")]).expect("the file is valid");
    let process = std::process::id();
    let folder = std::env::temp_dir().join(format!("rosemarypond-wire-{process}-{name}"));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    prost_build::Config::new().out_dir(&folder).compile_fds(set).expect("the code is generated");
    let generated = std::fs::read_to_string(folder.join(format!("{name}.rs")));
    let _ = std::fs::remove_dir_all(&folder);
    let committed = std::fs::read_to_string(package.join(format!("src/generated/{name}.rs")));
    assert_eq!(
        generated.expect("the file was generated"),
        committed.expect("the file is committed")
    );
}

fn decode(length: u32, bytes: &[u8]) -> Result<bool, Error> {
    let mut buffer = BytesMut::new();
    buffer.put_u32(length);
    buffer.extend_from_slice(bytes);
    Codec::default().decode(&mut buffer).map(|frame| frame.is_some())
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    generated_code_is_up_to_date => committed_code_matches_the_generator();
    incomplete_frame_is_not_decoded => assert_matches!(decode(4, &[1]), Ok(false));
    invalid_protobuf_fails => assert_matches!(decode(2, &[0xff, 0xff]), Err(Error::Decode(_)));
    oversized_frame_fails =>
        assert_matches!(decode(MAX_FRAME_BYTES as u32 + 1, &[]), Err(Error::Io(_)));
}
