//! Compiles the protocol between controllers; protox needs no protoc.
fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/peer.proto");
    let set = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure().build_transport(false).compile_fds(set)?;
    Ok(())
}
