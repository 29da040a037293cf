"""Upper bound of the token throughput of the emulated engines."""


def maximize(weights, rows, limits):
    """Maximum of weights*x for rows*x <= limits and x >= 0, by the simplex method.

    The limits must not be negative. Bland's rule prevents cycling.
    """
    count, columns = len(rows), len(weights)
    tableau = [
        list(row) + [float(i == j) for j in range(count)] + [limit]
        for i, (row, limit) in enumerate(zip(rows, limits))
    ]
    objective = [-weight for weight in weights] + [0.0] * (count + 1)
    while True:
        entering = next((j for j in range(columns + count) if objective[j] < -1e-9), None)
        if entering is None:
            return objective[-1]
        ratios = [
            (line[-1] / line[entering], i)
            for i, line in enumerate(tableau)
            if line[entering] > 1e-9
        ]
        _, leaving = min(ratios)
        pivot = tableau[leaving][entering]
        tableau[leaving] = [value / pivot for value in tableau[leaving]]
        for line in tableau + [objective]:
            if line is not tableau[leaving] and line[entering]:
                factor = line[entering]
                for j, value in enumerate(tableau[leaving]):
                    line[j] -= factor * value


def routes(engines, layers, begin=0):
    """All sequences of engines whose layer ranges cover [begin, layers) in order."""
    if begin == layers:
        return [[]]
    return [
        [engine] + rest
        for engine in engines
        if engine.first == begin
        for rest in routes(engines, layers, engine.end)
    ]


def token_micros(route):
    """Time of one token: computation at each stage, round trip to each later one."""
    return sum(engine.token_micros for engine in route) + sum(
        2000 * engine.delay_ms for engine in route[1:]
    )


def tokens_per_second(engines, layers):
    """Bound for streams that each hold one slot at every stage of their route."""
    all_routes = routes(engines, layers)
    return maximize(
        [1e6 / token_micros(route) for route in all_routes],
        [[float(engine in route) for route in all_routes] for engine in engines],
        [float(engine.slots) for engine in engines],
    )
