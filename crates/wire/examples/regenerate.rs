//! Regenerates the code in `src/generated` from the files in `proto/`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let package = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let set = protox::compile(
        ["delegation.proto", "gossip.proto", "peer.proto"],
        [package.join("proto")],
    )?;
    prost_build::Config::new().out_dir(package.join("src/generated")).compile_fds(set)?;
    Ok(())
}
