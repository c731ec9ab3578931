package follow

// eraShift is the number of bits of a position that hold the offset: a partition would take decades to
// use them up. The eras that fit the rest keep positions below 2^53, so that every JSON decoder reads
// them exactly.
const eraShift = 40

// MaxEra is the highest era that a position can hold.
const MaxEra = 1<<(53-eraShift) - 1

// maxOffset is the highest offset that a position can hold.
const maxOffset = 1<<eraShift - 1

// Position returns the position of an offset in an era of the store.
//
// A store that comes back from an older copy of its data gives out again the offsets of the records that
// it has lost, and raises its era. A position never names two records: those of a later era are higher
// than all of an earlier one. Wherever this package and its users say offset, they mean a position.
func Position(era, offset int64) int64 { return era<<eraShift | offset }

// EraOf returns the era of a position.
func EraOf(position int64) int64 { return position >> eraShift }

// OffsetOf returns the offset of a position within its era.
func OffsetOf(position int64) int64 { return position & maxOffset }
