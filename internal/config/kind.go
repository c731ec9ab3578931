package config

import (
	"iter"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/result"
)

// Kind is the kind of a configuration object.
type Kind string

// The kinds in an order in which objects can be created: an object references
// only objects of kinds that come before its own.
const (
	KindAccount  Kind = "account"
	KindVersion  Kind = "version"
	KindModel    Kind = "model"
	KindAdapter  Kind = "adapter"
	KindEndpoint Kind = "endpoint"
)

var kinds = []Kind{KindAccount, KindVersion, KindModel, KindAdapter, KindEndpoint}

// Kinds returns every kind in the order of creation.
func Kinds() []Kind { return slices.Clone(kinds) }

// ParseKind returns the kind with a name, or an InvalidObject error.
func ParseKind(name string) (Kind, error) {
	kind := Kind(name)
	if !slices.Contains(kinds, kind) {
		return "", result.New(result.InvalidObject, result.WithField("kind"),
			result.WithMessage("unknown kind %q: want one of %v", name, kinds))
	}
	return kind, nil
}

// Value is one configuration object: a *pb.ClientAccount, *pb.ModelVersion,
// *pb.Model, *pb.Adapter or *pb.Endpoint. It must not be modified once it is part of
// a View.
type Value interface {
	proto.Message
	GetName() string
}

// KindOf returns the kind of a value, or "" for a message of another type.
func KindOf(v Value) Kind {
	switch v.(type) {
	case *pb.ClientAccount:
		return KindAccount
	case *pb.ModelVersion:
		return KindVersion
	case *pb.Model:
		return KindModel
	case *pb.Adapter:
		return KindAdapter
	case *pb.Endpoint:
		return KindEndpoint
	}
	return ""
}

// newValue returns an empty object of a kind.
func newValue(kind Kind) (Value, error) {
	if _, err := ParseKind(string(kind)); err != nil {
		return nil, err
	}
	return NewNamed(kind, ""), nil
}

// State is the set of objects that a change is validated against.
type State interface {
	// Find returns one object.
	Find(kind Kind, name string) (Value, bool)
	// All yields every object of a kind, in any order.
	All(kind Kind) iter.Seq[Value]
}

// ToObject converts a value and its revision to a pb.Object, the message of the
// operators' RPCs.
func ToObject(v Value, revision int64) *pb.Object {
	o := &pb.Object{Revision: revision}
	switch v := v.(type) {
	case *pb.ClientAccount:
		o.Object = &pb.Object_Account{Account: v}
	case *pb.ModelVersion:
		o.Object = &pb.Object_Version{Version: v}
	case *pb.Model:
		o.Object = &pb.Object_Model{Model: v}
	case *pb.Adapter:
		o.Object = &pb.Object_Adapter{Adapter: v}
	case *pb.Endpoint:
		o.Object = &pb.Object_Endpoint{Endpoint: v}
	}
	return o
}

// FromObject returns the value in a pb.Object. It fails if the object has none.
func FromObject(o *pb.Object) (Value, error) {
	switch o := o.GetObject().(type) {
	case *pb.Object_Account:
		return requireObject(o.Account)
	case *pb.Object_Version:
		return requireObject(o.Version)
	case *pb.Object_Model:
		return requireObject(o.Model)
	case *pb.Object_Adapter:
		return requireObject(o.Adapter)
	case *pb.Object_Endpoint:
		return requireObject(o.Endpoint)
	}
	return nil, errNoObject()
}

func requireObject[M any, P interface {
	*M
	Value
}](v P) (Value, error) {
	if v == nil {
		return nil, errNoObject()
	}
	return v, nil
}

func errNoObject() error {
	return result.New(result.InvalidObject, result.WithField("object"),
		result.WithMessage("no object given: want one of %v", kinds))
}

// NewNamed returns an object of a kind with only its name set, as for a deletion. It
// returns nil if the kind is unknown.
func NewNamed(kind Kind, name string) Value {
	switch kind {
	case KindAccount:
		return &pb.ClientAccount{Name: name}
	case KindVersion:
		return &pb.ModelVersion{Name: name}
	case KindModel:
		return &pb.Model{Name: name}
	case KindAdapter:
		return &pb.Adapter{Name: name}
	case KindEndpoint:
		return &pb.Endpoint{Name: name}
	}
	return nil
}
