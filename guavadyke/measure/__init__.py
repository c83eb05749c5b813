"""Load generator and performance experiments (``guavadyke measure``)."""
