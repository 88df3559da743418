"""The documentation agrees with the code."""

import ast
from collections.abc import Iterator
import fnmatch
import pathlib
import re
import unittest

from gooseberryweir import codes
from test import _common

DOCS = _common.ROOT / "docs"
EVENT_NAME = re.compile(r"[a-z]+(-[a-z]+)+\Z")
MARKDOWN_LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
BASH_COMMAND = re.compile(r"^ {4}bash (\S+)", re.MULTILINE)
PAGE_PATH = re.compile(r"docs/[a-z/-]+\.md")
TABLE_ROW = re.compile(r"^\| (.*) \|$", re.MULTILINE)


def table_rows(name: str) -> list[list[str]]:
    """Returns the cells of each table row of a reference page."""
    text = (DOCS / "reference" / name).read_text(encoding="utf-8")
    return [found.split(" | ") for found in TABLE_ROW.findall(text)]


def functions(path: pathlib.Path) -> Iterator[ast.AST]:
    """Yields every function and method of a module."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.FunctionDef):
            yield node


def logged_events(tree: ast.AST) -> Iterator[str]:
    """Yields the names of the events that a function logs.

    For a name in a variable, yields all texts assigned to the variable.
    """
    assigned: dict[str, list[ast.expr]] = {}
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign):
            for target in node.targets:
                if isinstance(target, ast.Name):
                    assigned.setdefault(target.id, []).append(node.value)
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or len(node.args) < 2:
            continue
        if getattr(node.func, "attr", "") != "event":
            continue
        name = node.args[1]
        found = assigned[name.id] if isinstance(name, ast.Name) else [name]
        for expression in found:
            yield from event_names_in(expression)


def event_names_in(expression: ast.expr) -> Iterator[str]:
    """Yields the texts of an expression that look like names of events.

    An f-string is yielded as a pattern with `*` for each inserted value.
    """
    if isinstance(expression, ast.JoinedStr):
        yield "".join(
            str(part.value) if isinstance(part, ast.Constant) else "*"
            for part in expression.values
        )
        return
    for node in ast.walk(expression):
        if isinstance(node, ast.Constant) and EVENT_NAME.match(str(node.value)):
            yield str(node.value)


class DocsTest(unittest.TestCase):
    """The tables match the code; linked files, scripts and pages exist."""

    def test_result_codes_page_matches_the_table(self):
        expected = [
            [
                str(int(code)),
                code.name,
                str(row.status),
                row.ran.value,
                "-" if row.retry_after is None else str(row.retry_after),
                row.text,
            ]
            for code, row in codes.TABLE.items()
        ]
        found = [
            cells for cells in table_rows("result-codes.md") if len(cells) == 6
        ]
        self.assertEqual(found[2:], expected)
        self.assertEqual(set(codes.TABLE), set(codes.Code))

    def test_log_events_page_matches_the_logged_events(self):
        logged = set()
        for path in (_common.ROOT / "gooseberryweir").rglob("*.py"):
            for function in functions(path):
                logged.update(logged_events(function))
        self.assertGreater(len(logged), 30)
        patterns = {name for name in logged if "*" in name}
        first_cells = [
            cells[0].strip("`") for cells in table_rows("log-events.md")
        ]
        listed = {name for name in first_cells if EVENT_NAME.match(name)}
        self.assertEqual(logged - patterns - listed, set())
        for name in listed - logged:
            matched = any(fnmatch.fnmatch(name, each) for each in patterns)
            self.assertTrue(matched, f"{name} is listed but never logged")
        for pattern in patterns:
            self.assertTrue(fnmatch.filter(listed, pattern), pattern)

    def test_linked_files_and_scripts_exist(self):
        pages = [_common.ROOT / "README.md", *DOCS.rglob("*.md")]
        missing = [
            f"{page.name}: {name}"
            for page in pages
            for text in [page.read_text(encoding="utf-8")]
            for base, pattern in (
                (page.parent, MARKDOWN_LINK),
                (_common.ROOT, BASH_COMMAND),
            )
            for name in pattern.findall(text)
            if not (base / name).exists()
        ]
        self.assertEqual(missing, [])

    def test_pages_referenced_in_code_exist(self):
        referenced = {
            name
            for path in (_common.ROOT / "gooseberryweir").rglob("*.py")
            for name in PAGE_PATH.findall(path.read_text(encoding="utf-8"))
        }
        self.assertTrue(referenced)
        missing = [
            name for name in referenced if not (_common.ROOT / name).exists()
        ]
        self.assertEqual(missing, [])

    def test_index_names_every_page(self):
        index = (DOCS / "README.md").read_text(encoding="utf-8")
        linked = {
            (DOCS / name).resolve() for name in MARKDOWN_LINK.findall(index)
        }
        pages = {page.resolve() for page in DOCS.rglob("*.md")}
        self.assertEqual(pages - linked, {(DOCS / "README.md").resolve()})


if __name__ == "__main__":
    unittest.main()
