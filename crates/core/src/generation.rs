//! Rules for configuration generations and their spread.
