//! Supplies the configuration in force and keeps it up to date.
