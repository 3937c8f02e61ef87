//! Suggestions for misspelt words.

/// Largest number of edits between a word and a suggestion for it.
const MAX_EDITS: usize = 3;

/// Longest word in characters for which suggestions are looked up.
const MAX_WORD_CHARS: usize = 128;

/// Returns the candidate closest to `word`, if one is close enough to be meant.
pub(crate) fn closest<'a>(
    word: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let length = word.chars().count();
    if length > MAX_WORD_CHARS {
        return None;
    }
    let limit = MAX_EDITS.min(length.div_ceil(2));
    candidates
        .into_iter()
        .filter(|candidate| candidate.chars().count().abs_diff(length) <= limit)
        .map(|candidate| (edits(word, candidate), candidate))
        .filter(|(edits, _)| *edits <= limit)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the number of inserted, removed, replaced or swapped characters.
fn edits(from: &str, to: &str) -> usize {
    let from: Vec<char> = from.chars().collect();
    let to: Vec<char> = to.chars().collect();
    let mut rows = vec![vec![0; to.len() + 1]; from.len() + 1];
    for i in 0..=from.len() {
        for j in 0..=to.len() {
            rows[i][j] = cell(&rows, &from, &to, i, j);
        }
    }
    rows[from.len()][to.len()]
}

fn cell(rows: &[Vec<usize>], from: &[char], to: &[char], i: usize, j: usize) -> usize {
    if i == 0 || j == 0 {
        return i + j;
    }
    let replaced = rows[i - 1][j - 1] + usize::from(from[i - 1] != to[j - 1]);
    let best = replaced.min(rows[i - 1][j] + 1).min(rows[i][j - 1] + 1);
    let swapped = i > 1 && j > 1 && from[i - 1] == to[j - 2] && from[i - 2] == to[j - 1];
    if swapped { best.min(rows[i - 2][j - 2] + 1) } else { best }
}
