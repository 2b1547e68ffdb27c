//! Development tasks that a build does not need.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, Command};
use eyre::{Result, WrapErr, bail, eyre};

/// Directory of the protobuf definitions, relative to the workspace.
const PROTO_DIR: &str = "proto";
/// Directory of the committed code that is generated from the protobuf definitions, relative to the
/// workspace.
const GENERATED_DIR: &str = "crates/agatepin/src/gen";

fn main() -> Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("codegen", args)) => run_codegen(args.get_flag("check")),
        _ => Err(eyre!("no task given; see `cargo xtask --help`")),
    }
}

fn command() -> Command {
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Only compare with the committed files [default: off]");
    let codegen = Command::new("codegen")
        .about("Regenerates the wire and RPC code from proto/*.proto")
        .arg(check);
    Command::new("xtask")
        .about("Development tasks")
        .subcommand_required(true)
        .subcommand(codegen)
}

/// Regenerates the committed code, or with `check` generates it under `target` and compares.
fn run_codegen(check: bool) -> Result<()> {
    let root = workspace_root()?;
    let committed = root.join(GENERATED_DIR);
    if !check {
        return generate(&root, &committed);
    }
    let scratch = root.join("target").join("codegen-check");
    generate(&root, &scratch)?;
    compare(&committed, &scratch)
}

/// Returns the root of the workspace, the parent directory of this crate.
fn workspace_root() -> Result<PathBuf> {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    let root = manifest
        .parent()
        .ok_or_else(|| eyre!("xtask has no parent directory"))?;
    Ok(root.to_path_buf())
}

/// Writes the code of `wire.proto` (messages only) and `operator.proto` (messages and RPC service)
/// to the directory `out`.
fn generate(root: &Path, out: &Path) -> Result<()> {
    std::fs::create_dir_all(out).wrap_err_with(|| format!("cannot create {}", out.display()))?;
    let protos = root.join(PROTO_DIR);
    let wire = protox::compile(["wire.proto"], [&protos]).wrap_err("cannot compile wire.proto")?;
    prost_build::Config::new()
        .bytes(["."])
        .out_dir(out)
        .compile_fds(wire)
        .wrap_err("cannot generate code from wire.proto")?;
    let operator =
        protox::compile(["operator.proto"], [&protos]).wrap_err("cannot compile operator.proto")?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(operator)
        .wrap_err("cannot generate code from operator.proto")
}

/// Fails if a file in the directory `fresh` differs from the file of the same name in `committed`,
/// or if `committed` has no such file.
fn compare(committed: &Path, fresh: &Path) -> Result<()> {
    for entry in std::fs::read_dir(fresh)? {
        let path = entry?.path();
        let name = path
            .file_name()
            .ok_or_else(|| eyre!("{} has no file name", path.display()))?;
        let old = std::fs::read(committed.join(name)).unwrap_or_default();
        if old != std::fs::read(&path)? {
            bail!(
                "generated file {} differs; run `cargo xtask codegen`",
                name.display()
            );
        }
    }
    Ok(())
}
