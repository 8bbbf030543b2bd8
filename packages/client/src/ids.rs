//! Generates random job ids in the format of the protocol.  The ids of independent
//! clients do not collide in practice.

use coralnotch_wire::model::Name;

/// Number of digits of an id, the maximum of the format.  By the birthday bound,
/// the probability of a collision among 10^10 ids is below 10^-12.
const DIGITS: usize = 32;

/// The random number source of the operating system failed.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct RandomSourceError(getrandom::Error);

/// Generates a job id from random bytes of the operating system.
///
/// No server is involved, and clients that start at the same time from the same
/// image still generate different ids.
///
/// # Errors
///
/// Returns [`RandomSourceError`] if the operating system provides no random bytes.
pub fn generate_job_id() -> Result<Name, RandomSourceError> {
    let id_count = 10u128.pow(DIGITS as u32);
    // Numbers from this limit on are rejected, as they would make small ids more
    // likely (modulo bias).
    let rejected_from = u128::MAX - u128::MAX % id_count;
    loop {
        let mut bytes = [0; 16];
        getrandom::fill(&mut bytes).map_err(RandomSourceError)?;
        let number = u128::from_le_bytes(bytes);
        if number < rejected_from {
            return Ok(format!("j-{:0DIGITS$}", number % id_count).into());
        }
    }
}

#[cfg(test)]
mod tests;
