//! Limits the width of the source lines, so that they can be read without scrolling sideways. The length and
//! the complexity of functions are checked by clippy in the four files of the decision module, which enable
//! its lints `too_many_lines` (60 lines, set in `clippy.toml`) and `cognitive_complexity`.
#![allow(missing_docs)]

use std::path::{Path, PathBuf};
use std::{fs, io};

const MAX_COLUMNS: usize = 110;
/// The files of the decision module. The search for source files must find them; without this, it would pass
/// on an empty folder.
const DECISION_MODULE_FILES: [&str; 4] =
    ["policy.rs", "policy/admission.rs", "policy/discovery_refresh.rs", "policy/slow_start.rs"];

/// Returns all Rust source files below a directory.
fn rust_files_below(directory: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        if path.metadata()?.is_dir() {
            files.extend(rust_files_below(&path)?);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    Ok(files)
}

#[test]
fn source_lines_are_at_most_110_columns_wide() {
    let source_directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = rust_files_below(&source_directory).expect("failed to list the files below src/");
    for name in DECISION_MODULE_FILES {
        assert!(files.contains(&source_directory.join(name)), "src/{name} of the decision module not found");
    }
    for file in &files {
        let text = fs::read_to_string(file)
            .unwrap_or_else(|error| panic!("cannot read file {}: {error}", file.display()));
        for (index, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(
                columns <= MAX_COLUMNS,
                "{}:{}: {columns} columns, at most {MAX_COLUMNS} allowed: {line}",
                file.display(),
                index + 1
            );
        }
    }
}
