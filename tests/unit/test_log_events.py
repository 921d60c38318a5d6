"""Events of log lines: each is documented on the on-call page, and the page documents no others.

The events are read from the source: the literal names in calls of ``format_event`` and of the router's
methods that forward a name to it.
"""

from __future__ import annotations

import ast
import re
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).parents[2]
SOURCE = ROOT / "cedarthread"
ON_CALL = ROOT / "docs" / "ON-CALL.md"

# Functions that forward an event's name, by file; it is their second argument, after the time.
FORWARDERS = {("routing/log_throttle.py", "line"), ("routing/router_state.py", "log")}
# Functions that log or return lines formatted elsewhere, by file; all others may log events only.
LINE_CARRIERS = {
    ("change_freeze/component.py", "_log"),
    ("node/fleet_components.py", "apply_fleet_config"),
    ("node/routing_node.py", "_on_membership_changes"),
    ("dispatch/actions.py", "_log_message"),
    ("persistence/event_loop_store.py", "on_tick"),
    ("persistence/state_persister.py", "_log"),
    ("recovery/component.py", "on_tick"),
    ("replication/local_replica.py", "_log"),
}
LOG_METHODS = {"debug", "info", "warning", "error", "exception", "critical", "log"}
SNAKE_CASE = re.compile(r"[a-z][a-z0-9]*(_[a-z0-9]+)*")


def _files() -> Iterator[tuple[str, ast.Module]]:
    for path in sorted(SOURCE.rglob("*.py")):
        name = path.relative_to(SOURCE).as_posix()
        if not name.startswith("testing/"):
            yield name, ast.parse(path.read_text(), str(path))


def _calls(node: ast.AST, function: str = "") -> Iterator[tuple[str, ast.Call]]:
    """Yield all calls below a node, each with the name of the innermost function that contains it."""
    for child in ast.iter_child_nodes(node):
        inner = child.name if isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef) else function
        if isinstance(child, ast.Call):
            yield inner, child
        yield from _calls(child, inner)


def _called_name(call: ast.Call) -> str:
    """Return ``f`` for ``f(...)`` and for ``x.f(...)``."""
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    return call.func.id if isinstance(call.func, ast.Name) else ""


def _receiver(call: ast.Call) -> str:
    return ast.unparse(call.func.value) if isinstance(call.func, ast.Attribute) else ""


def _is_logger(call: ast.Call) -> bool:
    return _receiver(call) in ("log", "logger", "logging") and _called_name(call) in LOG_METHODS


def _is_forwarded(call: ast.Call) -> bool:
    """Return whether a call is ``state.log(now_ms, event)`` or ``self.logs.line(now_ms, event)``."""
    return (_receiver(call).split(".")[-1], _called_name(call)) in {("state", "log"), ("logs", "line")}


def _is_event(node: ast.expr) -> bool:
    """Return whether an expression calls ``format_event``, or chooses between such calls."""
    if isinstance(node, ast.IfExp):
        return _is_event(node.body) and _is_event(node.orelse)
    return isinstance(node, ast.Call) and _called_name(node) == "format_event"


def _emitted() -> tuple[set[str], list[str]]:
    """Return the names of all events in the source, and the locations where a name is not a literal."""
    events: set[str] = set()
    errors = []
    for name, tree in _files():
        for function, call in _calls(tree):
            if _called_name(call) == "format_event":
                argument = call.args[0]
            elif _is_forwarded(call):
                argument = call.args[1]
            else:
                continue
            if isinstance(argument, ast.Constant) and isinstance(argument.value, str):
                events.add(argument.value)
            elif (name, function) not in FORWARDERS:
                errors.append(f"{name}:{call.lineno}")
    return events, errors


def _documented() -> list[str]:
    """Return the first word of each line in the page's tables of log lines."""
    section = ON_CALL.read_text().split("## Log lines\n")[1].split("\n## ")[0]
    return re.findall(r"^\| `([^` ]+)", section, re.MULTILINE)


def test_every_event_name_is_a_literal() -> None:
    assert _emitted()[1] == []


def test_names_of_events_are_snake_case() -> None:
    assert [event for event in sorted(_emitted()[0]) if not SNAKE_CASE.fullmatch(event)] == []


def test_the_on_call_page_documents_each_event_once_and_no_others() -> None:
    documented = _documented()
    assert sorted(documented) == sorted(_emitted()[0])


def _is_text(node: ast.expr) -> bool:
    """Return whether an expression is a literal, an f-string or a concatenation."""
    return isinstance(node, ast.Constant | ast.JoinedStr | ast.BinOp)


def test_only_events_are_logged() -> None:
    others = []
    for name, tree in _files():
        for function, call in _calls(tree):
            is_logged = _is_logger(call) or _called_name(call) == "LogMessage"
            is_passed_on = _called_name(call) in ("_log", "_log_line")  # to a function of LINE_CARRIERS
            if not (is_logged or is_passed_on) or _is_event(call.args[0]):
                continue
            is_carried = is_passed_on or (name, function) in LINE_CARRIERS | FORWARDERS
            if not is_carried or _is_text(call.args[0]):
                others.append(f"{name}:{call.lineno} in {function}")
    assert others == []


def test_loggers_are_named_for_their_modules() -> None:
    names = [
        (name, ast.unparse(call.args[0]))
        for name, tree in _files()
        for _, call in _calls(tree)
        if _called_name(call) == "getLogger"
    ]
    assert len(names) >= 15
    assert {argument for _, argument in names} == {"__name__"}
