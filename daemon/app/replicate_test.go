package app

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// TestAcceptedChangeSurvivesLossOfItsDaemonAndTheStore: the daemon that accepted a
// change and the platform's table both fail right after the acceptance.
func TestAcceptedChangeSurvivesLossOfItsDaemonAndTheStore(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 3, standin.Bunker(), nil)
	item, err := json.Marshal(live.Team{Name: "gamma", KeyHashes: []string{live.HashKey("gamma-key")}})
	is.NoErr(err)
	ops := []opapi.Op{{Action: "put", Kind: live.KindTeam, Name: "gamma", Item: item}}
	status, body := f.change(f.daemons[0], opapi.ChangeRequest{ID: "last-word", Author: "test", Ops: ops})
	is.Equal(status, http.StatusOK)
	down := true
	f.platform.Table.Inject(wire.Fault{Down: &down})
	f.daemons[0].Kill()
	var answer opapi.ChangeAnswer
	is.NoErr(json.Unmarshal(body, &answer))
	f.waitFor("the survivors have the change", func() bool {
		return f.daemons[1].Revision() >= answer.Revision && f.daemons[2].Revision() >= answer.Revision
	})
}

func TestReplicaTargetsAreDistinct(t *testing.T) {
	is := is.New(t)
	is.Equal(len(selectReplicas("c", nil)), 0)
	var others []id.Daemon
	for i := range 9 {
		others = append(others, id.Daemon(fmt.Sprintf("d%d", i)))
	}
	seen := map[id.Daemon]bool{}
	for _, d := range selectReplicas("a change", others) {
		seen[d] = true
	}
	is.Equal(len(seen), replicaTargets)
	is.Equal(len(selectReplicas("a change", others[:2])), 2)
}
