//! Generates the Rust code of the gRPC protocol between controllers.  The protocol is compiled with
//! protox, so that the build does not require the `protoc` program.
fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/peer.proto");
    let descriptors = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure().build_transport(false).compile_fds(descriptors)?;
    Ok(())
}
