//! Regenerates the committed Protobuf code with `prost`.
//!
//! Usage, at the root of the repository: `cargo run --manifest-path tools/codegen/Cargo.toml`

use std::path::Path;

/// Protobuf files, each with the directory of the `message.rs` that is generated from it.
const PROTO_FILES: [(&str, &str); 2] = [
    ("crates/link/proto/link.proto", "crates/link/src"),
    ("crates/gossip/proto/gossip.proto", "crates/gossip/src"),
];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    for (proto, out_dir) in PROTO_FILES {
        if !Path::new(proto).exists() {
            continue;
        }
        let include = Path::new(proto).parent().unwrap_or(Path::new("."));
        let descriptors = protox::compile([proto], [include])?;
        prost_build::Config::new()
            .out_dir(out_dir)
            .format(true)
            .compile_fds(descriptors)?;
        let package = Path::new(proto).file_stem().unwrap_or_default().to_string_lossy();
        let generated = Path::new(out_dir).join(format!("tanagerford.{package}.rs"));
        std::fs::rename(generated, Path::new(out_dir).join("message.rs"))?;
    }
    Ok(())
}
