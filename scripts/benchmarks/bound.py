"""Greatest flow of tokens that the emulated engines allow."""


def maximize(weights, rows, limits):
    """Greatest sum of weights*x for rows*x <= limits and x >= 0 (simplex).

    The limits must not be negative. Bland's rule excludes endless loops.
    """
    count, columns = len(rows), len(weights)
    table = [
        list(row) + [float(i == j) for j in range(count)] + [limit]
        for i, (row, limit) in enumerate(zip(rows, limits))
    ]
    goal = [-weight for weight in weights] + [0.0] * (count + 1)
    while True:
        entering = next((j for j in range(columns + count) if goal[j] < -1e-9), None)
        if entering is None:
            return goal[-1]
        ratios = [
            (line[-1] / line[entering], i)
            for i, line in enumerate(table)
            if line[entering] > 1e-9
        ]
        _, leaving = min(ratios)
        pivot = table[leaving][entering]
        table[leaving] = [value / pivot for value in table[leaving]]
        for line in table + [goal]:
            if line is not table[leaving] and line[entering]:
                factor = line[entering]
                for j, value in enumerate(table[leaving]):
                    line[j] -= factor * value


def routes(engines, layers, begin=0):
    """All lists of engines whose ranges cover [begin, layers) in order."""
    if begin == layers:
        return [[]]
    return [
        [engine] + rest
        for engine in engines
        if engine.first == begin
        for rest in routes(engines, layers, engine.end)
    ]


def token_micros(route):
    """Time of one token: each stage, and the way to each later one and back."""
    return sum(engine.token_micros for engine in route) + sum(
        2000 * engine.delay_ms for engine in route[1:]
    )


def tokens_per_second(engines, layers):
    """A stream holds one slot of each stage of its route for all its time."""
    found = routes(engines, layers)
    return maximize(
        [1e6 / token_micros(route) for route in found],
        [[float(engine in route) for route in found] for engine in engines],
        [float(engine.slots) for engine in engines],
    )
