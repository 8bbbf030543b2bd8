//! Final answers of jobs: their output formats, and the file that stores them.

use std::collections::HashSet;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

use coralnotch_client::FinalAnswer;
use serde::{Deserialize, Serialize};

use super::error::SubmitError;
use crate::model::Name;

/// The final answer of a job, as `--json` and `--out` write it in one line of JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnswerLine {
    /// Id of the job.
    pub id: Name,
    /// Final answer of the job.
    pub answer: FinalAnswer,
}

/// Formats a final answer for people.
pub(super) fn answer_text(line: &AnswerLine) -> String {
    let id = &line.id;
    match &line.answer {
        FinalAnswer::Done => format!("{id} is done"),
        FinalAnswer::Cancelled => format!("{id} is cancelled"),
        FinalAnswer::Refused { status, reason } => format!("{id} is refused: {status} {reason}"),
    }
}

/// A file with one line for the final answer of each job.
///
/// Each line is synced to disk before the job is removed from the journal, so that no answer is lost in
/// a crash.
pub(super) struct AnswersFile {
    file: File,
    answered: HashSet<Name>,
}

impl AnswersFile {
    /// Opens or creates the file.  An incomplete last line, as a crash leaves it, is removed.
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

    /// Appends an answer and syncs it to disk, unless the file already has an answer of the job.
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

/// Returns the ids of the jobs that have an answer in the text.
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
