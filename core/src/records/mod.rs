//! Service and VM records: schemas, parsing and validation.
