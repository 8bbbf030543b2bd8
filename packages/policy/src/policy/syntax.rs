//! The syntax of policy files: one definition a line, expressions without
//! loops. A line that begins with a blank continues the one before it.

use std::ops::Range;

use winnow::ascii::{digit1, multispace0};
use winnow::combinator::{alt, cut_err, delimited, not, opt, peek, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{one_of, take_while};
use winnow::{ModalResult, Parser};

/// An expression with its place in the text.
#[derive(Debug, Clone, PartialEq)]
pub struct Expr {
    /// What it is.
    pub kind: Kind,
    /// Bytes of the definition it covers.
    pub span: Range<usize>,
}

/// Kinds of expressions.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// A plain number.
    Number(f64),
    /// A duration in seconds.
    Duration(f64),
    /// true or false.
    Bool(bool),
    /// A setting or another definition.
    Name(String),
    /// `-x` or `not x`.
    Unary(&'static str, Box<Expr>),
    /// Two operands.
    Binary(&'static str, Box<Expr>, Box<Expr>),
    /// `if a then b else c`.
    If(Box<Expr>, Box<Expr>, Box<Expr>),
    /// A function.
    Call(String, Vec<Expr>),
}

/// `name = expression`.
#[derive(Debug, Clone, PartialEq)]
pub struct Definition {
    /// Its name.
    pub name: String,
    /// Defined by `let`: a helper, no tunable.
    pub helper: bool,
    /// Its value.
    pub value: Expr,
}

type In<'a> = LocatingSlice<&'a str>;

/// Longest definition; it bounds the depth of expressions too.
pub const MOST_LENGTH: usize = 400;

fn word<'a>(w: &'static str) -> impl Parser<In<'a>, (), ErrMode<ContextError>> {
    let end = not(one_of(|c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.'));
    delimited(multispace0, (w, end).void(), multispace0)
}

fn sign<'a>(s: &'static str) -> impl Parser<In<'a>, &'static str, ErrMode<ContextError>> {
    delimited(multispace0, s, multispace0).value(s)
}

const WORDS: [&str; 8] = ["if", "then", "else", "and", "or", "not", "true", "false"];

fn name(i: &mut In<'_>) -> ModalResult<String> {
    let first = peek(one_of(|c: char| c.is_ascii_alphabetic()));
    preceded(first, take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.'))
        .verify(|w: &str| !WORDS.contains(&w))
        .map(str::to_owned)
        .parse_next(i)
}

fn literal(i: &mut In<'_>) -> ModalResult<Kind> {
    let number = (digit1, opt(('.', digit1))).take().try_map(|s: &str| s.parse::<f64>()).parse_next(i)?;
    let unit = take_while(0.., |c: char| c.is_ascii_alphabetic()).parse_next(i)?;
    match unit {
        "" => Ok(Kind::Number(number)),
        "ms" => Ok(Kind::Duration(number / 1000.0)),
        "s" => Ok(Kind::Duration(number)),
        "min" => Ok(Kind::Duration(number * 60.0)),
        "h" => Ok(Kind::Duration(number * 3600.0)),
        _ => Err(ErrMode::Cut(ContextError::new())),
    }
}

fn spanned<'a>(
    mut p: impl Parser<In<'a>, Kind, ErrMode<ContextError>>,
) -> impl Parser<In<'a>, Expr, ErrMode<ContextError>> {
    move |i: &mut In<'a>| {
        let from = i.current_token_start();
        let kind = p.parse_next(i)?;
        let to = i.previous_token_end();
        Ok(Expr { kind, span: from..to })
    }
}

fn atom(i: &mut In<'_>) -> ModalResult<Expr> {
    multispace0.parse_next(i)?;
    let call = (terminated(name, sign("(")), cut_err(terminated(separated(0.., expr, sign(",")), sign(")"))));
    alt((
        delimited(sign("("), cut_err(expr), cut_err(sign(")"))),
        spanned(literal),
        spanned(word("true").value(Kind::Bool(true))),
        spanned(word("false").value(Kind::Bool(false))),
        spanned(call.map(|(n, args)| Kind::Call(n, args))),
        spanned(name.map(Kind::Name)),
    ))
    .parse_next(i)
}

fn unary(i: &mut In<'_>) -> ModalResult<Expr> {
    multispace0.parse_next(i)?;
    let minus = preceded(sign("-"), cut_err(unary)).map(|e| Kind::Unary("-", Box::new(e)));
    let no = preceded(word("not"), cut_err(unary)).map(|e| Kind::Unary("not", Box::new(e)));
    alt((spanned(minus), spanned(no), atom)).parse_next(i)
}

fn chain<'a>(
    operand: fn(&mut In<'a>) -> ModalResult<Expr>,
    mut operator: impl Parser<In<'a>, &'static str, ErrMode<ContextError>>,
    i: &mut In<'a>,
) -> ModalResult<Expr> {
    let first = operand(i)?;
    let rest: Vec<(&'static str, Expr)> = repeat(0.., (operator.by_ref(), cut_err(operand))).parse_next(i)?;
    Ok(rest.into_iter().fold(first, |l, (op, r)| {
        let span = l.span.start..r.span.end;
        Expr { kind: Kind::Binary(op, Box::new(l), Box::new(r)), span }
    }))
}

fn product(i: &mut In<'_>) -> ModalResult<Expr> {
    chain(unary, alt((sign("*"), sign("/"))), i)
}

fn sum(i: &mut In<'_>) -> ModalResult<Expr> {
    chain(product, alt((sign("+"), sign("-"))), i)
}

fn comparison(i: &mut In<'_>) -> ModalResult<Expr> {
    chain(sum, alt((sign("<="), sign(">="), sign("=="), sign("!="), sign("<"), sign(">"))), i)
}

fn both(i: &mut In<'_>) -> ModalResult<Expr> {
    chain(comparison, word("and").value("and"), i)
}

fn either(i: &mut In<'_>) -> ModalResult<Expr> {
    chain(both, word("or").value("or"), i)
}

fn expr(i: &mut In<'_>) -> ModalResult<Expr> {
    multispace0.parse_next(i)?;
    let then = cut_err(preceded(word("then"), expr));
    let other = cut_err(preceded(word("else"), expr));
    let choice = (preceded(word("if"), cut_err(expr)), then, other)
        .map(|(c, a, b)| Kind::If(Box::new(c), Box::new(a), Box::new(b)));
    alt((spanned(choice), either)).parse_next(i)
}

fn definition(i: &mut In<'_>) -> ModalResult<Definition> {
    let helper = opt(word("let")).parse_next(i)?.is_some();
    let name = terminated(name, sign("=")).parse_next(i)?;
    let value = terminated(expr, multispace0).parse_next(i)?;
    Ok(Definition { name, helper, value })
}

/// Reads one definition; the error is the byte at which it goes wrong.
pub fn parse(text: &str) -> Result<Definition, usize> {
    if text.len() > MOST_LENGTH {
        return Err(MOST_LENGTH);
    }
    definition.parse(LocatingSlice::new(text)).map_err(|e| e.offset())
}

#[cfg(test)]
mod tests;
