"""What a scheduler says of itself to balancers: pure deciders; time and signals are passed in."""
