//! Texts of files and places in them.

use std::ops::Range;
use std::sync::Arc;

use miette::{MietteError, MietteSpanContents, SourceCode, SourceSpan, SpanContents};

/// Name and text of one file.
#[derive(Debug, PartialEq, Eq)]
pub struct Source {
    name: String,
    text: String,
}

impl Source {
    pub(crate) fn new(name: String, text: String) -> Self {
        Self { name, text }
    }

    /// Returns the name of the file without its folder.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the text of the file.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the line and column of a byte offset, both counted from 1.
    ///
    /// Columns count characters.
    pub fn position(&self, offset: usize) -> (usize, usize) {
        let before = &self.text[..self.text.floor_char_boundary(offset)];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line = before.matches('\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
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

/// Range of bytes in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) source: Arc<Source>,
    pub(crate) span: Range<usize>,
}

impl Place {
    /// Returns a place held inside the text of its file.
    pub(crate) fn new(source: &Arc<Source>, span: Range<usize>) -> Self {
        let length = source.text.len();
        let start = source.text.floor_char_boundary(span.start.min(length));
        let end = source.text.ceil_char_boundary(span.end.min(length)).max(start);
        Self { source: Arc::clone(source), span: start..end }
    }
}
