//! Parser of the scenario language: converts the text of a script to a [`Script`].
//!
//! The grammar is in `docs/scenarios.md`.

use std::time;

use winnow::ascii::{dec_uint, space0, space1};
use winnow::combinator::{
    alt, cut_err, delimited, dispatch, eof, fail, opt, peek, preceded, repeat, terminated,
};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{any, none_of, take_while};
use winnow::{ModalResult, Parser};

use super::{Arg, Args, Invocation, Script, Setting, Statement, StatementKind, When};

type Input<'a> = LocatingSlice<&'a str>;

/// Maximum nesting depth of `repeat` blocks.
const MAX_NESTING: usize = 8;

/// A syntax error in a script.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {message}")]
pub struct ParseError {
    /// Line of the error, from 1.
    pub line: usize,
    /// Column of the error in characters, from 1.
    pub column: usize,
    /// Description of the error, usually of the expected text.
    pub message: String,
}

/// Parses the text of a script.
///
/// # Errors
///
/// Returns an error if the text does not follow the grammar or names no world.
pub fn parse(text: &str) -> Result<Script, ParseError> {
    let parsed = script.parse(LocatingSlice::new(text));
    let (mut script, end) = parsed.map_err(|err| {
        let (line, column) = position(text, err.offset());
        ParseError {
            line,
            column,
            message: describe(err.inner()),
        }
    })?;
    if script.world.is_empty() {
        let (line, column) = position(text, end);
        let message = "the header names no world".to_owned();
        return Err(ParseError {
            line,
            column,
            message,
        });
    }
    resolve_setting_lines(text, &mut script.settings);
    resolve_setting_lines(text, &mut script.mutations);
    resolve_statement_lines(text, &mut script.statements);
    Ok(script)
}

/// Converts a byte offset to a line and a column, both from 1.
fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |at| at + 1);
    (line, before[start..].chars().count() + 1)
}

fn describe(err: &ContextError) -> String {
    if let Some(cause) = err.cause() {
        return cause.to_string();
    }
    let expected: Vec<String> = err
        .context()
        .filter_map(|context| match context {
            StrContext::Expected(value) => Some(value.to_string()),
            _ => None,
        })
        .collect();
    if expected.is_empty() {
        return "unexpected text".to_owned();
    }
    format!("expected {}", expected.join(" or "))
}

/// Replaces the byte offsets that the parser stores in `line` with line numbers.
fn resolve_setting_lines(text: &str, settings: &mut [Setting]) {
    for setting in settings {
        setting.line = position(text, setting.line).0;
    }
}

