package config

import (
	"maps"
	"slices"
	"strings"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
)

// reindex returns a copy of index in which an endpoint's old entries are replaced with
// its new ones. Either endpoint may be nil. The lists are sorted by name.
func reindex(index map[string][]*pb.Endpoint, oldEndpoint, newEndpoint *pb.Endpoint, keys func(*pb.Endpoint) []string) map[string][]*pb.Endpoint {
	oldKeys, newKeys := keys(oldEndpoint), keys(newEndpoint)
	if len(oldKeys) == 0 && len(newKeys) == 0 {
		return index
	}
	index = maps.Clone(index)
	for _, key := range oldKeys {
		if !slices.Contains(newKeys, key) {
			removeEndpoint(index, key, oldEndpoint.GetName())
		}
	}
	for _, key := range newKeys {
		index[key] = insertOrReplace(index[key], newEndpoint)
	}
	return index
}

// insertOrReplace returns a copy of the sorted list with e added or replaced.
func insertOrReplace(list []*pb.Endpoint, e *pb.Endpoint) []*pb.Endpoint {
	i, found := searchByName(list, e.GetName())
	if found {
		list = slices.Clone(list)
		list[i] = e
		return list
	}
	next := make([]*pb.Endpoint, 0, len(list)+1)
	next = append(next, list[:i]...)
	next = append(next, e)
	return append(next, list[i:]...)
}

// removeEndpoint removes an endpoint from the list under a key, and removes the key if
// the list is then empty.
func removeEndpoint(index map[string][]*pb.Endpoint, key, name string) {
	list := index[key]
	i, found := searchByName(list, name)
	if !found {
		return
	}
	if len(list) == 1 {
		delete(index, key)
		return
	}
	index[key] = slices.Delete(slices.Clone(list), i, i+1)
}

func searchByName(list []*pb.Endpoint, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(e *pb.Endpoint, name string) int {
		return strings.Compare(e.GetName(), name)
	})
}
