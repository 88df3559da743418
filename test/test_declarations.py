"""Tests of declarations, the documents with routes, regions and accounts."""

import contextlib
import copy
import io
import pathlib
import tempfile
import unittest

from returns import result

from gooseberryweir import codes
from gooseberryweir.commands import check
from gooseberryweir.version import declarations
from gooseberryweir.version import validation
from test import _odd_entries

_ROOT = pathlib.Path(__file__).parent.parent
_EXAMPLES = sorted(str(path) for path in (_ROOT / "examples").glob("*.yaml"))
VALID_DOCUMENT = validation.read_document(_EXAMPLES[1])


def _error_texts(change):
    document = copy.deepcopy(VALID_DOCUMENT)
    change(document)
    return [str(error) for error in declarations.parse(document).failure()]


def _file_error_text(data):
    with tempfile.NamedTemporaryFile() as file:
        file.write(data)
        file.flush()
        try:
            declarations.load_file(file.name)
        except codes.UserError as error:
            return error.message
    raise AssertionError("the file was accepted")


class DeclarationsTest(unittest.TestCase):
    """Valid and invalid declarations, and the route that matches a path."""

    def test_check_prints_a_line_for_each_valid_file(self):
        self.assertEqual(len(_EXAMPLES), 2)
        with contextlib.redirect_stdout(io.StringIO()) as printed:
            check.check(_EXAMPLES)
        lines = printed.getvalue().splitlines()
        self.assertEqual([line.split(":")[0] for line in lines], _EXAMPLES)

    def test_check_lists_the_errors_of_all_files(self):
        missing = [f"{_ROOT}/none-1.yaml", f"{_ROOT}/none-2.yaml"]
        with (
            contextlib.redirect_stdout(io.StringIO()) as printed,
            self.assertRaises(codes.UserError) as caught,
        ):
            check.check([missing[0], _EXAMPLES[0], missing[1]])
        self.assertEqual(len(printed.getvalue().splitlines()), 1)
        for path in missing:
            self.assertIn(f"{path}: can't be read", caught.exception.message)

    def test_references_are_checked_in_a_declaration_of_a_peer(self):
        """Guards against a route of an unknown service that is active.

        Arrays of a declaration that another host sent are tuples, whose content
        was not checked.
        """

        def with_tuples(value):
            if isinstance(value, dict):
                return {key: with_tuples(each) for key, each in value.items()}
            if isinstance(value, list):
                return tuple(with_tuples(each) for each in value)
            return value

        received = with_tuples(VALID_DOCUMENT)
        self.assertIsInstance(declarations.parse(received), result.Success)

        def break_references(document):
            document["routes"][0]["service"] = "none"
            document["links"][0]["between"][0] = "nowhere"

        broken = copy.deepcopy(VALID_DOCUMENT)
        break_references(broken)
        errors = declarations.parse(broken).failure()
        self.assertEqual(
            [
                str(each)
                for each in declarations.parse(with_tuples(broken)).failure()
            ],
            [str(each) for each in errors],
        )

    def test_declarations_equal_after_a_round_trip(self):
        parsed = declarations.parse(VALID_DOCUMENT).unwrap()
        document = declarations.to_document(parsed)
        self.assertEqual(document["shift_caps"][0]["from"], "centro")
        self.assertEqual(declarations.parse(document).unwrap(), parsed)

    def test_all_errors_are_reported_at_once(self):
        def change(document):
            document["routes"][0]["service"] = "map"
            document["routes"][1]["clas"] = "live"
            document["routes"][2]["accounts"] = ["televale"]
            document["shift_caps"][0]["to"] = "nort"
            document["accounts"]["bahia-tv"] = {"rate": 0, "burst": 0}
            document["services"]["maps"]["weight"] = 3
            document["classes"]["live"]["headroom"] = 0.95
            document["regions"]["golfo"]["zones"] = []
            document["shift_caps"][1]["to"] = "centro"

        self.assertEqual(
            sorted(_error_texts(change)),
            sorted(
                [
                    "routes[0].service: 'map': service unknown; did you mean"
                    " 'maps'?",
                    "routes[1].clas: unknown; did you mean 'class'?",
                    "routes[2].accounts: 'televale': account unknown; did you"
                    " mean 'televalle'?",
                    "shift_caps[0].to: 'nort': region unknown; did you mean"
                    " 'norte'?",
                    "shift_caps[1]: centro to centro: should be two regions",
                    "accounts.bahia-tv.rate: 0: should be greater than 0",
                    "accounts.bahia-tv.burst: 0: should be greater than or"
                    " equal to 1",
                    "services.maps.weight: 3: not for a declaration: the system"
                    " chooses the upstreams and their shares by itself; remove"
                    " it",
                    "classes.live.headroom: 0.95: should be less than or equal"
                    " to 0.9",
                    "regions.golfo.zones: []: should not be empty",
                ]
            ),
        )

    def test_out_of_bounds_values_are_refused(self):
        cases = [
            ("accounts", "bahia-tv", "rate", value)
            for value in (-1, True, "5", float("nan"), float("inf"), 10**400)
        ]
        cases += [
            ("accounts", "bahia-tv", "burst", 1.5),
            ("classes", "live", "importance", 10),
            ("classes", "live", "crash_limit", 0),
            ("classes", "live", "latency_ms", 0),
            ("services", "maps", "work_ms", 1 << 20000),
            ("routes", 0, "path", "maps"),
            ("routes", 0, "path", "/maps//a"),
            ("routes", 0, "path", "/maps/../a"),
            ("routes", 0, "path", "/maps?x"),
            ("routes", 0, "path", "/v1/hosts/x"),
            ("routes", 0, "path", "/radar/loops"),
            ("routes", 0, "methods", ["FETCH"]),
            ("routes", 0, "idempotent", 1),
            ("routes", 6, "accounts", ["televalle"]),
            ("links", 0, "between", ["norte", "norte"]),
            ("links", 0, "between", ["norte", "golfo"]),
            ("links", 0, "between", ["norte"]),
            ("shift_caps", 0, "to", "centro"),
            ("shift_caps", 0, "to", "golfo"),
            ("regions", "norte", "zones", ["a", "a"]),
            ("regions", "norte", "zones", ["Norte A"]),
        ]
        for section, item, field, value in cases:

            def change(document, case=(section, item, field, value)):
                document[case[0]][case[1]][case[2]] = case[3]

            with self.subTest(section=section, field=field):
                error = _error_texts(change)[0]
                self.assertTrue(error.startswith(section), error)

    def test_a_shift_cap_needs_a_link(self):
        errors = _error_texts(lambda document: document.pop("links"))
        self.assertIn("shift_caps[0]: centro to norte: should have a link",
                      errors)  # fmt: skip

    def test_documents_of_a_wrong_structure_are_refused(self):
        for document in (None, 3, [], {}, {3: 4}, {"regions": {3: {}}},
                         {"routes": [3], "links": 4, "regions": []},
                         dict.fromkeys(VALID_DOCUMENT, "x")):  # fmt: skip
            with self.subTest(repr(document)):
                parsed = declarations.parse(document)
                self.assertIsInstance(parsed, result.Failure)

    def test_the_cause_is_reported_for_unreadable_files(self):
        cases = {
            b"a: 1\nb: 2\na: 3\n": "line 3: key 'a' is given twice",
            b"a: {b: 1, b: 2}\n": "key 'b' is given twice",
            b"a: &x 1\nb: *x\n": "aliases are not allowed",
            b"<<: {a: 1}\n": "key '<<' is not allowed",
            b"a: \xff\n": "is not UTF-8 at byte 3",
            b" " * (validation.MAX_FILE_BYTES + 1): "is larger than",
            b"[" * 20000: "is nested too deeply",
            b"a: [1\n": "line 2",
            b"? [a]\n: 1\n": "line 1",
            b"a: 2001-13-45\n": "is not valid YAML",
            b"!!python/name:os.system {}\n": "could not determine",
        }
        for data, message in cases.items():
            with self.subTest(data[:20]):
                self.assertIn(message, _file_error_text(data))

    def test_the_longest_prefix_of_whole_segments_matches(self):
        base = declarations.parse(VALID_DOCUMENT).unwrap()
        routes = {
            path: base.routes[0]._replace(path=path)
            for path in ("/maps", "/maps/b/", "/maps/b/c", "/radar/")
        }
        changed = base._replace(routes=tuple(routes.values()))
        for path, expected in (
            ("/maps", "/maps"), ("/maps/", "/maps"), ("/maps/a", "/maps"),
            ("/mapsx", None), ("/maps/b", "/maps"), ("/maps/b/", "/maps/b/"),
            ("/maps/b/cd", "/maps/b/"), ("/maps/b/c/d", "/maps/b/c"),
            ("/radar", None), ("/radar/x", "/radar/"), ("/", None), ("", None),
        ):  # fmt: skip
            with self.subTest(path):
                route = declarations.match_route(changed, path)
                self.assertEqual(route and route.path, expected)


class OddValuesTest(unittest.TestCase):
    """Declarations with huge numbers or very deep nesting."""

    # Guards against an operator who gets a stack trace, and against values that
    # no message between hosts can hold.
    def test_odd_values_are_errors_of_the_declaration(self):
        paths = {
            tuple(key for key in path if isinstance(key, str)): path
            for path in _odd_entries.number_paths(VALID_DOCUMENT)
        }
        numbers = (str(2**63), str(2**64), "9" * 400, "9" * 5000, ".inf")
        texts = [
            _odd_entries.with_value(VALID_DOCUMENT, path, number)
            for path in paths.values()
            for number in numbers
        ]
        texts += [
            _odd_entries.with_value(VALID_DOCUMENT, ("other",), nested(levels))
            for levels in (600, 1_000, 20_000)
            for nested in (
                _odd_entries.nested_lists,
                _odd_entries.nested_objects,
            )
        ]
        for text in texts:
            self.assertTrue(_file_error_text(text.encode()))
