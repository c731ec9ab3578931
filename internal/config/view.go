package config

import (
	"crypto/sha256"
	"encoding/hex"
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
)

// Item is one object with the revision of the change that wrote it.
type Item struct {
	Revision int64
	// Created is the revision that created the object. An object that is created
	// again after a deletion, under the same name, has a new one.
	Created int64
	Value   Value
}

// Entry is one accepted change.
type Entry struct {
	// Revision is the change's offset in the log.
	Revision int64
	// ChangeID is the id of the proposed change. It is empty in the entries of a
	// Replica, whose log does not provide it.
	ChangeID string
	Kind     Kind
	Name     string
	// Created is the revision that created the object; if it is 0, the view
	// determines it.
	Created int64
	// Value is nil if the change deletes the object.
	Value Value
}

// View is the complete configuration at one offset of the log. It is immutable and
// safe for concurrent use; the values in it must not be modified.
type View struct {
	applied   int64
	items     map[Kind]table[Item]
	byKey     table[*pb.ClientAccount]
	byModel   map[string][]*pb.Endpoint
	byService map[string][]*pb.Endpoint
}

var _ State = (*View)(nil)

// NewView returns the empty configuration.
func NewView() *View {
	v := &View{
		items:     make(map[Kind]table[Item], len(kinds)),
		byKey:     newTable[*pb.ClientAccount](),
		byModel:   make(map[string][]*pb.Endpoint),
		byService: make(map[string][]*pb.Endpoint),
	}
	for _, kind := range kinds {
		v.items[kind] = newTable[Item]()
	}
	return v
}

// Applied returns the log offset up to which changes are applied in the view.
func (v *View) Applied() int64 { return v.applied }

// Len returns the number of objects of a kind.
func (v *View) Len(kind Kind) int { return v.items[kind].size }

// Item returns one object with its revision.
func (v *View) Item(kind Kind, name string) (Item, bool) {
	t, ok := v.items[kind]
	if !ok {
		return Item{}, false
	}
	return t.get(name)
}

// Items returns the objects of a kind, sorted by name.
func (v *View) Items(kind Kind) []Item {
	t, ok := v.items[kind]
	if !ok {
		return nil
	}
	items := make([]Item, 0, t.size)
	for _, item := range t.all() {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Value.GetName(), b.Value.GetName()) })
	return items
}

// Find implements State.
func (v *View) Find(kind Kind, name string) (Value, bool) {
	item, ok := v.Item(kind, name)
	return item.Value, ok
}

// All implements State.
func (v *View) All(kind Kind) iter.Seq[Value] {
	return func(yield func(Value) bool) {
		t, ok := v.items[kind]
		if !ok {
			return
		}
		for _, item := range t.all() {
			if !yield(item.Value) {
				return
			}
		}
	}
}

// AccountByKey returns the account that a bearer key belongs to, even if the account
// is suspended.
func (v *View) AccountByKey(key string) (*pb.ClientAccount, bool) {
	return v.byKey.get(HashKey(key))
}

// HashKey returns the SHA-256 hash of a bearer key in hex, as accounts store it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Account returns the client account with a name.
func (v *View) Account(name string) (*pb.ClientAccount, bool) {
	return find[*pb.ClientAccount](v, KindAccount, name)
}

// Model returns the model with a name.
func (v *View) Model(name string) (*pb.Model, bool) { return find[*pb.Model](v, KindModel, name) }

// Version returns a weight version of a model.
func (v *View) Version(model, version string) (*pb.ModelVersion, bool) {
	return find[*pb.ModelVersion](v, KindVersion, VersionName(model, version))
}

// Adapter returns the adapter with a name.
func (v *View) Adapter(name string) (*pb.Adapter, bool) {
	return find[*pb.Adapter](v, KindAdapter, name)
}

// Endpoint returns the endpoint with a name, even if it is leaving.
func (v *View) Endpoint(name string) (*pb.Endpoint, bool) {
	return find[*pb.Endpoint](v, KindEndpoint, name)
}

func find[V Value](v *View, kind Kind, name string) (V, bool) {
	value, _ := v.Find(kind, name)
	typed, ok := value.(V)
	return typed, ok
}

// Engines returns the engines that serve a model, sorted by name, without those that
// are leaving. The slice must not be modified.
func (v *View) Engines(model string) []*pb.Endpoint { return v.byModel[model] }

// Services returns the endpoints of a service, sorted by name, without those that are
// leaving. The slice must not be modified.
func (v *View) Services(name string) []*pb.Endpoint { return v.byService[name] }

// With returns a copy of v with one accepted change applied. Its cost does not depend
// on the number of accounts; with more endpoints, it copies more pointers.
func (v *View) With(e Entry) *View {
	t, ok := v.items[e.Kind]
	if !ok {
		return v.Advance(e.Revision)
	}
	next := *v
	next.applied = max(v.applied, e.Revision)
	old, _ := t.get(e.Name)
	if e.Value == nil {
		t = t.without(e.Name)
	} else {
		t = t.with(e.Name, Item{Revision: e.Revision, Created: createdRevision(old, e), Value: e.Value})
	}
	next.items = maps.Clone(v.items)
	next.items[e.Kind] = t
	next.updateIndexes(old.Value, e.Value)
	return &next
}

func createdRevision(old Item, e Entry) int64 {
	switch {
	case e.Created != 0:
		return e.Created
	case old.Created != 0:
		return old.Created
	}
	return e.Revision
}

// AccountID returns an id that is unique to a client account over time. An account
// that is created under the name of a deleted one has a new id, so that it has no
// access to the deleted account's cached context, runs or tickets.
func (v *View) AccountID(name string) string {
	item, _ := v.Item(KindAccount, name)
	return name + "@" + strconv.FormatInt(item.Created, 10)
}

// Advance returns a view with the same objects and a higher applied offset. It
// returns v if applied is not higher.
func (v *View) Advance(applied int64) *View {
	if applied <= v.applied {
		return v
	}
	next := *v
	next.applied = applied
	return &next
}

// updateIndexes replaces an object's old value with its new one in the indexes. Each of
// the two may be nil.
func (v *View) updateIndexes(before, after Value) {
	if a, ok := before.(*pb.ClientAccount); ok {
		for _, hash := range a.GetKeyHashes() {
			v.byKey = v.byKey.without(hash)
		}
	}
	if a, ok := after.(*pb.ClientAccount); ok {
		for _, hash := range a.GetKeyHashes() {
			v.byKey = v.byKey.with(hash, a)
		}
	}
	oldEndpoint, _ := before.(*pb.Endpoint)
	newEndpoint, _ := after.(*pb.Endpoint)
	v.byModel = reindex(v.byModel, oldEndpoint, newEndpoint, servedModels)
	v.byService = reindex(v.byService, oldEndpoint, newEndpoint, servedServices)
}

func servedModels(e *pb.Endpoint) []string {
	if e.GetLeaving() {
		return nil
	}
	return e.GetModels()
}

func servedServices(e *pb.Endpoint) []string {
	if e.GetLeaving() || e.GetService() == "" {
		return nil
	}
	return []string{e.GetService()}
}
