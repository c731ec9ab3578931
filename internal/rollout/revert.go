package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/config"
)

const revertTimeout = 10 * time.Second

// revertChange returns the change that reverts a model to its previous version. The change is based on
// the revision that started the rollout, so that a later change of the model by an operator takes
// precedence. Its id is derived from that revision, so that two nodes which revert the same rollout
// write one change. It returns false if there is nothing to revert or no previous version.
func revertChange(view *config.View, f modelEngines) (config.Change, bool) {
	previous, ok := f.previous()
	item, found := view.Item(config.KindModel, f.target.Model)
	model, typed := item.Value.(*pb.Model)
	if !ok || !found || !typed || model.GetVersion() != f.target.Version {
		return config.Change{}, false
	}
	reverted := proto.CloneOf(model)
	reverted.Version = previous
	value, err := config.Encode(reverted)
	if err != nil {
		return config.Change{}, false
	}
	sum := sha256.Sum256([]byte(f.target.Model + "\x00" + f.target.Version + "\x00" + strconv.FormatInt(item.Revision, 10)))
	return config.Change{
		ID:      "undo-" + hex.EncodeToString(sum[:sha256.Size/2]),
		Kind:    config.KindModel,
		Name:    f.target.Model,
		BasedOn: item.Revision,
		Value:   value,
	}, true
}
