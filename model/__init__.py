"""Small specifications of the core protocols, proved with Z3."""
