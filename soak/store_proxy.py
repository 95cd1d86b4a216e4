"""A TCP proxy between an instance and the store that injects faults."""

import socket
import threading
import time


class StoreProxy(threading.Thread):
    """Forwards the TCP connections of one instance to the store, with the fault set as mode.

    The modes: pass (no fault), delay, reset (closes connections when data arrives), drop (drops
    all data) and drop-responses (drops only data from the store).
    """

    def __init__(self, address, store):
        super().__init__(daemon=True)
        self.store = store
        self.mode = "pass"
        self.delay = 0.0
        self.listener = socket.create_server(address)

    def run(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self.connect_to_store, args=(client,), daemon=True).start()

    def connect_to_store(self, client):
        try:
            server = socket.create_connection(self.store, timeout=2)
        except OSError:
            client.close()
            return
        for source, destination, is_response in ((client, server, False),
                                                 (server, client, True)):
            threading.Thread(target=self.forward, args=(source, destination, is_response),
                             daemon=True).start()

    def forward(self, source, destination, is_response):
        try:
            while data := source.recv(65536):
                if self.mode == "reset":
                    break
                if self.mode == "delay":
                    time.sleep(self.delay)
                if self.mode == "drop" or (self.mode == "drop-responses" and is_response):
                    continue
                destination.sendall(data)
        except OSError:
            pass
        for connection in (source, destination):
            try:
                connection.close()
            except OSError:
                pass
