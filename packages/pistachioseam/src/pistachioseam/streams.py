"""Order and completeness checks for a stream of numbered pieces."""

import enum

import attrs

from pistachioseam import interfaces


class PieceStatus(enum.Enum):
    """Classification of a received piece."""

    DELIVER = 'deliver'
    DUPLICATE = 'duplicate'
    GAP = 'gap'
    FOREIGN = 'foreign'
    """The piece belongs to another request."""
    END = 'end'


@attrs.define
class SequenceTracker:
    """Position in one stream; `next_number` is that of the next new piece."""

    request_id: str
    next_number: int = 0
    is_complete: bool = False

    def accept(self, piece: interfaces.Piece) -> PieceStatus:
        """Classify a piece; advance the position if it is to be delivered."""
        if piece.request_id != self.request_id:
            return PieceStatus.FOREIGN
        if piece.number > self.next_number:
            return PieceStatus.GAP
        if piece.is_end:
            return self._accept_end(piece)
        if piece.number < self.next_number:
            return PieceStatus.DUPLICATE
        self.next_number += 1
        return PieceStatus.DELIVER

    def _accept_end(self, piece: interfaces.Piece) -> PieceStatus:
        if piece.number != self.next_number:
            return PieceStatus.GAP
        self.is_complete = True
        return PieceStatus.END
