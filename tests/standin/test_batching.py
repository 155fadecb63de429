from egretford.standin.batching import BatchModel, EngineProfile, EngineRequest

MESSAGES = [{"role": "user", "content": "x" * 400}]


def run(model, request):
    """Run one request alone and return its duration in simulated seconds."""
    model.submit(request)
    seconds = 0.0
    while not model.is_idle:
        seconds += model.step()[0]
    return seconds


def test_second_turn_finds_the_first_in_the_cache():
    model = BatchModel(EngineProfile())
    first = EngineRequest("1", "p", MESSAGES, 20)
    run(model, first)
    answer = {"role": "assistant", "content": first.answer_text()}
    second = EngineRequest("2", "p", [*MESSAGES, answer, *MESSAGES], 20)
    run(model, second)
    assert second.cached == second.prompt_tokens - 100


def test_released_program_holds_nothing():
    model = BatchModel(EngineProfile())
    run(model, EngineRequest("1", "p", MESSAGES, 20))
    assert model.cache.count_tokens_by_program()["p"] > 0
    model.cache.release("p")
    assert (model.cache.count_tokens_by_program(), model.cache.used_tokens) == ({}, 0)


def test_cache_stays_within_its_capacity():
    model = BatchModel(EngineProfile(cache_tokens=300))
    for number in range(10):
        run(model, EngineRequest(str(number), f"p{number}", [{"content": f"{number}" * 400}], 8))
        assert model.cache.used_tokens <= 300


def test_continuation_gives_the_same_text():
    whole = EngineRequest("1", "p", MESSAGES, 30)
    rest = EngineRequest("2", "p", MESSAGES, 30, skip=9)
    assert (whole.length, whole.token_text(9)) == (rest.length, rest.token_text(9))
