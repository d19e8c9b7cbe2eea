//! Operator command line of wagtailshunt.
fn main() {}
