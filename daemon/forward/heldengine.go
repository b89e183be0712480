package forward

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// maxOverlap bounds how long a decode order may be under way at another engine while the
// silent one is kept: if both run, the work is done twice.
const maxOverlap = 300 * time.Millisecond

// heldEngine is a silent engine that is kept while another one is sought.
type heldEngine struct {
	name id.Endpoint
	// drop gives the engine up before another one has answered. It returns false if the
	// engine has gone on or failed before.
	drop    func() bool
	dropped atomic.Bool
}

// giveUp gives the engine up. Nothing says that it has failed, so it may be asked again if the
// other engine refuses.
func (h *heldEngine) giveUp() {
	if h.drop() {
		h.dropped.Store(true)
	}
}

// bound gives the engine up unless the order at another one has ended within maxOverlap. The
// returned function ends the bound.
func (h *heldEngine) bound() (end func() bool) {
	if h == nil {
		return func() bool { return true }
	}
	return time.AfterFunc(maxOverlap, h.giveUp).Stop
}

// unusableEngines returns the engines that a search must not use: those that have failed, and
// the silent one for as long as it is kept.
func (g *generation) unusableEngines() []id.Endpoint {
	if g.held == nil || g.held.dropped.Load() {
		return g.avoid
	}
	return append(slices.Clone(g.avoid), g.held.name)
}

// avoided returns the engines that are avoided after a search: those that have failed, and the
// silent one unless it was asked again and goes on with the stream.
func (g *generation) avoided() []id.Endpoint {
	askedAgain := g.held != nil && g.held.dropped.Load() && g.engine.Name == g.held.name
	if g.held == nil || askedAgain {
		return g.avoid
	}
	return append(slices.Clone(g.avoid), g.held.name)
}
