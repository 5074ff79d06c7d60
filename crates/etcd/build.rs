//! Compiles the API's protobuf definitions without `protoc`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = protox::compile(["proto/etcd.proto"], ["proto"])?;
    println!("cargo:rerun-if-changed=proto/etcd.proto");
    tonic_prost_build::configure().build_server(true).compile_fds(files)?;
    Ok(())
}