fn resolve_statement_lines(text: &str, statements: &mut [Statement]) {
    for statement in statements {
        statement.line = position(text, statement.line).0;
        if let StatementKind::Repeat { body, .. } = &mut statement.kind {
            resolve_statement_lines(text, body);
        }
    }
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

enum Header {
    World(String),
    Seed(u64),
    Set(Setting),
    Duration(time::Duration),
    Mutation(Setting),
}

/// Parses a script; returns it with the byte offset at which its header ends.
fn script(input: &mut Input<'_>) -> ModalResult<(Script, usize)> {
    blank_lines(input)?;
    let headers: Vec<Header> = repeat(0.., terminated(header, line_end)).parse_next(input)?;
    let end = input.current_token_start();
    let statements = repeat(0.., terminated(statement(0), line_end)).parse_next(input)?;
    cut_err(eof)
        .context(expected("`at`, `every`, `expect` or `repeat`"))
        .parse_next(input)?;
    let mut script = Script {
        statements,
        ..Script::default()
    };
    for header in headers {
        match header {
            Header::World(world) => script.world = world,
            Header::Seed(seed) => script.seed = seed,
            Header::Set(setting) => script.settings.push(setting),
            Header::Duration(duration) => script.duration = Some(duration),
            Header::Mutation(setting) => script.mutations.push(setting),
        }
    }
    Ok((script, end))
}

/// Accepts spaces, comments and line ends.
fn blank_lines(input: &mut Input<'_>) -> ModalResult<()> {
    skip_blank(input)?;
    while opt(newline).parse_next(input)?.is_some() {
        skip_blank(input)?;
    }
    Ok(())
}

fn skip_blank(input: &mut Input<'_>) -> ModalResult<()> {
    (space0, opt(('#', take_while(0.., |c| c != '\n'))))
        .void()
        .parse_next(input)
}

fn newline(input: &mut Input<'_>) -> ModalResult<()> {
    (opt('\r'), '\n').void().parse_next(input)
}

/// Accepts the end of a line and all empty or comment lines after it.
fn line_end(input: &mut Input<'_>) -> ModalResult<()> {
    skip_blank(input)?;
    cut_err(alt((newline, eof.void(), peek('}').void())))
        .context(expected("end of line"))
        .parse_next(input)?;
    blank_lines(input)
}

fn header(input: &mut Input<'_>) -> ModalResult<Header> {
    dispatch! { word;
        "world" => argument(name).map(Header::World),
        "seed" => argument(seed).map(Header::Seed),
        "set" => (setting).map(Header::Set),
        "duration" => argument(duration).map(Header::Duration),
        "fails" => preceded(argument(keyword("when")), setting).map(Header::Mutation),
        _ => fail,
    }
    .parse_next(input)
}

fn seed(input: &mut Input<'_>) -> ModalResult<u64> {
    dec_uint
        .context(expected("a whole number"))
        .parse_next(input)
}

fn setting(input: &mut Input<'_>) -> ModalResult<Setting> {
    let line = input.current_token_start();
    let key = argument(name).parse_next(input)?;
    let value = argument(value).parse_next(input)?;
    Ok(Setting { key, value, line })
}

fn statement<'a>(depth: usize) -> impl FnMut(&mut Input<'a>) -> ModalResult<Statement> {
    move |input: &mut Input<'a>| {
        let line = input.current_token_start();
        let kind = dispatch! { word;
            "at" => (argument(duration), invocation)
                .map(|(at, invocation)| StatementKind::At(at, invocation)),
            "every" => every,
            "expect" => (when, invocation)
                .map(|(when, invocation)| StatementKind::Expect(when, invocation)),
            "repeat" => repeat_block(depth),
            _ => fail,
        }
        .parse_next(input)?;
        Ok(Statement { line, kind })
    }
}

fn every(input: &mut Input<'_>) -> ModalResult<StatementKind> {
    let period = argument(duration).parse_next(input)?;
    let from = optional_duration("from")
        .parse_next(input)?
        .unwrap_or_default();
    argument(keyword("until")).parse_next(input)?;
    let until = argument(duration).parse_next(input)?;
    let invocation = invocation.parse_next(input)?;
    Ok(StatementKind::Every {
        period,
        from,
        until,
        invocation,
    })
}

fn when(input: &mut Input<'_>) -> ModalResult<When> {
    let kind = argument(alt(("at", "by", "always")))
        .context(expected("`at`, `by` or `always`"))
        .parse_next(input)?;
    match kind {
        "at" => argument(duration).map(When::At).parse_next(input),
        "by" => {
            let until = argument(duration).parse_next(input)?;
            let from = optional_duration("from")
                .parse_next(input)?
                .unwrap_or_default();
            Ok(When::By { from, until })
        }
        _ => {
            let from = optional_duration("from")
                .parse_next(input)?
                .unwrap_or_default();
            let until = optional_duration("until").parse_next(input)?;
            Ok(When::Always { from, until })
        }
    }
}

fn repeat_block<'a>(depth: usize) -> impl FnMut(&mut Input<'a>) -> ModalResult<StatementKind> {
    move |input: &mut Input<'a>| {
        if depth >= MAX_NESTING {
            return cut_err(fail)
                .context(expected("at most 8 nested blocks"))
                .parse_next(input);
        }
        let count = argument(seed).parse_next(input)?;
        argument(keyword("every")).parse_next(input)?;
        let period = argument(duration).parse_next(input)?;
        let from = optional_duration("from")
            .parse_next(input)?
            .unwrap_or_default();
        argument('{').context(expected("`{`")).parse_next(input)?;
        line_end(input)?;
        let body = repeat(0.., terminated(statement(depth + 1), line_end)).parse_next(input)?;
        cut_err('}')
            .context(expected("a statement or `}`"))
            .parse_next(input)?;
        Ok(StatementKind::Repeat {
            count,
            period,
            from,
            body,
        })
    }
}

