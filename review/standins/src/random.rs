//! Random numbers of a seeded generator (xorshift64*).

use std::sync::Mutex;

pub struct Random(Mutex<u64>);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(Mutex::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1))
    }

    /// Returns a number from 0 to 1.
    pub fn share(&self) -> f64 {
        let mut state = self.0.lock().unwrap();
        *state ^= *state >> 12;
        *state ^= *state << 25;
        *state ^= *state >> 27;
        (state.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn chance(&self, share: f64) -> bool {
        self.share() < share
    }
}
