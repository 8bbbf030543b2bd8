use super::*;
use proptest::prelude::*;

proptest! {
    /// A fit to points of a plane is that plane, with a residual of 0 up to rounding.
    #[test]
    fn fit_to_points_of_a_plane_is_that_plane(
        constant in -5.0f64..5.0,
        slopes in prop::array::uniform2(-5.0f64..5.0),
        at in prop::collection::vec(prop::array::uniform2(1.0f64..100.0), 6..20),
    ) {
        let value = |at: &[f64; 2]| constant + slopes[0] * at[0] + slopes[1] * at[1];
        let points: Vec<Point> = at.iter().map(|at| Point { variables: *at, value: value(at) }).collect();
        if let Some(f) = fit(&points) {
            for p in &points {
                prop_assert!((f.value_at(p.variables) - p.value).abs() < 1e-3, "{f:?} at {p:?}");
            }
            prop_assert!(f.residual < 1e-3);
        }
    }
}

/// A fit in one variable has the expected residual and extrapolation factor; points at a single value
/// of the variable, or too few of them, give no fit.
#[test]
fn line_fit_has_residual_and_extrapolation() {
    let point = |x, value| Point { variables: [x, 0.0], value };
    let f = fit(&[point(0.0, 1.0), point(1.0, 3.0), point(2.0, 5.0), point(2.0, 6.0), point(2.0, 4.0)]);
    let f = f.expect("five points determine a line");
    assert!((f.constant - 1.0).abs() < 1e-9 && (f.slopes[0] - 2.0).abs() < 1e-9);
    assert!((f.residual - (2.0f64 / 5.0).sqrt()).abs() < 1e-9);
    assert_eq!((f.extrapolation([8.0, 0.0]), f.points), (4.0, 5));
    assert!(
        fit(&[point(1.0, 1.0), point(1.0, 2.0), point(1.0, 3.0)]).is_none(),
        "points with equal variables determine no slope"
    );
    assert!(fit(&[point(1.0, 1.0)]).is_none());
}
