//! A line-by-line comparison of two texts.

/// The maximum size of the comparison table, in cells. If two texts would need a larger table, all
/// lines of the texts are returned as removed and added.
const MAX_TABLE_CELLS: usize = 4_000_000;

/// A line of the comparison of two texts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Line<'a> {
    /// The line is in both texts.
    Same(&'a str),
    /// The line is only in the older text.
    Removed(&'a str),
    /// The line is only in the newer text.
    Added(&'a str),
}

/// Compares two texts by the longest common subsequence of their lines.
pub(super) fn lines<'a>(before: &'a str, after: &'a str) -> Vec<Line<'a>> {
    let a: Vec<&str> = before.lines().collect();
    let b: Vec<&str> = after.lines().collect();
    if a.len() * b.len() > MAX_TABLE_CELLS {
        let removed = a.into_iter().map(Line::Removed);
        return removed.chain(b.into_iter().map(Line::Added)).collect();
    }
    let table = lcs_lengths(&a, &b);
    let width = b.len() + 1;
    let (mut i, mut j) = (0, 0);
    let mut found = Vec::new();
    while i < a.len() || j < b.len() {
        if i < a.len() && j < b.len() && a[i] == b[j] {
            found.push(Line::Same(a[i]));
            i += 1;
            j += 1;
            continue;
        }
        let is_removed =
            i < a.len() && (j == b.len() || table[(i + 1) * width + j] >= table[i * width + j + 1]);
        if is_removed {
            found.push(Line::Removed(a[i]));
            i += 1;
        } else {
            found.push(Line::Added(b[j]));
            j += 1;
        }
    }
    found
}

/// Returns the length of the longest common subsequence for each pair of suffixes of `a` and `b`.
fn lcs_lengths(a: &[&str], b: &[&str]) -> Vec<u32> {
    let width = b.len() + 1;
    let mut table = vec![0; (a.len() + 1) * width];
    for i in (0..a.len()).rev() {
        for j in (0..b.len()).rev() {
            table[i * width + j] = match a[i] == b[j] {
                true => table[(i + 1) * width + j + 1] + 1,
                false => table[(i + 1) * width + j].max(table[i * width + j + 1]),
            };
        }
    }
    table
}
