//! Texts of files and locations in them.

use std::ops::Range;
use std::sync::Arc;

use miette::{MietteError, MietteSpanContents, SourceCode, SourceSpan, SpanContents};

/// Name and text of one configuration file.
#[derive(Debug, PartialEq, Eq)]
pub struct Source {
    name: String,
    text: String,
    /// Byte offset of the start of each line.
    lines: Vec<usize>,
}

impl Source {
    pub(crate) fn new(name: String, text: String) -> Self {
        let starts = text.match_indices('\n').map(|(newline, _)| newline + 1);
        let lines = std::iter::once(0).chain(starts).collect();
        Self { name, text, lines }
    }

    /// Returns the name of the file, without its folder if a [`Folder`](crate::Folder) holds it.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the text of the whole file.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the line and the column of a byte offset, both counted from 1.
    ///
    /// The column is a number of characters, not of bytes.
    pub fn position(&self, offset: usize) -> (usize, usize) {
        let offset = self.text.floor_char_boundary(offset);
        let line = self.lines.partition_point(|start| *start <= offset);
        let start = self.lines.get(line.saturating_sub(1)).copied().unwrap_or_default();
        let column = self.text[start..offset].chars().count() + 1;
        (line, column)
    }
}

impl SourceCode for Source {
    fn read_span<'a>(
        &'a self,
        span: &SourceSpan,
        lines_before: usize,
        lines_after: usize,
    ) -> Result<Box<dyn SpanContents<'a> + 'a>, MietteError> {
        let inner = self.text.as_str().read_span(span, lines_before, lines_after)?;
        Ok(Box::new(MietteSpanContents::new_named(
            self.name.clone(),
            inner.data(),
            *inner.span(),
            inner.line(),
            inner.column(),
            inner.line_count(),
        )))
    }
}

/// Range of bytes in the text of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    pub(crate) source: Arc<Source>,
    pub(crate) span: Range<usize>,
}

impl Location {
    /// Creates a location; `span` is limited to the text and widened to whole characters.
    pub(crate) fn new(source: &Arc<Source>, span: Range<usize>) -> Self {
        let length = source.text.len();
        let start = source.text.floor_char_boundary(span.start.min(length));
        let end = source.text.ceil_char_boundary(span.end.min(length)).max(start);
        Self { source: Arc::clone(source), span: start..end }
    }
}
