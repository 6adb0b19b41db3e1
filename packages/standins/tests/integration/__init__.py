"""Tests of the stand-ins with real sockets and processes."""
