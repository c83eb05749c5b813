"""Measures how costs grow with the fleet, to predict larger fleets.

Each cost (CPU time, memory, bytes sent, calls) is measured at several sizes;
the slope of the fitted line is the cost of one more host, engine or item.
"""
