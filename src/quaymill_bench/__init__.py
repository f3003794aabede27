"""Load generator, experiments, fault schedules and reports."""
