"""A fleet under simulated time: the decision module and the cores of the fleet parts on one event heap."""
