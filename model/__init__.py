"""Small specifications of the core protocols, proved with z3's fixed-point engine."""
