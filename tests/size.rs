//! Limits the size of the decision module, so that it can be read in a day.
#![allow(missing_docs)]

#[test]
fn the_decision_module_keeps_its_line_and_column_limits() {
    let files = [
        include_str!("../src/policy.rs"),
        include_str!("../src/policy/admission.rs"),
        include_str!("../src/policy/discovery_refresh.rs"),
        include_str!("../src/policy/slow_start.rs"),
    ];
    let line_counts = files.map(|text| text.lines().filter(|line| !line.trim().is_empty()).count());
    assert!(line_counts[0] <= 800, "{} lines of policy.rs that are not blank, 800 at most", line_counts[0]);
    let total = line_counts.iter().sum::<usize>();
    assert!(total <= 1200, "{total} lines in total that are not blank, 1200 at most");
    for (index, line) in files.iter().flat_map(|text| text.lines().enumerate()) {
        assert!(line.chars().count() <= 110, "line {} is longer than 110 columns: {line}", index + 1);
    }
}
