//! Writes the committed message code of `jb-wire` from `peer.proto`.
//! Run it from this folder with `cargo run` after a change of the protocol.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../crates/jb-wire");
    let files = protox::compile(["peer.proto"], [format!("{root}/proto")])?;
    tonic_prost_build::configure()
        .out_dir(format!("{root}/src/generated"))
        .compile_fds(files)?;
    Ok(())
}
