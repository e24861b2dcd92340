//! The command `config check`, which checks local documents without an instance.

use std::path::{Path, PathBuf};

use super::{CliError, Exit};
use crate::config::fault::Fault;
use crate::config::path::DocumentPath;
use crate::config::tree::Tree;

/// Checks files, or all `.toml` files below folders, as one tree.
///
/// A file below a given folder gets its path relative to that folder, without `.toml`, as its
/// document path. A file given directly gets its file name without the extension.
pub(super) fn check(paths: &[PathBuf], json: bool) -> Result<Exit, CliError> {
    let mut tree = Tree::default();
    for path in paths {
        match path.is_dir() {
            true => add_folder(&mut tree, path, path)?,
            false => add_file(&mut tree, path.parent().unwrap_or(path), path)?,
        }
    }
    let faults = tree.check().err().unwrap_or_default();
    match json {
        true => println!("{}", serde_json::json!({ "faults": faults })),
        false => print_faults(&tree, &faults),
    }
    match faults.is_empty() {
        true => Ok(Exit::Done),
        false => Ok(Exit::Refused),
    }
}

fn print_faults(tree: &Tree, faults: &[Fault]) {
    for fault in faults {
        println!("{fault}");
    }
    if faults.is_empty() {
        println!("{} documents, no faults", tree.len());
    }
}

fn add_folder(tree: &mut Tree, root: &Path, folder: &Path) -> Result<(), CliError> {
    let entries = std::fs::read_dir(folder).map_err(|e| file_error(folder, &e))?;
    for entry in entries {
        let path = entry.map_err(|e| file_error(folder, &e))?.path();
        if path.is_dir() {
            add_folder(tree, root, &path)?;
            continue;
        }
        if path.extension().is_some_and(|e| e == "toml") {
            add_file(tree, root, &path)?;
        }
    }
    Ok(())
}

fn add_file(tree: &mut Tree, root: &Path, file: &Path) -> Result<(), CliError> {
    let text = std::fs::read_to_string(file).map_err(|e| file_error(file, &e))?;
    let relative = file.strip_prefix(root).unwrap_or(file).with_extension("");
    let name = relative.to_string_lossy();
    let path = DocumentPath::parse(&name)
        .map_err(|e| CliError::File(file.display().to_string(), e.to_string()))?;
    tree.put(path, text.into());
    Ok(())
}

fn file_error(path: &Path, e: &std::io::Error) -> CliError {
    CliError::File(path.display().to_string(), e.to_string())
}
