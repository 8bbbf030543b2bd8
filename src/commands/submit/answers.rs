//! Final answers as lines of output, and the file that keeps them.

use std::collections::HashSet;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

use coralnotch_client::FinalAnswer;
use serde::{Deserialize, Serialize};

use super::error::SubmitError;
use crate::model::Name;

/// A final answer, as a JSON line of output.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnswerLine {
    /// The job.
    pub id: Name,
    /// Its final answer.
    pub answer: FinalAnswer,
}

/// A final answer in words.
pub(super) fn answer_text(line: &AnswerLine) -> String {
    let id = &line.id;
    match &line.answer {
        FinalAnswer::Done => format!("{id} is done"),
        FinalAnswer::Cancelled => format!("{id} is cancelled"),
        FinalAnswer::Refused { status, reason } => format!("{id} is refused: {status} {reason}"),
    }
}

/// A file of final answers with one whole line a job; each line is durable before
/// the job leaves the journal.
pub(super) struct AnswersFile {
    file: File,
    answered: HashSet<Name>,
}

impl AnswersFile {
    /// Opens a file, or creates it.  A line that a crash cut off is removed.
    pub(super) fn open(path: &Path) -> Result<AnswersFile, SubmitError> {
        let open_error = |source: io::Error| SubmitError::OpenAnswers { path: path.to_owned(), source };
        let mut options = File::options();
        let mut file = options.read(true).write(true).create(true).truncate(false).open(path).map_err(open_error)?;
        let mut text = Vec::new();
        file.read_to_end(&mut text).map_err(open_error)?;
        let whole_lines = text.iter().rposition(|byte| *byte == b'\n').map_or(0, |newline| newline + 1);
        let answered = parse_answered(path, &text[..whole_lines])?;
        file.set_len(whole_lines as u64).map_err(open_error)?;
        file.seek(SeekFrom::End(0)).map_err(open_error)?;
        Ok(AnswersFile { file, answered })
    }

    /// Appends an answer, durably, unless the job has one.
    pub(super) fn add(&mut self, line: &AnswerLine) -> io::Result<()> {
        if self.answered.contains(&line.id) {
            return Ok(());
        }
        let mut bytes = serde_json::to_vec(line)?;
        bytes.push(b'\n');
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.answered.insert(line.id.clone());
        Ok(())
    }
}

/// The jobs that have a line.
fn parse_answered(path: &Path, text: &[u8]) -> Result<HashSet<Name>, SubmitError> {
    let lines = text.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let mut answered = HashSet::new();
    for (index, line) in lines.enumerate() {
        let line: AnswerLine = serde_json::from_slice(line).map_err(|source| SubmitError::InvalidAnswer {
            path: path.to_owned(),
            line: index + 1,
            source,
        })?;
        answered.insert(line.id);
    }
    Ok(answered)
}
