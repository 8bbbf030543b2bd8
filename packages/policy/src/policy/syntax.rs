//! Parser for the definitions in policy files.
//!
//! A policy file has one definition per line.  A line that starts with a space or a tab continues
//! the definition of the previous line.  Expressions have no loops.

use std::ops::Range;

use winnow::ascii::{digit1, multispace0};
use winnow::combinator::{alt, cut_err, delimited, not, opt, peek, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{one_of, take_while};
use winnow::{ModalResult, Parser};

/// An expression with its position in the text.
#[derive(Debug, Clone, PartialEq)]
pub struct Expr {
    /// The operator, literal or name, with the operands.
    pub kind: ExprKind,
    /// Byte range of the expression in the text of its definition.
    pub span: Range<usize>,
}

/// The kind of an expression, with its operands.
#[derive(Debug, Clone, PartialEq)]
pub enum ExprKind {
    /// A number without a unit.
    Number(f64),
    /// A duration, in seconds.
    Duration(f64),
    /// `true` or `false`.
    Bool(bool),
    /// A reference to a setting or to another definition.
    Name(String),
    /// `-x` or `not x`: the operator and its operand.
    Unary(&'static str, Box<Expr>),
    /// A binary operator with its left and right operand.
    Binary(&'static str, Box<Expr>, Box<Expr>),
    /// `if a then b else c`: the condition and both branches.
    If(Box<Expr>, Box<Expr>, Box<Expr>),
    /// A function call: the name of the function and its arguments.
    Call(String, Vec<Expr>),
}

/// A definition: `name = expression` or `let name = expression`.
#[derive(Debug, Clone, PartialEq)]
pub struct Definition {
    /// Name of the tunable or the helper.
    pub name: String,
    /// Whether `let` defines it, so that it is a helper for other definitions and no tunable.
    pub is_helper: bool,
    /// Expression for the value.
    pub value: Expr,
}

type Input<'a> = LocatingSlice<&'a str>;

/// Maximum length of a definition in bytes.  It also bounds the nesting depth of expressions, and
/// so the recursion of the parser.
pub const MAX_DEFINITION_BYTES: usize = 400;

/// Parses a keyword, which must not continue as a longer name, and the whitespace around it.
fn keyword<'a>(text: &'static str) -> impl Parser<Input<'a>, (), ErrMode<ContextError>> {
    let end = not(one_of(|c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.'));
    delimited(multispace0, (text, end).void(), multispace0)
}

/// Parses an operator or a punctuation mark, and the whitespace around it.
fn symbol<'a>(text: &'static str) -> impl Parser<Input<'a>, &'static str, ErrMode<ContextError>> {
    delimited(multispace0, text, multispace0).value(text)
}

/// Words that cannot be the name of a definition or a setting.
const KEYWORDS: [&str; 8] = ["if", "then", "else", "and", "or", "not", "true", "false"];

fn name(input: &mut Input<'_>) -> ModalResult<String> {
    let first = peek(one_of(|c: char| c.is_ascii_alphabetic()));
    preceded(first, take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.'))
        .verify(|name: &str| !KEYWORDS.contains(&name))
        .map(str::to_owned)
        .parse_next(input)
}

fn literal(input: &mut Input<'_>) -> ModalResult<ExprKind> {
    let number = (digit1, opt(('.', digit1))).take().try_map(|digits: &str| digits.parse::<f64>()).parse_next(input)?;
    let unit = take_while(0.., |c: char| c.is_ascii_alphabetic()).parse_next(input)?;
    match unit {
        "" => Ok(ExprKind::Number(number)),
        "ms" => Ok(ExprKind::Duration(number / 1000.0)),
        "s" => Ok(ExprKind::Duration(number)),
        "min" => Ok(ExprKind::Duration(number * 60.0)),
        "h" => Ok(ExprKind::Duration(number * 3600.0)),
        _ => Err(ErrMode::Cut(ContextError::new())),
    }
}

/// Parses an expression and records its byte range.
fn spanned<'a>(
    mut parser: impl Parser<Input<'a>, ExprKind, ErrMode<ContextError>>,
) -> impl Parser<Input<'a>, Expr, ErrMode<ContextError>> {
    move |input: &mut Input<'a>| {
        let start = input.current_token_start();
        let kind = parser.parse_next(input)?;
        let end = input.previous_token_end();
        Ok(Expr { kind, span: start..end })
    }
}

