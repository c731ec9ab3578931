package quarantine

// Domains of the hashes, so that a part, an account and a request never have the same fingerprint.
const (
	partDomain    = "part"
	accountDomain = "account"
)

// Part is a part of a prompt that other requests of its client account may have, too.
type Part struct {
	// Key identifies the part among those of its client account and model. Other accounts' prompts with the
	// same part have another key: no account can have another one's requests held.
	Key Fingerprint
	// Depth is the position of the part in the prompt, from 0.
	Depth int
}

// PartOf returns the part at a position of a prompt.
func PartOf(account, model, id string, depth int) Part {
	return Part{Key: hashOf(nil, partDomain, account, model, id), Depth: depth}
}

// AccountKey identifies a client account.
func AccountKey(account string) Fingerprint { return hashOf(nil, accountDomain, account) }
