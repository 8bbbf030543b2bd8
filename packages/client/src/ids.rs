//! Job ids in the protocol's form that independent clients never choose twice.

use coralnotch_wire::model::Name;

/// Digits of an id: the most that the form allows.  By the birthday bound, ten
/// thousand million ids are all different but for one chance in 10^12.
const DIGITS: usize = 32;

/// The system's source of randomness failed.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct RandomnessError(getrandom::Error);

/// A new id from the system's randomness.  No server is asked, and clients that
/// start at the same moment from the same image still choose different ids.
pub fn fresh_id() -> Result<Name, RandomnessError> {
    let id_count = 10u128.pow(DIGITS as u32);
    // numbers from here on would make small ids more likely
    let rejected_from = u128::MAX - u128::MAX % id_count;
    loop {
        let mut bytes = [0; 16];
        getrandom::fill(&mut bytes).map_err(RandomnessError)?;
        let number = u128::from_le_bytes(bytes);
        if number < rejected_from {
            return Ok(format!("j-{:0DIGITS$}", number % id_count).into());
        }
    }
}

#[cfg(test)]
mod tests;
