"""A stand-in for a node's operator listener: answers each call as told and notes what it got.

Usage: operator_stub.py CALLS_FILE PORT_FILE BEHAVIOUR...
The Nth call meets the Nth behaviour, later calls the last one:
  ok        an answer with a version
  conflict  a lost race
  lose      the connection is closed without an answer
  unknown   the node does not know whether the change took effect
  draining  the node refuses because it stops
"""
import http.server
import json
import sys

CALLS_FILE, PORT_FILE, BEHAVIOURS = sys.argv[1], sys.argv[2], sys.argv[3:]

ANSWERS = {
    "ok": (200, {"name": "judges", "version": 7}),
    "conflict": (409, {"code": 600, "name": "VersionConflict", "detail": "changed meanwhile",
                       "outcome": "not-run", "current": {"version": 8, "holder": "jan"}}),
    "unknown": (503, {"code": 502, "name": "PlatformOutcomeUnknown", "detail": "lost",
                      "outcome": "unknown"}),
    "draining": (503, {"code": 305, "name": "NodeDraining", "detail": "stops",
                       "outcome": "not-run"}),
}


class Handler(http.server.BaseHTTPRequestHandler):
    calls = 0

    def handle_call(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0))).decode()
        behaviour = BEHAVIOURS[min(Handler.calls, len(BEHAVIOURS) - 1)]
        Handler.calls += 1
        with open(CALLS_FILE, "a", encoding="utf-8") as calls:
            call = {"method": self.command, "target": self.path, "body": body,
                    "key": self.headers.get("Authorization", "")}
            calls.write(json.dumps(call) + "\n")
        self.close_connection = True
        if behaviour == "lose":
            return
        status, answer = ANSWERS[behaviour]
        payload = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(payload)))
        self.end_headers()
        self.wfile.write(payload)

    do_GET = do_PUT = do_POST = do_DELETE = handle_call

    def log_message(self, *arguments):
        pass


server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
with open(PORT_FILE, "w", encoding="utf-8") as port_file:
    port_file.write(f"{server.server_port}\n")
server.serve_forever()
