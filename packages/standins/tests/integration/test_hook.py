"""`FaultySocket`, which the daemon processes run with."""

import socket
import unittest

from fuchsiaspread_standins import hook
from fuchsiaspread_standins.internal.faults import Cut, LinkRule

OWN, PEER = "127.0.0.31", "127.0.0.32"


class Cuts(unittest.TestCase):
    """Guards against a partition that lets data pass or that corrupts a stream."""

    def setUp(self):
        self.held = hook._open_unresponsive_listener(OWN)
        hook._own_host = OWN
        self.sockets = list(self.held)

    def tearDown(self):
        hook._faults.rules = ()
        for opened in self.sockets:
            opened.close()

    def keep(self, opened):
        self.sockets.append(opened)
        return opened

    def cut(self):
        hook._faults.rules = (LinkRule(frozenset({OWN}), frozenset({PEER}), Cut()),)

    def test_a_datagram_is_lost_in_a_cut_and_sent_after_it(self):
        receiver = self.keep(socket.socket(type=socket.SOCK_DGRAM))
        receiver.bind((PEER, 0))
        sender = self.keep(hook.FaultySocket(type=socket.SOCK_DGRAM))
        self.cut()
        self.assertEqual(4, sender.sendto(b"lost", receiver.getsockname()))
        hook._faults.rules = ()
        sender.sendto(b"sent", receiver.getsockname())
        self.assertEqual(b"sent", receiver.recv(100))

    def test_a_connection_that_lost_data_stays_cut(self):
        listener = self.keep(socket.create_server((PEER, 0)))
        client = self.keep(hook.FaultySocket())
        client.connect(listener.getsockname())
        server = self.keep(listener.accept()[0])
        self.cut()
        client.send(b"lost")
        hook._faults.rules = (LinkRule(frozenset({OWN}), frozenset({"127.0.0.33"}), Cut()),)
        client.send(b"also lost")
        client.shutdown(socket.SHUT_WR)
        self.assertEqual(b"", server.recv(100))

    def test_an_open_over_a_cut_is_not_answered(self):
        listener = self.keep(socket.create_server((PEER, 0)))
        client = self.keep(hook.FaultySocket())
        client.setblocking(False)
        self.cut()
        with self.assertRaises(BlockingIOError):
            client.connect(listener.getsockname())
        with self.assertRaises(OSError):
            client.getpeername()
