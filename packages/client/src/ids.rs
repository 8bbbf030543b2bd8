//! Ids in the protocol's form that independent clients never choose twice.

use coralnotch_wire::model::Name;

/// Digits of an id: the most that the form allows.  By the birthday bound, ten
/// thousand million ids are all different but for one chance in 10^12.
const DIGITS: usize = 32;

/// The system gave no randomness.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct NoRandomness(String);

/// A new id, from the system's randomness: nobody is asked, and clients that
/// start at the same moment from the same image still choose differently.
pub fn fresh_id() -> Result<Name, NoRandomness> {
    let most = 10u128.pow(DIGITS as u32);
    let fair = u128::MAX - u128::MAX % most;
    loop {
        let mut bytes = [0; 16];
        getrandom::fill(&mut bytes).map_err(|e| NoRandomness(e.to_string()))?;
        let n = u128::from_le_bytes(bytes);
        if n < fair {
            return Ok(format!("j-{:0DIGITS$}", n % most).into());
        }
    }
}

#[cfg(test)]
mod tests;
