"""Answer limits: when a backend server sends more than an answer can be.

A faulty server may send bytes without end. They are read as fast as they come, so without limits
they occupy this daemon until the request's time is over, and the connection afterwards.
"""

from __future__ import annotations

# Interim answers, and answers to other requests, that may come before the answer to a request.
MAX_SKIPPED_ANSWERS = 16
# Bytes of those; a late answer may be a large one.
MAX_SKIPPED_BYTES = 4 * 1024 * 1024
# Bytes by which the framing of a body may exceed the body.
MAX_FRAMING_BYTES = 256 * 1024
# Bytes of a body that are read after the request's deadline, if its length was declared and if not.
# An answer that has begun is sent to its end, and the caller may have been slow to read it so far.
MAX_LATE_BYTES = 48 * 1024 * 1024
MAX_LATE_BYTES_OF_UNKNOWN_LENGTH = 8 * 1024 * 1024


def problem_before_answer(skipped: int, received_bytes: int) -> str:
    """Return why the server's bytes before an answer are too many; empty if they aren't."""
    if skipped > MAX_SKIPPED_ANSWERS:
        return f"over {MAX_SKIPPED_ANSWERS} answers to nothing or to other requests"
    if received_bytes > MAX_SKIPPED_BYTES:
        return f"over {MAX_SKIPPED_BYTES} bytes that are no answer to the request"
    return ""


def problem_in_body(
    received_bytes: int, body_bytes: int, late_bytes: int, is_length_known: bool
) -> str:
    """Return why the bytes of an answer with a body are too many; empty if they aren't.

    `received_bytes` are those of the whole answer, `body_bytes` those of its body, and `late_bytes`
    those of its body after the request's deadline. `is_length_known` is whether the answer has
    declared a length.
    """
    if received_bytes - body_bytes > body_bytes + MAX_FRAMING_BYTES:
        return "a body in chunks that are nearly empty"
    limit = MAX_LATE_BYTES if is_length_known else MAX_LATE_BYTES_OF_UNKNOWN_LENGTH
    if late_bytes > limit:
        return f"over {limit} bytes after the deadline"
    return ""
