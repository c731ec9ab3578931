package quarantine

import (
	"slices"
	"time"
)

// HeldPart returns the end of the latest hold on one of the parts, or the zero time if none is held.
func (t *Table) HeldPart(parts []Part) (until time.Time) {
	t.DecideParts()
	for _, p := range parts {
		if end := t.HeldUntil(p.Key); end.After(until) {
			until = end
		}
	}
	return until
}

// DecideParts holds the parts that explain endings, as far as that is due and this node decides.
func (t *Table) DecideParts() {
	accounts := t.dueAccounts()
	if t.decides != nil { // called without the lock, as it takes that of the list of nodes
		accounts = slices.DeleteFunc(accounts, func(account Fingerprint) bool { return !t.decides(account) })
	}
	for _, account := range accounts {
		t.decidePart(account)
	}
}

// dueAccounts returns the accounts of which a part is to be decided on now.
func (t *Table) dueAccounts() []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if t.parts.decideAt.IsZero() || now.Before(t.parts.decideAt) {
		return nil
	}
	t.parts.decideAt = time.Time{}
	return t.parts.due(now)
}

// decidePart holds the part of an account that explains its endings best, if there is one.
func (t *Table) decidePart(account Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCount()
	key, found := t.parts.suspect(account)
	if !found || t.held.Contains(key) {
		return
	}
	a, _ := t.parts.accused.Peek(key)
	t.newParts = append(t.newParts, *t.addPart(key, a.endpoints()))
}

// addPart adds the first hold of a part. The caller must hold t.mu.
func (t *Table) addPart(f Fingerprint, endpoints []string) *Hold {
	now := t.now()
	h := &Hold{Fingerprint: f, Endpoints: endpoints, Since: now, Until: now.Add(firstHold), Part: true}
	t.held.Add(f, h)
	return h
}

// PartsPending reports whether a decision on parts is due later.
func (t *Table) PartsPending() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.parts.decideAt.IsZero()
}

// holdPart holds a part because another node decided so. It reports whether that is new.
func (t *Table) holdPart(f Fingerprint, endpoints []string) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCount()
	if t.held.Contains(f) {
		return false
	}
	t.addPart(f, endpoints)
	return true
}

// takeNewParts returns the parts that were held since the last call.
func (t *Table) takeNewParts() []Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.newParts
	t.newParts = nil
	return held
}

// becomesSuspect reports, once, that a part has at least the given weight.
func (t *Table) becomesSuspect(f Fingerprint, weight int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, known := t.parts.accused.Peek(f)
	if !known || a.suspected || a.weight() < weight {
		return false
	}
	a.suspected = true
	return true
}
