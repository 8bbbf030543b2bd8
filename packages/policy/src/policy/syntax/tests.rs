use super::*;
use proptest::prelude::*;

fn format_expr(expr: &Expr) -> String {
    match &expr.kind {
        ExprKind::Number(n) => format!("{n}"),
        ExprKind::Duration(s) => format!("{s}s"),
        ExprKind::Bool(b) => format!("{b}"),
        ExprKind::Name(n) => n.clone(),
        ExprKind::Unary(op, operand) => format!("({op} {})", format_expr(operand)),
        ExprKind::Binary(op, left, right) => format!("({} {op} {})", format_expr(left), format_expr(right)),
        ExprKind::If(c, a, b) => format!("(if {} then {} else {})", format_expr(c), format_expr(a), format_expr(b)),
        ExprKind::Call(n, args) => format!("{n}({})", args.iter().map(format_expr).collect::<Vec<_>>().join(", ")),
    }
}

#[test]
fn operators_have_the_usual_precedence() {
    let parsed = |text: &str| format_expr(&parse(text).expect(text).value);
    assert_eq!(parsed("x = 1 + 2 * 3 - 4"), "((1 + (2 * 3)) - 4)");
    assert_eq!(parsed("x = a / b / c"), "((a / b) / c)");
    assert_eq!(
        parsed("x = if a < 3s and not b then 1 else min(2, c.d)"),
        "(if ((a < 3s) and (not b)) then 1 else min(2, c.d))"
    );
    assert_eq!(parsed("x = 200ms + 5min"), "(0.2s + 300s)");
    assert!(parse("x = 3 parsecs").is_err());
    assert!(parse("x = (1 + 2").is_err());
    assert!(parse("if = 1").is_err());
}

fn any_expr() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        (0u32..1000).prop_map(|n| n.to_string()),
        (1u32..1000).prop_map(|n| format!("{n}s")),
        "[a-h]{3}[.][a-h]{2}",
        Just("true".to_owned()),
    ];
    leaf.prop_recursive(3, 12, 3, |e| {
        prop_oneof![
            (e.clone(), prop_oneof!["[-+*/]", Just("<=".to_owned())], e.clone())
                .prop_map(|(a, o, b)| format!("({a} {o} {b})")),
            (e.clone(), e.clone(), e.clone()).prop_map(|(c, a, b)| format!("(if {c} then {a} else {b})")),
            (e.clone(), e).prop_map(|(a, b)| format!("max({a}, {b})")),
        ]
    })
}

proptest! {
    /// Guards against lost or regrouped operands: an expression that is parsed, formatted and
    /// parsed again has the same tree.
    #[test]
    fn a_formatted_expression_parses_to_the_same_tree(text in any_expr()) {
        prop_assume!(text.len() < 300);
        let once = format_expr(&parse(&format!("x = {text}")).map_err(|at| TestCaseError::fail(format!("{text}: syntax error at byte {at}")))?.value);
        prop_assume!(once.len() < 380);
        let twice = format_expr(&parse(&format!("x = {once}")).map_err(|at| TestCaseError::fail(format!("{once}: syntax error at byte {at}")))?.value);
        prop_assert_eq!(once, twice);
    }

    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in ".{0,120}") {
        let _ = parse(&text);
    }
}
