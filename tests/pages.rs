//! Pages: links lead somewhere, and indexes list what there is.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the Markdown files of a folder, without those of folders inside it.
fn pages(folder: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(root().join(folder)).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    paths.filter(|path| path.extension().is_some_and(|found| found == "md")).collect()
}

/// Returns the targets of the relative links of a page, without their fragments.
fn links(page: &Path) -> Vec<String> {
    let text = fs::read_to_string(page).unwrap();
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split_once(')'));
    let targets = targets.map(|(target, _)| target.split('#').next().unwrap().to_owned());
    targets.filter(|target| !target.is_empty() && !target.contains("://")).collect()
}

#[test]
fn links_lead_to_files() {
    let folders = ["", "docs", "docs/design", "docs/operations"];
    for page in folders.into_iter().flat_map(pages) {
        for link in links(&page) {
            let target = page.parent().unwrap().join(&link);
            assert!(target.exists(), "{} links to {link}, which does not exist", page.display());
        }
    }
}

#[test]
fn indexes_list_every_page() {
    let indexes =
        [("docs/operations", "docs/OPERATIONS.md"), ("docs/design", "docs/design/README.md")];
    for (folder, index) in indexes {
        let index = root().join(index);
        let listed: Vec<PathBuf> =
            links(&index).iter().map(|link| index.parent().unwrap().join(link)).collect();
        for page in pages(folder).into_iter().filter(|page| *page != index) {
            assert!(listed.contains(&page), "{} is not listed", page.display());
        }
    }
}
