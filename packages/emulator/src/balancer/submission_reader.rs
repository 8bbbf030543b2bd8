//! Extraction of submissions from the bytes of a connection.

use coralnotch_wire::http;
use coralnotch_wire::model::JobSpec;

/// Maximum size of the buffer for an incomplete request; beyond it, the reader stops parsing the
/// connection.
const MAX_BUFFERED_BYTES: usize = 128 * 1024;

/// Extracts submissions from the bytes that a user sends.  Users upload the spec of a job for the
/// workers; the emulator uses the submission in place of a separate upload.
#[derive(Debug, Default)]
pub struct SubmissionReader {
    buffer: Vec<u8>,
    /// Whether parsing failed or the buffer was exceeded; further bytes are ignored.
    has_stopped_parsing: bool,
    /// Number of complete requests so far.
    pub requests: u64,
}

impl SubmissionReader {
    /// Parses further bytes of the connection; returns the submissions that they complete.
    pub fn parse(&mut self, bytes: &[u8]) -> Vec<JobSpec> {
        let mut submissions = Vec::new();
        if self.has_stopped_parsing {
            return submissions;
        }
        self.buffer.extend_from_slice(bytes);
        while !self.buffer.is_empty() && self.parse_next_request(&mut submissions) {}
        self.has_stopped_parsing |= self.buffer.len() > MAX_BUFFERED_BYTES;
        if self.has_stopped_parsing {
            self.buffer = Vec::new();
        }
        submissions
    }

    /// Parses one request and removes it from the buffer; returns `false` if it is incomplete or
    /// malformed.
    fn parse_next_request(&mut self, submissions: &mut Vec<JobSpec>) -> bool {
        let head = match http::parse_request(&self.buffer) {
            Ok(Some(head)) => head,
            Ok(None) => return false,
            Err(_) => {
                self.has_stopped_parsing = true;
                return false;
            }
        };
        let end = head.head_len + head.body_len;
        if self.buffer.len() < end {
            return false;
        }
        self.requests += 1;
        if head.method == "POST" && head.target == "/v2/runs" {
            submissions.extend(http::decode::<JobSpec>(&self.buffer[head.head_len..end]).ok());
        }
        self.buffer.drain(..end);
        true
    }
}
