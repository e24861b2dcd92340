//! Stand-ins and the cases that are scripts: `standin-3 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod drain_cut_watch;
mod garble_101;
mod http;
mod json;
mod large_bodies;
mod odd_entry;
mod slow_readers;
mod store;
mod world;

use std::path::{Path, PathBuf};
use std::process::exit;

/// Whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: standin-3 CASE FOLDER");
        exit(2);
    };
    let folder = PathBuf::from(folder);
    let tmp = std::env::temp_dir().join(format!("limpetstand-review-{}", std::process::id()));
    let run: fn(&Path, &Path) -> Result<bool, String> = match case.as_str() {
        "drain-cut-watch" => drain_cut_watch::run,
        "garble-101" => garble_101::run,
        "odd-entry" => odd_entry::run,
        "slow-readers" => slow_readers::run,
        "large-bodies" => large_bodies::run,
        _ => {
            eprintln!("no such case");
            exit(2);
        }
    };
    let outcome = run(&folder.join("record.txt"), &tmp);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&tmp);
    }
    match outcome {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(e) => {
            eprintln!("could not run: {e}");
            exit(2);
        }
    }
}
