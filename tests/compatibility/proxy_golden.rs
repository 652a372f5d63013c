//! Golden files of the proxy, recorded from build c1e1c1e, and the comparison with them.
//!
//! There is no mode that rewrites a golden file: a difference fails the test and leaves the actual text below the
//! target folder. A golden file is changed by hand, in a commit that says why the contract may change.

use serde_json::Value;
use std::path::{Path, PathBuf};

/// What the proxy writes in front of every line of its log. Operators' log filters match on it.
pub const LOG_PREFIX: &str = "proxy: ";

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/golden/proxy").join(name)
}

/// The golden file of that name.
pub fn golden(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap_or_default()
}

/// Fails unless the text is that of the golden file.
pub fn same(name: &str, actual: &str) {
    let wanted = golden(name);
    if actual == wanted {
        return;
    }
    let kept = Path::new(env!("CARGO_TARGET_TMPDIR")).join("golden-proxy").join(name);
    std::fs::create_dir_all(kept.parent().expect("it has one")).expect("made");
    std::fs::write(&kept, actual).expect("written");
    let (mut old, mut new) = (wanted.lines(), actual.lines());
    let differs =
        (1..).map(|n| (n, old.next(), new.next())).find(|(_, old, new)| old != new || old.is_none());
    let (line, old, new) = differs.expect("it ends");
    panic!("{name}, line {line}: recorded {old:?}, now {new:?}; all of it is in {}", kept.display());
}

/// The same for JSON; the golden file has one value to a line.
pub fn same_json(name: &str, actual: &Value) {
    same(name, &format!("{actual:#}\n"));
}

/// Replaces the values under these keys, at any depth, by their type. Keys are never masked.
pub fn masked(mut value: Value, keys: &[&str]) -> Value {
    mask(&mut value, keys);
    value
}

fn mask(value: &mut Value, keys: &[&str]) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                match keys.contains(&key.as_str()) && !value.is_object() && !value.is_array() {
                    true => *value = kind(value).into(),
                    false => mask(value, keys),
                }
            }
        }
        Value::Array(all) => all.iter_mut().for_each(|value| mask(value, keys)),
        _ => {}
    }
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "<null>",
        Value::Bool(_) => "<boolean>",
        Value::Number(n) if n.is_f64() => "<fraction>",
        Value::Number(_) => "<integer>",
        _ => "<text>",
    }
}

/// The bytes of a golden file of hexadecimal digits; white space and what follows a `#` on its line do not count.
pub fn golden_bytes(name: &str) -> Vec<u8> {
    let text = golden(name);
    let digits: String = text.lines().map(|line| line.split('#').next().unwrap_or("")).collect();
    let digits: Vec<u32> = digits.chars().filter_map(|c| c.to_digit(16)).collect();
    digits.chunks_exact(2).map(|pair| (pair[0] << 4 | pair[1]) as u8).collect()
}

/// Bytes as golden files have them, 32 to a line.
pub fn hex(bytes: &[u8]) -> String {
    let line = |part: &[u8]| part.iter().map(|byte| format!("{byte:02x}")).collect::<String>() + "\n";
    bytes.chunks(32).map(line).collect()
}
