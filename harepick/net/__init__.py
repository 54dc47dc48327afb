"""The platform's protocols: codecs that use no sockets, and the connections built on them."""
