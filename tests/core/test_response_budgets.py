"""Order and accounts of what a host holds of targets' responses."""

from pistachioseam import response_budgets
from tests import support

PART = bytes(16_384)


class Reader:
    """Reader that records what it is told."""

    def __init__(self) -> None:
        self.resumed = 0
        self.is_released = False

    def resume(self) -> None:
        """Count that it may go on."""
        self.resumed += 1

    def release(self) -> None:
        """Record that it has given up what it held."""
        self.is_released = True


def test_first_reader_goes_on_without_room(case: support.Case) -> None:
    """Guards against responses that all wait for each other's memory."""
    budget = response_budgets.ResponseBudget()
    order = response_budgets.ReadingOrder(budget)
    with order.open(Reader()) as first, order.open(Reader()) as second:
        case.assertTrue(order.may_read(second))
        budget.held_bytes = budget.limit_bytes + 1
        case.assertTrue(order.may_read(first))
        case.assertFalse(order.may_read(second))


def test_next_reader_goes_on_when_one_ends(case: support.Case) -> None:
    """The one that was opened next goes on; others wait without room."""
    budget = response_budgets.ResponseBudget()
    order = response_budgets.ReadingOrder(budget)
    with order.open(Reader()) as first, order.open(Reader()) as second:
        budget.held_bytes = budget.limit_bytes + 1
        with order.open(Reader()) as ended:
            pass
        case.assertTrue(ended.is_released)
        case.assertEqual((1, 0), (first.resumed, second.resumed))
        budget.held_bytes = 0
        with order.open(Reader()):
            pass
        case.assertEqual((2, 1), (first.resumed, second.resumed))


def test_cleared_parts_do_not_count(case: support.Case) -> None:
    """Parts that are released without use leave the account."""
    budget = response_budgets.ResponseBudget()
    held = response_budgets.HeldParts(budget)
    held.add(PART)
    held.add(PART)
    next(iter(held))
    held.clear()
    case.assertEqual((0, []), (budget.held_bytes, list(held)))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
