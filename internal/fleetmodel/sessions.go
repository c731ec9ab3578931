package fleetmodel

import (
	"fmt"
	"math"
	"sort"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/routing"
)

// sessions returns a function that draws a session of a class. With a Zipf distribution, the order
// of the sessions by frequency is drawn first, which makes it independent of their size.
func (w *World) sessions(c *Class) func() int {
	if c.Skew <= 0 {
		return func() int { return w.random.IntN(c.Sessions) }
	}
	order := w.random.Perm(c.Sessions)
	cumulative := make([]float64, c.Sessions) // weights
	sum := 0.0
	for i := range cumulative {
		sum += math.Pow(float64(i+1), -c.Skew)
		cumulative[i] = sum
	}
	return func() int {
		drawn := w.random.Float64() * sum
		return order[min(sort.SearchFloat64s(cumulative, drawn), c.Sessions-1)]
	}
}

// account returns the account of a session and the prompt part that the account's sessions share;
// nil for classes without accounts or without such a part.
func (c *Class) account(session int) (*routing.Account, []forward.Part) {
	if c.Accounts <= 0 {
		return nil, nil
	}
	number := session % c.Accounts
	account := &routing.Account{Name: fmt.Sprintf("account-%d", number), Isolated: true}
	if c.AccountTokens <= 0 {
		return account, nil
	}
	return account, []forward.Part{{ID: fmt.Sprintf("%s-account-%d", c.Name, number), Tokens: c.AccountTokens}}
}
