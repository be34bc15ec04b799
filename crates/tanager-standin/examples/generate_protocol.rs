//! Generates the committed peer protocol code from `peer.proto`, without an installed `protoc`.

use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let protocol = Path::new(env!("CARGO_MANIFEST_DIR")).join("../tanager-protocol");
    let descriptors = protox::compile(["peer.proto"], [protocol.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(protocol.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
