//! Reading submissions off a connection's bytes.

use coralnotch_wire::http;
use coralnotch_wire::model::JobSpec;

/// Most bytes kept of a request that is not complete; beyond that the reader gives up.
const MAX_BUFFERED_BYTES: usize = 128 * 1024;

/// Reads submissions off the bytes that a user sends: users upload a job's description for the
/// workers, and here that is the submission itself.
#[derive(Debug, Default)]
pub struct SubmissionReader {
    buffer: Vec<u8>,
    /// The bytes could not be read as requests; what follows is not read any more.
    has_given_up: bool,
    /// Complete requests so far.
    pub requests: u64,
}

impl SubmissionReader {
    /// Reads more bytes of a connection; returns the submissions that they complete.
    pub fn take(&mut self, bytes: &[u8]) -> Vec<JobSpec> {
        let mut submissions = Vec::new();
        if self.has_given_up {
            return submissions;
        }
        self.buffer.extend_from_slice(bytes);
        while !self.buffer.is_empty() && self.take_request(&mut submissions) {}
        self.has_given_up |= self.buffer.len() > MAX_BUFFERED_BYTES;
        if self.has_given_up {
            self.buffer = Vec::new();
        }
        submissions
    }

    /// Takes one request off the buffer; returns whether it was complete.
    fn take_request(&mut self, submissions: &mut Vec<JobSpec>) -> bool {
        let head = match http::parse_request(&self.buffer) {
            Ok(Some(head)) => head,
            Ok(None) => return false,
            Err(_) => {
                self.has_given_up = true;
                return false;
            }
        };
        let end = head.len + head.body;
        if self.buffer.len() < end {
            return false;
        }
        self.requests += 1;
        if head.method == "POST" && head.target == "/v2/runs" {
            submissions.extend(http::decode::<JobSpec>(&self.buffer[head.len..end]).ok());
        }
        self.buffer.drain(..end);
        true
    }
}
