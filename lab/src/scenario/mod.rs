//! Scenario language: grammar, parser and runner.
