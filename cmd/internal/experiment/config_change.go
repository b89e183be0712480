package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/operator"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// markers are the two teams that every change sets to the same number. If their
// numbers differ, a change has been applied only in part.
var markers = [2]id.Team{"config-marker-a", "config-marker-b"}

// resendPause is the delay before an operator sends a change again.
const resendPause = 100 * time.Millisecond

// changeDriver proposes the changes of the experiment and records the results.
type changeDriver struct {
	env   Env
	site  configSite
	watch *configWatcher
	phase string

	mu       sync.Mutex
	number   int
	accepted []acceptedChange
	resent   int
	out      ConfigFigures
}

// acceptedChange is a change whose acceptance was confirmed to the operator.
type acceptedChange struct {
	id       string
	revision uint64
	phase    string
	at       time.Time
	number   int
}

func newChangeDriver(env Env, site configSite) *changeDriver {
	return &changeDriver{env: env, site: site, watch: startConfigWatcher(site)}
}

// nextRequest returns the next change with its marker number.
func (c *changeDriver) nextRequest(expect uint64) (opapi.ChangeRequest, int, error) {
	c.mu.Lock()
	c.number++
	n := c.number
	c.mu.Unlock()
	req := opapi.ChangeRequest{ID: ulid.Make().String(), Author: fmt.Sprintf("operator-%d", n), Expect: expect}
	for _, name := range markers {
		item, err := json.Marshal(live.Team{Name: name, KeyHashes: []string{live.HashKey(string(name))}, MaxInFlight: n})
		if err != nil {
			return req, n, err
		}
		req.Ops = append(req.Ops, opapi.Op{Action: revision.ActionPut, Kind: live.KindTeam, Name: string(name), Item: item})
	}
	return req, n, nil
}

// operator returns a client that tries the daemon of member first, then those of
// the following members.
func (c *changeDriver) operator(first int) (*operator.Client, error) {
	var addresses []string
	for i := range c.site.members() {
		if a := c.site.address((first + i) % c.site.members()); a != "" {
			addresses = append(addresses, a)
		}
	}
	return operator.New(operator.Config{Addresses: addresses, Key: c.site.key()})
}

// propose sends a change, and sends it again with the same id as long as its
// outcome is unknown.
func (c *changeDriver) propose(ctx context.Context, first int, req opapi.ChangeRequest, n int) error {
	for {
		client, err := c.operator(first)
		if err != nil {
			return err
		}
		answer, err := client.Change(ctx, req)
		if err == nil {
			c.recordAccepted(req, answer, n)
			return nil
		}
		if exit.Code(err) != exit.Unavailable {
			return err
		}
		c.mu.Lock()
		c.resent++
		c.mu.Unlock()
		if sleep(ctx, resendPause) != nil {
			return err
		}
	}
}

func (c *changeDriver) recordAccepted(req opapi.ChangeRequest, answer opapi.ChangeAnswer, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted = append(c.accepted, acceptedChange{id: req.ID, revision: answer.Revision, phase: c.phase, at: time.Now(), number: n})
}

// changes proposes changes one after the other, each at the next daemon.
func (c *changeDriver) changes(ctx context.Context, count int) error {
	for i := range count {
		req, n, err := c.nextRequest(0)
		if err != nil {
			return err
		}
		if err := c.propose(ctx, i, req, n); err != nil {
			return fmt.Errorf("phase %s: %w", c.phase, err)
		}
		if err := sleep(ctx, configPause); err != nil {
			return err
		}
	}
	return nil
}

// slow proposes changes while the table delays its replies.
func (c *changeDriver) slow(ctx context.Context) error {
	delay, none := configDelayMS, 0
	if err := c.site.inject(wire.Fault{Target: standin.TargetTable, DelayMS: &delay}); err != nil {
		return err
	}
	err := c.changes(ctx, configSlow)
	return errors.Join(err, c.site.inject(wire.Fault{Target: standin.TargetTable, DelayMS: &none}))
}

