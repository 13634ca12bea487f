"""The part of HTTP/1.1 that the stand-ins of this review speak."""

import asyncio
import json


class MessageError(Exception):
    """The peer ended the connection or sent something that is no message."""


async def read_message(reader):
    """Returns the first line, the fields by lower-case name, and the body."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        size = int(fields.get("content-length", "0"))
        body = await reader.readexactly(size) if size else b""
        return first, fields, body
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError, OSError, ValueError) as failure:
        raise MessageError(str(failure)) from failure


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


def response(status, fields=None, body=b""):
    return message(f"HTTP/1.1 {status} Status", fields or {}, body)


def json_response(status, value):
    return response(status, {"Content-Type": "application/json"},
                    json.dumps(value, separators=(",", ":")).encode())
