#!/usr/bin/env python3
"""Checks that only source/platform names what the users' platform defines: header fields,
paths, environment variables and keys of settings. These words are read from the string
literals of source/platform, so a new one is checked as soon as it is used there.

The tests and fakes of the platform (source/tests/platform) are excepted.
"""
import os
import re
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
PLATFORM = "source/platform/"
EXCEPTED = (PLATFORM, "source/tests/platform/")
SEARCHED = ("source", "tools", "examples", "schema", "CMakeLists.txt")
LITERAL = re.compile(r'"([^"\\\n]+)"')
FIELD = re.compile(r"[A-Z][a-z]+(-[A-Z][a-z]+)+")
PATH = re.compile(r"/v\d+/[a-z_/-]+")
VARIABLE = re.compile(r"[A-Z]+(_[A-Z]+)+")
KEY = re.compile(r"[a-z]+(_[a-z]+)+")
# Names from standards, which other code may use. Keys that the project's own schema defines too are left out by
# own_keys().
STANDARD = {"Last-Event-Id"}


def files(*paths):
    """The files at or below `paths`; names are relative to the repository's root."""
    found = []
    for path in paths:
        if os.path.isfile(os.path.join(ROOT, path)):
            found.append(path)
        for folder, folders, names in os.walk(os.path.join(ROOT, path)):
            folders[:] = [name for name in folders if name != "__pycache__"]
            found += [os.path.relpath(os.path.join(folder, name), ROOT) for name in names]
    return sorted(found)


def read(name):
    with open(os.path.join(ROOT, name), encoding="utf-8", errors="replace") as stream:
        return stream.read()


def own_keys():
    """Names of fields in the project's own schema."""
    return {name for path in files("schema") for name in re.findall(r'"name": "([a-z_]+)"', read(path))}


def platform_words():
    """The words that only source/platform may name."""
    literals = {literal for path in files(PLATFORM) for literal in LITERAL.findall(read(path))}
    words = {literal for literal in literals if FIELD.fullmatch(literal) or PATH.fullmatch(literal) or VARIABLE.fullmatch(literal)}
    words |= {literal for literal in literals if KEY.fullmatch(literal)} - own_keys()
    return words - STANDARD


def named_in(text, words):
    """The words that occur in a text as whole words; header fields are compared without regard to case."""
    return sorted(word for word in words if re.search(r"(?<![\w-])" + re.escape(word) + r"(?![\w-])", text, re.IGNORECASE if "-" in word else 0))


class Words(unittest.TestCase):
    def test_the_words_are_found_where_they_are_allowed(self):
        words = platform_words()
        self.assertGreater(len(words), 20)
        self.assertTrue(any(PATH.fullmatch(word) for word in words))
        self.assertTrue(any(VARIABLE.fullmatch(word) for word in words))

    def test_a_word_is_seen_in_a_text(self):
        words = platform_words()
        variable = next(word for word in words if VARIABLE.fullmatch(word))
        field = next(word for word in words if FIELD.fullmatch(word))
        self.assertEqual(named_in(f'environment = {{"{variable}": "x"}}', words), [variable])
        self.assertEqual(named_in(f"send({field.lower()}: 1)", words), [field])
        self.assertEqual(named_in(f"{variable}_OTHER", words), [])

    def test_nothing_else_names_them(self):
        words = platform_words()
        found = {}
        for name in files(*SEARCHED):
            if not name.startswith(EXCEPTED):
                named = named_in(read(name), words)
                if named:
                    found[name] = named
        self.assertEqual(found, {})


if __name__ == "__main__":
    unittest.main()
