package config

import (
	"fmt"
	"slices"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/result"
)

// CheckPut validates the write of an object against the state before it: the object
// itself, that the objects it references exist, and that no other account has one of
// its keys. The replicated state stores the texts of its errors, so they must not
// differ between releases: nodes would then have different states.
func CheckPut(s State, v Value) error {
	if err := Validate(v); err != nil {
		return err
	}
	switch v := v.(type) {
	case *pb.ClientAccount:
		return checkKeysUnused(s, v)
	case *pb.Model:
		return checkModelVersion(s, v)
	case *pb.Adapter:
		return firstError(
			checkExists(s, "adapter.model", KindModel, v.GetModel()),
			checkAllExist(s, "adapter.accounts", KindAccount, v.GetAccounts()),
		)
	case *pb.Endpoint:
		return checkAllExist(s, "endpoint.models", KindModel, v.GetModels())
	}
	return nil
}

// CheckDelete validates the deletion of an object. It fails with UnknownObject if the
// object does not exist, and with StillReferenced if another one references it.
func CheckDelete(s State, kind Kind, name string) error {
	if _, ok := s.Find(kind, name); !ok {
		return unknownObject(kind, name)
	}
	if from := firstReferrer(s, kind, name); from != "" {
		return result.New(result.StillReferenced, result.WithField("name"),
			result.WithMessage("%s %q is named by %s", kind, name, from))
	}
	return nil
}

// firstReferrer returns the kind and name of the first object, by kind and name, that
// references an object, or "" if there is none. The order makes the error text equal
// on every node.
func firstReferrer(s State, kind Kind, name string) string {
	for _, from := range kinds {
		var names []string
		for v := range s.All(from) {
			if references(v, kind, name) {
				names = append(names, v.GetName())
			}
		}
		if len(names) > 0 {
			return fmt.Sprintf("%s %q", from, slices.Min(names))
		}
	}
	return ""
}

// references reports whether v references the object with a kind and name.
func references(v Value, kind Kind, name string) bool {
	switch v := v.(type) {
	case *pb.Model:
		return kind == KindVersion && v.GetVersion() != "" && VersionName(v.GetName(), v.GetVersion()) == name
	case *pb.Adapter:
		return kind == KindModel && v.GetModel() == name || kind == KindAccount && slices.Contains(v.GetAccounts(), name)
	case *pb.Endpoint:
		return kind == KindModel && slices.Contains(v.GetModels(), name)
	}
	return false
}

func unknownObject(kind Kind, name string) error {
	return result.New(result.UnknownObject, result.WithField("name"),
		result.WithMessage("no %s %q is configured", kind, name))
}

func checkExists(s State, field string, kind Kind, name string) error {
	if _, ok := s.Find(kind, name); !ok {
		return invalid(field, "no %s %q is configured", kind, name)
	}
	return nil
}

func checkAllExist(s State, field string, kind Kind, names []string) error {
	for i, name := range names {
		if err := checkExists(s, elementField(field, i), kind, name); err != nil {
			return err
		}
	}
	return nil
}

// checkModelVersion rejects a version that does not exist or is withdrawn. A model may
// have no version; it is then not served.
func checkModelVersion(s State, m *pb.Model) error {
	if m.GetVersion() == "" {
		return nil
	}
	name := VersionName(m.GetName(), m.GetVersion())
	found, ok := s.Find(KindVersion, name)
	if !ok {
		return invalid("model.version", "no version %q is configured", name)
	}
	if version, ok := found.(*pb.ModelVersion); ok && version.GetWithdrawn() {
		return invalid("model.version", "version %q is withdrawn", name)
	}
	return nil
}

// checkKeysUnused rejects a key that another account has, since a key must identify
// one account. The error names the first such key
// in a's list.
func checkKeysUnused(s State, a *pb.ClientAccount) error {
	firstUsed := -1
	for v := range s.All(KindAccount) {
		other, ok := v.(*pb.ClientAccount)
		if !ok || other.GetName() == a.GetName() {
			continue
		}
		for i, hash := range a.GetKeyHashes() {
			if slices.Contains(other.GetKeyHashes(), hash) && (firstUsed < 0 || i < firstUsed) {
				firstUsed = i
			}
		}
	}
	if firstUsed < 0 {
		return nil
	}
	return invalid(elementField("account.key_hashes", firstUsed), "another account holds this key")
}
