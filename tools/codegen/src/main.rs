//! Generates the gRPC code of `mustardway_wire` from the `.proto` files in its `proto` folder.
//!
//! The generated code is committed; CI regenerates it and compares.

use std::path::PathBuf;

/// Generate the gRPC code of `mustardway_wire`
#[derive(argh::FromArgs)]
struct Arguments {
    /// folder to write to; default is the folder of the committed code
    #[argh(option)]
    out: Option<PathBuf>,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let wire = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../crates/mustardway_wire");
    let out = arguments.out.unwrap_or_else(|| wire.join("src/generated"));
    std::fs::create_dir_all(&out).expect("the output folder can be created");
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
