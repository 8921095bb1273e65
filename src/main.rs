//! Command line of the router; dispatches to the commands in `cmd`.

fn main() {}
