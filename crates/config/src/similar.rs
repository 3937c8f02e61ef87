//! Suggestions for misspelled words.

/// Maximum edit distance between a word and a suggestion for it.
const MAX_EDIT_DISTANCE: usize = 3;

/// Maximum length in characters of a word for which suggestions are searched.
const MAX_WORD_CHARS: usize = 128;

/// Returns the candidate with the smallest edit distance to `word`.
///
/// Candidates further away than half of the characters of `word`, or than
/// [`MAX_EDIT_DISTANCE`], are ignored.
pub(crate) fn closest<'a>(
    word: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let length = word.chars().count();
    if length > MAX_WORD_CHARS {
        return None;
    }
    let limit = MAX_EDIT_DISTANCE.min(length.div_ceil(2));
    candidates
        .into_iter()
        .filter(|candidate| candidate.chars().count().abs_diff(length) <= limit)
        .map(|candidate| (edit_distance(word, candidate), candidate))
        .filter(|(distance, _)| *distance <= limit)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the Damerau-Levenshtein distance: the number of characters that are inserted,
/// removed, replaced or swapped with a neighbor.
fn edit_distance(from: &str, to: &str) -> usize {
    let from: Vec<char> = from.chars().collect();
    let to: Vec<char> = to.chars().collect();
    let mut rows = vec![vec![0; to.len() + 1]; from.len() + 1];
    for i in 0..=from.len() {
        for j in 0..=to.len() {
            rows[i][j] = distance_cell(&rows, &from, &to, i, j);
        }
    }
    rows[from.len()][to.len()]
}

/// Returns the distance between the first `i` characters of `from` and the first `j` of `to`.
fn distance_cell(rows: &[Vec<usize>], from: &[char], to: &[char], i: usize, j: usize) -> usize {
    if i == 0 || j == 0 {
        return i + j;
    }
    let with_replacement = rows[i - 1][j - 1] + usize::from(from[i - 1] != to[j - 1]);
    let best = with_replacement.min(rows[i - 1][j] + 1).min(rows[i][j - 1] + 1);
    let is_swap = i > 1 && j > 1 && from[i - 1] == to[j - 2] && from[i - 2] == to[j - 1];
    if is_swap { best.min(rows[i - 2][j - 2] + 1) } else { best }
}
