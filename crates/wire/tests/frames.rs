//! The committed code is what its generator makes, and bad bytes are refused.

use assert_matches::assert_matches;
use bytes::{BufMut, BytesMut};
use rosemarypond_wire::codec::{Codec, Error, MAX_FRAME_BYTES};
use tokio_util::codec::Decoder;

fn is_generated() {
    for name in ["peer", "gossip"] {
        assert_is_generated(name);
    }
}

fn assert_is_generated(name: &str) {
    let package = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let file = format!("{name}.proto");
    let set = protox::compile([file], [package.join("proto")]).expect("a right file");
    let process = std::process::id();
    let folder = std::env::temp_dir().join(format!("rosemarypond-wire-{process}-{name}"));
    std::fs::create_dir_all(&folder).expect("a folder");
    prost_build::Config::new().out_dir(&folder).compile_fds(set).expect("code is made");
    let made = std::fs::read_to_string(folder.join(format!("{name}.rs")));
    let _ = std::fs::remove_dir_all(&folder);
    let committed = std::fs::read_to_string(package.join(format!("src/generated/{name}.rs")));
    assert_eq!(made.expect("the file is there"), committed.expect("the file is committed"));
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
    generated_code => is_generated();
    half_a_frame => assert_matches!(decode(4, &[1]), Ok(false));
    no_frame => assert_matches!(decode(2, &[0xff, 0xff]), Err(Error::Decode(_)));
    too_long => assert_matches!(decode(MAX_FRAME_BYTES as u32 + 1, &[]), Err(Error::Io(_)));
}
