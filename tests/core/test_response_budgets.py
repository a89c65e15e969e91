"""Order and accounts of what a host holds of targets' responses."""

from pistachioseam import response_budgets
from tests import support

PART = bytes(16_384)


class Reader:
    """Reader that counts how often it may go on."""

    def __init__(self) -> None:
        self.resumed = 0

    def resume(self) -> None:
        """Count that it may go on."""
        self.resumed += 1


def create_readers(
    order: response_budgets.ReadingOrder, count: int
) -> list[Reader]:
    """Return readers that have been added to an order."""
    readers = [Reader() for _ in range(count)]
    for reader in readers:
        order.add(reader)
    return readers


def test_first_reader_goes_on_without_room(case: support.Case) -> None:
    """Guards against responses that all wait for each other's memory."""
    budget = response_budgets.ResponseBudget()
    order = response_budgets.ReadingOrder(budget)
    first, second = create_readers(order, 2)
    case.assertTrue(order.may_read(second))
    budget.held_bytes = budget.limit_bytes + 1
    case.assertTrue(order.may_read(first))
    case.assertFalse(order.may_read(second))


def test_next_reader_goes_on_when_one_ends(case: support.Case) -> None:
    """The one that was opened next goes on; others wait without room."""
    budget = response_budgets.ResponseBudget()
    order = response_budgets.ReadingOrder(budget)
    first, second, third, fourth = create_readers(order, 4)
    budget.held_bytes = budget.limit_bytes + 1
    order.remove(first)
    case.assertEqual([1, 0, 0], [r.resumed for r in (second, third, fourth)])
    budget.held_bytes = 0
    order.remove(second)
    case.assertEqual([1, 1], [r.resumed for r in (third, fourth)])


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
