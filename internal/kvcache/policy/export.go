package policy

// Offer is a possible export: the blocks of a prefix that are not in the store yet.
type Offer struct {
	ReturnChance float64 // probability that the conversation is continued after the engine has evicted the prefix
	SavedSeconds float64 // prefill time minus import time, if it is continued
	Bytes        int64   // bytes to transfer over the link
	Uses         int     // number of runs with this prefix, including the current one
}

// Value returns the expected number of seconds saved per byte transferred.
func (o Offer) Value() float64 {
	if o.Bytes <= 0 {
		return 0
	}
	return o.ReturnChance * max(0, o.SavedSeconds) / float64(o.Bytes)
}

// ExportPolicy decides whether to make an export, given the link's current price in
// seconds per byte.
type ExportPolicy interface {
	// Worth reports whether to make the offered export.
	Worth(offer Offer, price float64) bool
}

// ExportNever rejects every export.
type ExportNever struct{}

// ExportAlways accepts every export.
type ExportAlways struct{}

// ExportSecondUse accepts an export if its prefix has been used at least twice.
type ExportSecondUse struct{}

// ExportByValue accepts the exports whose value exceeds the link's price.
type ExportByValue struct{}

var (
	_ ExportPolicy = ExportNever{}
	_ ExportPolicy = ExportAlways{}
	_ ExportPolicy = ExportSecondUse{}
	_ ExportPolicy = ExportByValue{}
)

// Worth implements ExportPolicy. It rejects every offer.
func (ExportNever) Worth(Offer, float64) bool { return false }

// Worth implements ExportPolicy. It accepts every offer that has bytes to transfer.
func (ExportAlways) Worth(offer Offer, _ float64) bool { return offer.Bytes > 0 }

// Worth implements ExportPolicy. It accepts offers with bytes to transfer whose prefix
// has been used at least twice.
func (ExportSecondUse) Worth(offer Offer, _ float64) bool {
	return offer.Bytes > 0 && offer.Uses >= 2
}

// Worth implements ExportPolicy. It accepts offers whose value exceeds the price.
func (ExportByValue) Worth(offer Offer, price float64) bool { return offer.Value() > price }
