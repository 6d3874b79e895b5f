"""The journal of unrepeatable work: what was sent, to whom and when. No wire, no decision."""
