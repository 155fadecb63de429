"""Measures the time to encode and decode messages of the keepers, in microseconds."""

from __future__ import annotations

import time

from egretford.codec import decode_bytes, encode_bytes
from egretford.keeper.messages import (
    Keep,
    KeeperReply,
    KeeperRequest,
    Kept,
    RecordPage,
    Reserve,
    Reserved,
    Turn,
)
from egretford.policy.ledger import Charge

ROUNDS = 500


def make_cases() -> dict[str, tuple[object, object]]:
    """Return messages of typical sizes, each with the tagged union it is encoded as."""
    charge = Charge("p1234567", "r0123456789abcdef", 500)
    charges = tuple(Charge("p1234567", f"r0123456789abcd{n}", 500, True) for n in range(6))
    turns = tuple(
        Turn(f"t{n}", None, "p", b"x" * 1_700, b"y" * 1_500, 60.0, ("a", "b")) for n in range(3)
    )
    return {
        "Reserve": (Reserve(charge, "r0123456789abcdef", True, view=3), KeeperRequest),
        "Reserved, 6 charges, 3 turns": (Reserved(charges, turns, None), KeeperReply),
        "Keep": (Keep(charge, turns[0], view=4), KeeperRequest),
        "Kept": (Kept(), KeeperReply),
        "RecordPage, 480 charges": (
            RecordPage("l", 5, charges * 80, (), False, True),
            KeeperReply,
        ),
    }


def measure(action) -> float:
    """Return the mean duration of an action, in microseconds."""
    started = time.perf_counter()
    for _ in range(ROUNDS):
        action()
    return (time.perf_counter() - started) / ROUNDS * 1e6


def main() -> None:
    """Print one row for each message."""
    for name, (message, union) in make_cases().items():
        data = encode_bytes(message, union)
        encoding = measure(lambda message=message, union=union: encode_bytes(message, union))
        decoding = measure(lambda data=data, union=union: decode_bytes(data, union))
        print(f"{name:30} {len(data):6} bytes  encode {encoding:7.1f}  decode {decoding:7.1f}")


if __name__ == "__main__":
    main()
