//! Reads manifests from files, directories and standard input.

use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use carawayrun::resource::{Resource, parse_manifests};

use crate::error::CliError;

/// Reads the resources of all `sources`.
///
/// `-` is standard input. All `.yaml`, `.yml` and `.json` files of a directory
/// are read in the order of their names.
///
/// # Errors
///
/// [`CliError::Usage`] if a source can't be read, or if there are no resources.
pub(crate) fn read(sources: &[PathBuf]) -> Result<Vec<Resource>, CliError> {
    let mut resources = Vec::new();
    for source in sources {
        if source == Path::new("-") {
            resources.extend(parse("standard input", &read_stdin()?)?);
            continue;
        }
        for file in manifest_files(source)? {
            let text = fs::read_to_string(&file).map_err(|error| read_error(&file, &error))?;
            resources.extend(parse(&file.display().to_string(), &text)?);
        }
    }
    if resources.is_empty() {
        return Err(CliError::usage(
            "no resources found; give -f with a file, a directory or -",
        ));
    }
    Ok(resources)
}

fn parse(source: &str, text: &str) -> Result<Vec<Resource>, CliError> {
    parse_manifests(text).map_err(|error| CliError::usage(format!("{source}: {error}")))
}

fn read_stdin() -> Result<String, CliError> {
    let mut text = String::new();
    io::stdin()
        .read_to_string(&mut text)
        .map_err(|error| read_error(Path::new("-"), &error))?;
    Ok(text)
}

fn manifest_files(source: &Path) -> Result<Vec<PathBuf>, CliError> {
    if !source.is_dir() {
        return Ok(vec![source.to_owned()]);
    }
    let entries = fs::read_dir(source).map_err(|error| read_error(source, &error))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.map_err(|error| read_error(source, &error))?.path();
        if is_manifest(&path) {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn is_manifest(path: &Path) -> bool {
    let extension = path.extension().and_then(|extension| extension.to_str());
    path.is_file() && matches!(extension, Some("yaml" | "yml" | "json"))
}

fn read_error(path: &Path, error: &io::Error) -> CliError {
    CliError::usage(format!("can't read {}: {error}", path.display()))
}