// lossy proposes changes while the table loses a share of its replies after it has
// carried out the operation.
func (c *changeDriver) lossy(ctx context.Context) error {
	share, none := configLost, 0.0
	if err := c.site.inject(wire.Fault{Target: standin.TargetTable, LoseReplies: &share}); err != nil {
		return err
	}
	err := c.changes(ctx, configLossy)
	return errors.Join(err, c.site.inject(wire.Fault{Target: standin.TargetTable, LoseReplies: &none}))
}

// down makes the table unavailable right after a change has been accepted, so
// that this change has to spread from daemon to daemon. It proposes more changes
// during the outage and sends these again after it.
func (c *changeDriver) down(ctx context.Context) error {
	if err := c.changes(ctx, 1); err != nil {
		return err
	}
	yes, no := true, false
	if err := c.site.inject(wire.Fault{Target: standin.TargetTable, Down: &yes}); err != nil {
		return err
	}
	refused, err := c.proposeWhileDown(ctx)
	if upErr := c.site.inject(wire.Fault{Target: standin.TargetTable, Down: &no}); upErr != nil {
		return errors.Join(err, upErr)
	}
	if err != nil {
		return err
	}
	for i, r := range refused {
		if err := c.propose(ctx, i, r.request, r.number); err != nil {
			return fmt.Errorf("after the outage: %w", err)
		}
	}
	return nil
}

// pendingChange is a change without a known outcome.
type pendingChange struct {
	request opapi.ChangeRequest
	number  int
}

// proposeWhileDown sends one change to each daemon, all at the same time and
// without retries.
func (c *changeDriver) proposeWhileDown(ctx context.Context) ([]pendingChange, error) {
	var refused []pendingChange
	var all sync.WaitGroup
	var failed error
	for member := range c.site.members() {
		req, n, err := c.nextRequest(0)
		if err != nil {
			return nil, err
		}
		address := c.site.address(member)
		if address == "" {
			continue
		}
		refused = append(refused, pendingChange{request: req, number: n})
		all.Go(func() {
			status, err := rawOperator{address: address, key: c.site.key()}.change(ctx, req)
			c.mu.Lock()
			defer c.mu.Unlock()
			switch {
			case err != nil:
				c.out.CutWhileDown++
			case status == http.StatusServiceUnavailable:
				c.out.RefusedWhileDown++
			case status == http.StatusOK:
				c.out.AcceptedWhileDown++
			default:
				failed = fmt.Errorf("unexpected status %d while the table is down", status)
			}
		})
	}
	all.Wait()
	return refused, errors.Join(failed, ctx.Err())
}

// races has two operators propose changes of the same items at the same time, at
// two daemons and with the same expected revision.
func (c *changeDriver) races(ctx context.Context) error {
	for i := range configRaces {
		expect := c.newest()
		var requests [2]opapi.ChangeRequest
		var numbers [2]int
		var failed [2]error
		for k := range requests {
			var err error
			if requests[k], numbers[k], err = c.nextRequest(expect); err != nil {
				return err
			}
		}
		var both sync.WaitGroup
		for k := range requests {
			both.Go(func() { failed[k] = c.propose(ctx, i+4*k, requests[k], numbers[k]) })
		}
		both.Wait()
		c.recordRace(requests, failed)
		if err := sleep(ctx, configPause); err != nil {
			return err
		}
	}
	return nil
}

// recordRace checks the outcome of a race: exactly one change must be accepted,
// and the error of the other must be a conflict that names the accepted change.
func (c *changeDriver) recordRace(requests [2]opapi.ChangeRequest, failed [2]error) {
	c.out.Races++
	loser := 0
	if failed[0] == nil {
		loser = 1
	}
	if (failed[0] == nil) == (failed[1] == nil) {
		return
	}
	c.out.OneWinner++
	named := exit.Code(failed[loser]) == exit.Conflict && strings.Contains(failed[loser].Error(), requests[1-loser].ID)
	if named {
		c.out.LoserTold++
	}
}

// newest returns the highest accepted revision.
func (c *changeDriver) newest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rev uint64
	for _, a := range c.accepted {
		rev = max(rev, a.revision)
	}
	return rev
}
