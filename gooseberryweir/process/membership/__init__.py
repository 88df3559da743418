"""Which hosts live, what they have told each other, and who may act."""
