package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// sharingKeyBytes is the length of a sharing key before it is encoded.
const sharingKeyBytes = 8

// SharingKey returns a text that depends on which accounts are isolated; empty if none is. Accounts that are not
// isolated share KV cache only under the same key. A part that an account makes while it is not isolated is therefore
// used by no other from the moment at which it is isolated, wherever the part is kept.
func (c *Config) SharingKey() string { return c.sharingKey }

// sharingKeyOf returns the sharing key of the given accounts.
func sharingKeyOf(accounts []Account) string {
	var isolated []string
	for i := range accounts {
		if accounts[i].Isolated {
			isolated = append(isolated, accounts[i].Name)
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	hash := sha256.New()
	for _, name := range isolated {
		digest := sha256.Sum256([]byte(name))
		hash.Write(digest[:]) // never fails
	}
	return hex.EncodeToString(hash.Sum(nil)[:sharingKeyBytes])
}
