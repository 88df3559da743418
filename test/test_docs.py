"""The documentation is kept equal to the code."""

import ast
from collections.abc import Iterator
import fnmatch
import pathlib
import re
import unittest

from gooseberryweir import codes
from test import _common

DOCS = _common.ROOT / "docs"
EVENT = re.compile(r"[a-z]+(-[a-z]+)+\Z")
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
COMMAND = re.compile(r"^ {4}bash (\S+)", re.MULTILINE)
PAGE = re.compile(r"docs/[a-z/-]+\.md")
ROW = re.compile(r"^\| (.*) \|$", re.MULTILINE)


def rows(name: str) -> list[list[str]]:
    """Returns the cells of each table row of a reference page."""
    text = (DOCS / "reference" / name).read_text(encoding="utf-8")
    return [found.split(" | ") for found in ROW.findall(text)]


def functions(path: pathlib.Path) -> Iterator[ast.AST]:
    """Yields every function and method of a module."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.FunctionDef):
            yield node


def events_of(tree: ast.AST) -> Iterator[str]:
    """Yields the names of the events that a function logs.

    A name held in a variable counts with all texts that it is assigned.
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
            yield from texts_in(expression)


def texts_in(expression: ast.expr) -> Iterator[str]:
    """Yields the texts of an expression that have the form of an event.

    A text with parts filled in later is yielded as a pattern.
    """
    if isinstance(expression, ast.JoinedStr):
        yield "".join(
            str(part.value) if isinstance(part, ast.Constant) else "*"
            for part in expression.values
        )
        return
    for node in ast.walk(expression):
        if isinstance(node, ast.Constant) and EVENT.match(str(node.value)):
            yield str(node.value)


class DocsTest(unittest.TestCase):
    """Tables and names of files in the documentation."""

    def test_result_codes(self):
        wanted = [
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
        found = [cells for cells in rows("result-codes.md") if len(cells) == 6]
        self.assertEqual(found[2:], wanted)
        self.assertEqual(set(codes.TABLE), set(codes.Code))

    def test_log_events(self):
        logged = set()
        for path in (_common.ROOT / "gooseberryweir").rglob("*.py"):
            for function in functions(path):
                logged.update(events_of(function))
        self.assertGreater(len(logged), 30)
        patterns = {name for name in logged if "*" in name}
        first = [cells[0].strip("`") for cells in rows("log-events.md")]
        listed = {name for name in first if EVENT.match(name)}
        self.assertEqual(logged - patterns - listed, set())
        for name in listed - logged:
            matched = any(fnmatch.fnmatch(name, each) for each in patterns)
            self.assertTrue(matched, f"{name} is listed but never logged")
        for pattern in patterns:
            self.assertTrue(fnmatch.filter(listed, pattern), pattern)

    def test_files_named_exist(self):
        pages = [_common.ROOT / "README.md", *DOCS.rglob("*.md")]
        missing = [
            f"{page.name}: {name}"
            for page in pages
            for text in [page.read_text(encoding="utf-8")]
            for base, pattern in ((page.parent, LINK), (_common.ROOT, COMMAND))
            for name in pattern.findall(text)
            if not (base / name).exists()
        ]
        self.assertEqual(missing, [])

    def test_pages_named_in_code_exist(self):
        named = {
            name
            for path in (_common.ROOT / "gooseberryweir").rglob("*.py")
            for name in PAGE.findall(path.read_text(encoding="utf-8"))
        }
        self.assertTrue(named)
        missing = [name for name in named if not (_common.ROOT / name).exists()]
        self.assertEqual(missing, [])

    def test_index_names_every_page(self):
        index = (DOCS / "README.md").read_text(encoding="utf-8")
        linked = {(DOCS / name).resolve() for name in LINK.findall(index)}
        pages = {page.resolve() for page in DOCS.rglob("*.md")}
        self.assertEqual(pages - linked, {(DOCS / "README.md").resolve()})


if __name__ == "__main__":
    unittest.main()
