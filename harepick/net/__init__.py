"""The platform's protocol: codecs without sockets, and the connections that use them."""
