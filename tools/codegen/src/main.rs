//! Writes the gRPC code that `mustardway_wire` commits, from its `proto` folder.

use std::path::PathBuf;

/// Make the gRPC code of `mustardway_wire`
#[derive(argh::FromArgs)]
struct Arguments {
    /// folder to write to; the committed one by default
    #[argh(option)]
    out: Option<PathBuf>,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let wire = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../crates/mustardway_wire");
    let out = arguments.out.unwrap_or_else(|| wire.join("src/generated"));
    std::fs::create_dir_all(&out).expect("the output folder can be made");
    for name in ["packet", "health"] {
        volo_build::Builder::protobuf()
            .add_service(wire.join(format!("proto/{name}.proto")))
            .include_dirs(vec![wire.join("proto")])
            .out_dir(&out)
            .filename(PathBuf::from(format!("{name}.rs")))
            .write()
            .expect("the gRPC code can be generated");
    }
}
