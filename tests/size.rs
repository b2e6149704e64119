//! The decision module stays small enough to be read in a day.
#![allow(missing_docs)]

#[test]
fn the_decision_module_keeps_to_its_lines_and_columns() {
    let files = [
        include_str!("../src/policy.rs"),
        include_str!("../src/policy/admission.rs"),
        include_str!("../src/policy/discovery_refresh.rs"),
        include_str!("../src/policy/slow_start.rs"),
    ];
    let lines = files.map(|text| text.lines().filter(|line| !line.trim().is_empty()).count());
    assert!(lines[0] <= 800, "{} lines of policy.rs that are not blank, 800 at most", lines[0]);
    let all = lines.iter().sum::<usize>();
    assert!(all <= 1200, "{all} lines in all that are not blank, 1200 at most");
    for (number, line) in files.iter().flat_map(|text| text.lines().enumerate()) {
        assert!(line.chars().count() <= 110, "line {} is longer than 110 columns: {line}", number + 1);
    }
}
