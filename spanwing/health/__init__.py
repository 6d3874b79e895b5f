"""What a scheduler reports of itself to balancers; pure functions and classes that are given time and
signals.
"""
