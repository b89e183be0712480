package app

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/standin"
)

// TestTeamLimitHoldsAcrossDaemons: a team's limit holds however its requests are
// spread over the daemons, and other teams are still served.
func TestTeamLimitHoldsAcrossDaemons(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 2, standin.Bunker(), nil)
	item, err := json.Marshal(live.Team{Name: "beta", KeyHashes: []string{live.HashKey(otherKey)}, LimitPerSecond: 0.01, LimitBurst: 4})
	is.NoErr(err)
	ops := []opapi.Op{{Action: "put", Kind: live.KindTeam, Name: "beta", Item: item}}
	status, body := f.change(f.daemons[0], opapi.ChangeRequest{ID: "a-limit", Author: "test", Ops: ops})
	is.Equal(status, http.StatusOK)
	var answer opapi.ChangeAnswer
	is.NoErr(json.Unmarshal(body, &answer))
	f.waitFor("the limit is in force", func() bool {
		return f.daemons[0].Revision() >= answer.Revision && f.daemons[1].Revision() >= answer.Revision
	})
	complete := func(d *Daemon, key string) (int, string) {
		req := f.completionRequest(context.Background(), d, key, opapi.CompletionRequest{Model: model, Prompt: "a", MaxTokens: 1})
		status, body := f.do(req)
		return status, string(body)
	}
	served := 0
	for i := range 12 {
		status, body := complete(f.daemons[i%2], otherKey)
		if status == http.StatusOK {
			served++
			continue
		}
		is.Equal(status, http.StatusTooManyRequests)
		is.True(strings.Contains(body, "team_limit"))
		is.True(strings.Contains(body, "not-run"))
	}
	is.True(served >= 2 && served <= 4) // at least the half of the burst that is available at once, at most the whole burst
	status, _ = complete(f.daemons[0], teamKey)
	is.Equal(status, http.StatusOK)
}