/// Parses an expression without operators, or any expression in parentheses.
fn atom(input: &mut Input<'_>) -> ModalResult<Expr> {
    multispace0.parse_next(input)?;
    let call = (terminated(name, symbol("(")), cut_err(terminated(separated(0.., expr, symbol(",")), symbol(")"))));
    alt((
        delimited(symbol("("), cut_err(expr), cut_err(symbol(")"))),
        spanned(literal),
        spanned(keyword("true").value(ExprKind::Bool(true))),
        spanned(keyword("false").value(ExprKind::Bool(false))),
        spanned(call.map(|(function, args)| ExprKind::Call(function, args))),
        spanned(name.map(ExprKind::Name)),
    ))
    .parse_next(input)
}

fn unary(input: &mut Input<'_>) -> ModalResult<Expr> {
    multispace0.parse_next(input)?;
    let minus = preceded(symbol("-"), cut_err(unary)).map(|operand| ExprKind::Unary("-", Box::new(operand)));
    let negation = preceded(keyword("not"), cut_err(unary)).map(|operand| ExprKind::Unary("not", Box::new(operand)));
    alt((spanned(minus), spanned(negation), atom)).parse_next(input)
}

/// Parses one or more operands with operators between them, and groups them from left to right.
fn left_associative<'a>(
    operand: fn(&mut Input<'a>) -> ModalResult<Expr>,
    mut operator: impl Parser<Input<'a>, &'static str, ErrMode<ContextError>>,
    input: &mut Input<'a>,
) -> ModalResult<Expr> {
    let first = operand(input)?;
    let rest: Vec<(&'static str, Expr)> = repeat(0.., (operator.by_ref(), cut_err(operand))).parse_next(input)?;
    Ok(rest.into_iter().fold(first, |left, (op, right)| {
        let span = left.span.start..right.span.end;
        Expr { kind: ExprKind::Binary(op, Box::new(left), Box::new(right)), span }
    }))
}

fn product(input: &mut Input<'_>) -> ModalResult<Expr> {
    left_associative(unary, alt((symbol("*"), symbol("/"))), input)
}

fn sum(input: &mut Input<'_>) -> ModalResult<Expr> {
    left_associative(product, alt((symbol("+"), symbol("-"))), input)
}

fn comparison(input: &mut Input<'_>) -> ModalResult<Expr> {
    left_associative(
        sum,
        alt((symbol("<="), symbol(">="), symbol("=="), symbol("!="), symbol("<"), symbol(">"))),
        input,
    )
}

fn conjunction(input: &mut Input<'_>) -> ModalResult<Expr> {
    left_associative(comparison, keyword("and").value("and"), input)
}

fn disjunction(input: &mut Input<'_>) -> ModalResult<Expr> {
    left_associative(conjunction, keyword("or").value("or"), input)
}

fn expr(input: &mut Input<'_>) -> ModalResult<Expr> {
    multispace0.parse_next(input)?;
    let then_branch = cut_err(preceded(keyword("then"), expr));
    let else_branch = cut_err(preceded(keyword("else"), expr));
    let conditional = (preceded(keyword("if"), cut_err(expr)), then_branch, else_branch)
        .map(|(condition, a, b)| ExprKind::If(Box::new(condition), Box::new(a), Box::new(b)));
    alt((spanned(conditional), disjunction)).parse_next(input)
}

fn definition(input: &mut Input<'_>) -> ModalResult<Definition> {
    let is_helper = opt(keyword("let")).parse_next(input)?.is_some();
    let name = terminated(name, symbol("=")).parse_next(input)?;
    let value = terminated(expr, multispace0).parse_next(input)?;
    Ok(Definition { name, is_helper, value })
}

/// Parses one definition, with its continuation lines joined.
///
/// # Errors
///
/// Returns the byte offset of the syntax error, or [`MAX_DEFINITION_BYTES`] if the text is longer
/// than that.
pub fn parse(text: &str) -> Result<Definition, usize> {
    if text.len() > MAX_DEFINITION_BYTES {
        return Err(MAX_DEFINITION_BYTES);
    }
    definition.parse(LocatingSlice::new(text)).map_err(|e| e.offset())
}

#[cfg(test)]
mod tests;
