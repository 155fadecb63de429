"""Invalid requests, settings and tables raise typed errors that name the invalid field."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretford.api.bodies import parse_body
from egretford.codec import from_json, to_json
from egretford.errors import ErrorKind, InputError, RequestError
from egretford.models import CallRequest, OpenRequest
from egretford.settings import Settings, read_settings
from egretford.tables import check_references, parse_rows, read_tables

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
GOOD_OPENING = {
    "route": "r",
    "tenant": "t",
    "class": "urgent",
    "budget": {"tokens": 1, "calls": 1, "seconds": 1},
}
GOOD_CALL = {"call": 1, "kind": "model", "messages": [{"role": "user", "content": "x"}]}
GOOD_SETTINGS = {
    "instance": "i",
    "region": "r",
    "failure_domain": "d",
    "http": {"port": 1},
    "peer": {"port": 2},
    "platform": {"url": "http://127.0.0.1:1"},
}
GOOD_TABLES = {
    "routes": [{"name": "r", "pool": "p"}],
    "pools": [{"name": "p", "kind": "engine", "workers": []}],
}


@pytest.mark.parametrize(("kind", "good"), [(OpenRequest, GOOD_OPENING), (CallRequest, GOOD_CALL)])
@given(data=st.data())
def test_any_change_to_a_body_is_taken_or_refused_by_name(kind, good, data):
    field = data.draw(st.sampled_from([*good, "surprise"]))
    value = data.draw(json_values)
    try:
        parse_body({**good, field: value}, kind)
    except RequestError as error:
        assert error.kind is ErrorKind.BAD_REQUEST
        assert field in error.message


@given(raw=json_values)
def test_any_tables_parse_into_rows_and_problems(raw):
    parsed = parse_rows(raw, "file")
    for problem in parsed.problems:
        assert problem.where.startswith("file") and problem.remedy


@given(field=st.sampled_from([*GOOD_SETTINGS, "surprise"]), value=json_values)
def test_any_settings_are_taken_or_refused(tmp_path_factory, field, value):
    path = tmp_path_factory.mktemp("settings") / "entry.json"
    path.write_text(json.dumps({**GOOD_SETTINGS, field: value}))
    try:
        read_settings(path)
    except InputError as error:
        assert all(str(path) in problem.where for problem in error.problems)


@pytest.mark.parametrize("text", ["", "{", '{"routes": [}', "[1, 2", '{"a": 1, "a": 2}'])
def test_malformed_file_is_named(tmp_path, text):
    path = tmp_path / "tables.json"
    path.write_text(text)
    with pytest.raises(InputError) as caught:
        read_tables(path)
    assert str(path) in str(caught.value)


def test_comments_are_allowed(tmp_path):
    path = tmp_path / "tables.json"
    path.write_text("// a comment\n" + json.dumps(GOOD_TABLES))
    assert read_tables(path).routes[0].pool == "p"


def test_problem_names_row_and_field():
    raw = {"routes": [{"name": "r", "pool": 7}], "pools": GOOD_TABLES["pools"]}
    problem = parse_rows(raw, "f").problems[0]
    assert problem.where == "f: routes[0] (r).pool"


def test_join_with_a_missing_pool_is_a_problem():
    parsed = parse_rows({"routes": [{"name": "r", "pool": "gone"}]}, "f")
    assert "no pool 'gone'" in check_references(parsed.tables, "f")[0].what


def test_settings_survive_a_round_trip():
    settings = from_json(GOOD_SETTINGS, Settings)
    assert from_json(to_json(settings), Settings) == settings
