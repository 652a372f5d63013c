//! Names that leave the process: each name of `outer_names.txt` still stands in the code, outside of
//! comments.
//!
//! A name that other processes, stored data, settings or operators' scripts use must survive a rename in the code.

use std::collections::HashSet;
use std::fs;
use std::path::{Path, PathBuf};

const OUTER_NAMES: &str = include_str!("outer_names.txt");

/// Files below a folder.
fn files(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the folder's entries can be read").path();
        match path.is_dir() {
            true => found.extend(files(&path)),
            false => found.push(path),
        }
    }
    found
}

fn text(path: &Path) -> String {
    String::from_utf8_lossy(&fs::read(path).expect("the file can be read")).into_owned()
}

/// Source text without lines that are comments: a name in a comment keeps nothing.
fn code(path: &Path) -> String {
    let source = text(path);
    source
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"))
        .map(|line| format!("{line}\n"))
        .collect()
}

fn is_word(character: char) -> bool {
    character.is_alphanumeric() || character == '_'
}

/// Whether the name stands in the text, not as a part of a longer word.
fn contains_name(text: &str, name: &str) -> bool {
    text.match_indices(name).any(|(start, _)| {
        let joins_before = name.starts_with(is_word) && text[..start].ends_with(is_word);
        let joins_after = name.ends_with(is_word) && text[start + name.len()..].starts_with(is_word);
        !joins_before && !joins_after
    })
}

/// Name without the case and the separators that serde's and clap's attributes derive.
fn normalized(name: &str) -> String {
    name.chars().filter(|c| !matches!(c, '_' | '-')).flat_map(char::to_lowercase).collect()
}

/// Words of the files whose attributes derive outer names from identifiers.
fn derived_words(sources: &[String]) -> HashSet<String> {
    let derives = |source: &&String| source.contains("rename_all") || source.contains("clap::");
    sources.iter().filter(derives).flat_map(|source| source.split(|c| !is_word(c))).map(normalized).collect()
}

#[test]
fn names_that_leave_the_process_still_stand() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let sources: Vec<String> = files(&root.join("src")).iter().map(|path| code(path)).collect();
    let derived = derived_words(&sources);
    let in_code = |name: &str| {
        sources.iter().any(|source| contains_name(source, name)) || derived.contains(&normalized(name))
    };
    let gone: Vec<&str> = OUTER_NAMES.lines().filter(|name| !in_code(name)).collect();
    assert!(gone.is_empty(), "names that other programs use are gone: {gone:#?}");
}
