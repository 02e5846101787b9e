"""Set-up of the development environment; needs nothing but the standard library and pip."""
