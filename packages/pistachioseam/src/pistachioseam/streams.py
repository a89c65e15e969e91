"""Order and completeness of a stream of numbered pieces."""

import enum

import attrs

from pistachioseam import interfaces


class Verdict(enum.Enum):
    """What to do with a piece that arrived."""

    DELIVER = 'deliver'
    DUPLICATE = 'duplicate'
    GAP = 'gap'
    FOREIGN = 'foreign'
    """The piece belongs to another request."""
    END = 'end'


@attrs.define
class Assembly:
    """Position in one stream; `next_number` is the piece expected next."""

    request_id: str
    next_number: int = 0
    is_complete: bool = False

    def accept(self, piece: interfaces.Piece) -> Verdict:
        """Judge a piece and advance the position when it is delivered."""
        if piece.request_id != self.request_id:
            return Verdict.FOREIGN
        if piece.number > self.next_number:
            return Verdict.GAP
        if piece.is_end:
            return self._accept_end(piece)
        if piece.number < self.next_number:
            return Verdict.DUPLICATE
        self.next_number += 1
        return Verdict.DELIVER

    def _accept_end(self, piece: interfaces.Piece) -> Verdict:
        if piece.number != self.next_number:
            return Verdict.GAP
        self.is_complete = True
        return Verdict.END
