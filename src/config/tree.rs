//! The configuration tree: documents by path, which are parsed, merged and checked together.

use std::collections::BTreeMap;
use std::sync::Arc;

use smol_str::SmolStr;

use super::check::{self, Origins};
use super::fault::Fault;
use super::locate::{UnlocatedFault, locate};
use super::path::DocumentPath;
use super::{Document, Revision, Snapshot};

/// The maximum size of one document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// The maximum number of documents in a tree.
pub const MAX_DOCUMENTS: usize = 2_048;

/// The maximum total size of all documents in bytes.
pub const MAX_TREE_BYTES: usize = 16 * 1024 * 1024;

/// The maximum number of faults that one check reports.
pub const MAX_FAULTS: usize = 50;

/// The texts of all documents.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tree {
    documents: BTreeMap<DocumentPath, Arc<str>>,
}

impl Tree {
    /// Returns the text of a document.
    pub fn get(&self, path: &DocumentPath) -> Option<&Arc<str>> {
        self.documents.get(path)
    }

    /// Adds or replaces a document; returns the document's previous text.
    pub fn put(&mut self, path: DocumentPath, text: Arc<str>) -> Option<Arc<str>> {
        self.documents.insert(path, text)
    }

    /// Deletes a document; returns the document's previous text.
    pub fn delete(&mut self, path: &DocumentPath) -> Option<Arc<str>> {
        self.documents.remove(path)
    }

    /// Iterates over all documents in order of path.
    pub fn iter(&self) -> impl Iterator<Item = (&DocumentPath, &Arc<str>)> {
        self.documents.iter()
    }

    /// Returns the number of documents.
    pub fn len(&self) -> usize {
        self.documents.len()
    }

    /// Returns whether there are no documents.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    /// Parses, merges and checks all documents.
    ///
    /// # Errors
    ///
    /// Returns the faults found, at most [`MAX_FAULTS`], in order of path and line.
    pub fn check(&self) -> Result<Document, Vec<Fault>> {
        let mut faults = Vec::new();
        self.check_sizes(&mut faults);
        if !faults.is_empty() {
            return Err(faults);
        }
        let mut merged = Merged::default();
        for (path, text) in &self.documents {
            match parse_document(path, text) {
                Ok(document) => merged.add(path, text, document),
                Err(fault) => faults.push(fault),
            }
        }
        if faults.is_empty() && merged.faults.is_empty() {
            check::check_merged(&merged.document, &merged.origins, &mut merged.faults);
        }
        faults.extend(locate(merged.faults));
        if faults.is_empty() {
            return Ok(merged.document);
        }
        faults.sort_by(|a, b| (&a.path, a.line, a.column).cmp(&(&b.path, b.line, b.column)));
        faults.truncate(MAX_FAULTS);
        Err(faults)
    }

    /// Checks the tree and builds a snapshot of it.
    ///
    /// # Errors
    ///
    /// The same as for [`Tree::check`].
    pub fn snapshot(&self, revision: Revision) -> Result<Snapshot, Vec<Fault>> {
        Ok(Snapshot {
            revision,
            merged: self.check()?,
        })
    }

    fn check_sizes(&self, faults: &mut Vec<Fault>) {
        if self.documents.len() > MAX_DOCUMENTS {
            let message = format!("the tree has more than {MAX_DOCUMENTS} documents");
            faults.push(Fault::whole("", message));
        }
        let mut total = 0;
        for (path, text) in &self.documents {
            total += text.len();
            if text.len() > MAX_DOCUMENT_BYTES {
                let message = format!("the document is larger than {MAX_DOCUMENT_BYTES} bytes");
                faults.push(Fault::whole(path.as_str(), message));
            }
        }
        if total > MAX_TREE_BYTES {
            let message = format!("the tree is larger than {MAX_TREE_BYTES} bytes");
            faults.push(Fault::whole("", message));
        }
    }
}

impl FromIterator<(DocumentPath, Arc<str>)> for Tree {
    fn from_iter<I: IntoIterator<Item = (DocumentPath, Arc<str>)>>(documents: I) -> Self {
        Self {
            documents: documents.into_iter().collect(),
        }
    }
}

/// Parses one document without checks across documents.
///
/// # Errors
///
/// Returns the first fault, with its position.
pub fn parse_document(path: &DocumentPath, text: &str) -> Result<Document, Fault> {
    toml::from_str(text).map_err(|e| match e.span() {
        Some(span) => Fault::at(path.as_str(), text, span.start, e.message()),
        None => Fault::whole(path.as_str(), e.message()),
    })
}

/// The entries of all documents, merged, with faults for duplicate names.
#[derive(Default)]
struct Merged<'a> {
    document: Document,
    origins: Origins<'a>,
    faults: Vec<UnlocatedFault<'a>>,
}

impl<'a> Merged<'a> {
    fn add(&mut self, path: &'a DocumentPath, text: &'a Arc<str>, document: Document) {
        let mut names = Vec::new();
        list_names("organisations", &document.organisations, &mut names);
        list_names("keys", &document.keys, &mut names);
        list_names("routes", &document.routes, &mut names);
        list_names("placements", &document.placements, &mut names);
        list_names("objectives", &document.objectives, &mut names);
        list_names("teams", &document.teams, &mut names);
        for (kind, name) in names {
            let Some(first) = self.origins.insert(kind, name.clone(), path, text) else {
                continue;
            };
            self.faults.push(UnlocatedFault {
                path,
                text,
                message: format!("{kind}.{name} is already defined in `{first}`"),
                keys: vec![kind.into(), name],
            });
        }
        let merged = &mut self.document;
        merged.organisations.extend(document.organisations);
        merged.keys.extend(document.keys);
        merged.routes.extend(document.routes);
        merged.placements.extend(document.placements);
        merged.objectives.extend(document.objectives);
        merged.teams.extend(document.teams);
    }
}

fn list_names<K: ToString, V>(
    kind: &'static str,
    entries: &BTreeMap<K, V>,
    names: &mut Vec<(&'static str, SmolStr)>,
) {
    for name in entries.keys() {
        names.push((kind, name.to_string().into()));
    }
}