fn invocation(input: &mut Input<'_>) -> ModalResult<Invocation> {
    let name = argument(name).parse_next(input)?;
    let args: Vec<Arg> = repeat(0.., preceded(space1, arg)).parse_next(input)?;
    Ok(Invocation {
        name,
        args: Args(args),
    })
}

/// Accepts at least one space and then `inner`; both are required.
fn argument<'a, O, P>(mut inner: P) -> impl FnMut(&mut Input<'a>) -> ModalResult<O>
where
    P: Parser<Input<'a>, O, winnow::error::ErrMode<ContextError>>,
{
    move |input: &mut Input<'a>| {
        cut_err(space1)
            .context(expected("a blank and an argument"))
            .parse_next(input)?;
        cut_err(inner.by_ref()).parse_next(input)
    }
}

/// Accepts `name DURATION` if it follows.
fn optional_duration<'a>(
    name: &'static str,
) -> impl FnMut(&mut Input<'a>) -> ModalResult<Option<time::Duration>> {
    move |input: &mut Input<'a>| {
        opt(preceded((space1, keyword(name)), argument(duration))).parse_next(input)
    }
}

fn keyword<'a>(name: &'static str) -> impl FnMut(&mut Input<'a>) -> ModalResult<()> {
    move |input: &mut Input<'a>| {
        word.verify(|found: &str| found == name)
            .context(StrContext::Expected(StrContextValue::StringLiteral(name)))
            .void()
            .parse_next(input)
    }
}

fn is_word_char(c: char) -> bool {
    c.is_alphanumeric() || "_-./:*,%+@".contains(c)
}

fn word<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    take_while(1.., is_word_char).parse_next(input)
}

fn name(input: &mut Input<'_>) -> ModalResult<String> {
    word.verify(|text: &str| text.starts_with(|c: char| c.is_alphabetic() || c == '_'))
        .context(expected("a name"))
        .map(str::to_owned)
        .parse_next(input)
}

fn duration(input: &mut Input<'_>) -> ModalResult<time::Duration> {
    word.verify_map(as_duration)
        .context(expected("a duration such as 50ms"))
        .parse_next(input)
}

fn value(input: &mut Input<'_>) -> ModalResult<Arg> {
    alt((text.map(Arg::Text), word.map(classify)))
        .context(expected("a value"))
        .parse_next(input)
}

fn arg(input: &mut Input<'_>) -> ModalResult<Arg> {
    let first = value.parse_next(input)?;
    let Arg::Word(name) = &first else {
        return Ok(first);
    };
    if opt('=').parse_next(input)?.is_none() {
        return Ok(first);
    }
    let value = cut_err(value).parse_next(input)?;
    Ok(Arg::Named(name.clone(), Box::new(value)))
}

fn text(input: &mut Input<'_>) -> ModalResult<String> {
    let plain = none_of(['"', '\\', '\n']);
    let escape = preceded('\\', any).verify_map(|c| match c {
        'n' => Some('\n'),
        '"' | '\\' => Some(c),
        _ => None,
    });
    let chars = repeat(0.., alt((plain, escape)));
    delimited('"', chars, cut_err('"').context(expected("`\"`"))).parse_next(input)
}

fn classify(word: &str) -> Arg {
    if let Ok(value) = word.parse() {
        return Arg::Integer(value);
    }
    if let Some(value) = as_duration(word) {
        return Arg::Duration(value);
    }
    if word.starts_with(|c: char| c.is_ascii_digit() || c == '-')
        && let Ok(value) = word.parse()
    {
        return Arg::Decimal(value);
    }
    Arg::Word(word.to_owned())
}

/// Converts a number with a unit to a duration, rounded to microseconds.
fn as_duration(word: &str) -> Option<time::Duration> {
    let unit_at = word.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = word.split_at(unit_at);
    let micros_per_unit = match unit {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "m" => 60e6,
        "h" => 3600e6,
        _ => return None,
    };
    let number: f64 = number.parse().ok()?;
    let micros = (number * micros_per_unit).round();
    // Up to 2^53 us (285 years), f64 represents every whole number of microseconds exactly.
    (micros < (1u64 << 53) as f64).then(|| time::Duration::from_micros(micros as u64))
}
