//! Reading manifests from files, folders and standard input.

use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use carawayrun::resource::{Resource, parse_manifests};

use crate::failure::Failure;

/// Reads the resources of all `sources`; `-` is standard input, and of a folder
/// all `.yaml`, `.yml` and `.json` files are read in the order of their names.
///
/// # Errors
///
/// [`Failure::Usage`] names the source that can't be read.
pub(crate) fn read(sources: &[PathBuf]) -> Result<Vec<Resource>, Failure> {
    let mut resources = Vec::new();
    for source in sources {
        if source == Path::new("-") {
            resources.extend(parse("standard input", &stdin_text()?)?);
            continue;
        }
        for file in files(source)? {
            let text = fs::read_to_string(&file).map_err(|error| unreadable(&file, &error))?;
            resources.extend(parse(&file.display().to_string(), &text)?);
        }
    }
    if resources.is_empty() {
        return Err(Failure::usage(
            "no resources found; give files with -f FILE, a folder or -",
        ));
    }
    Ok(resources)
}

fn parse(source: &str, text: &str) -> Result<Vec<Resource>, Failure> {
    parse_manifests(text).map_err(|error| Failure::usage(format!("{source}: {error}")))
}

fn stdin_text() -> Result<String, Failure> {
    let mut text = String::new();
    io::stdin()
        .read_to_string(&mut text)
        .map_err(|error| unreadable(Path::new("-"), &error))?;
    Ok(text)
}

fn files(source: &Path) -> Result<Vec<PathBuf>, Failure> {
    if !source.is_dir() {
        return Ok(vec![source.to_owned()]);
    }
    let entries = fs::read_dir(source).map_err(|error| unreadable(source, &error))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.map_err(|error| unreadable(source, &error))?.path();
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

fn unreadable(path: &Path, error: &io::Error) -> Failure {
    Failure::usage(format!("can't read {}: {error}", path.display()))
}
