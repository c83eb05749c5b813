"""Request filters, and the forwarding of requests to backend servers."""
