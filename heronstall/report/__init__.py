"""Generates reports from the records of runs: self-contained HTML pages with plots."""

from heronstall.report.comparison import comparison_page, write_comparison
from heronstall.report.page import page, write_page

__all__ = ["comparison_page", "page", "write_comparison", "write_page"]
