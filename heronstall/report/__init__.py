"""Reports: one self-contained HTML page with plots, from records of runs."""

from heronstall.report.page import page, write_page

__all__ = ["page", "write_page"]
