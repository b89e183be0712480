package soak

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// softwareVersions are the versions of the runners' software, which serve side by side.
var softwareVersions = []string{"v1", "v2"}

// event returns an event that names the version which wrote it.
func event(r *platformtest.Runner, n int) string {
	return strings.Replace(platformtest.Event(n), "data: ", "data: "+r.Software+" ", 1)
}

var eventSoftware = regexp.MustCompile(`(?m)^data: (v\d+) `)

// splitSoftware returns a body of events without the versions that wrote them, and these.
func splitSoftware(body string) (plain string, software []string) {
	for _, match := range eventSoftware.FindAllStringSubmatch(body, -1) {
		software = append(software, match[1])
	}
	return eventSoftware.ReplaceAllString(body, "data: "), software
}

// union returns the versions of both lists, each once, in their order.
func union(a, b []string) []string {
	var out []string
	for _, software := range slices.Concat(a, b) {
		if !slices.Contains(out, software) {
			out = append(out, software)
		}
	}
	return out
}

// Bounds of the share of streams that go on where callers take them up.
const (
	// minTakenUp is the number of streams from which their share is checked.
	minTakenUp = 12
	// minShareOfNew is the least share that must go on, relative to that of new streams
	// that begin.
	minShareOfNew = 0.5
	// minEngines is how many decode engines of a stream's version must be registered as
	// ready for it to count.
	minEngines = 2
)

// share counts streams, and those of them that got an event.
type share struct{ streams, served int }

func (s *share) record(served bool) {
	s.streams++
	if served {
		s.served++
	}
}

// versions tracks which software version writes the events of each stream.
type versions struct {
	mu sync.Mutex
	// began holds the version that wrote the first event, by request id.
	began map[string]string
	// takenUp counts the requests that took a stream up, wentOn those that were then
	// served to their end.
	takenUp, wentOn int
	// left counts the streams that were taken up at least once at a daemon left alone,
	// while minEngines of their version served and the platform had no fault: one goes on
	// if such a request brought an event. fresh counts the new streams at such daemons.
	left, fresh share
}

func newVersions() *versions { return &versions{began: map[string]string{}} }

// recordRun records that a runner writes events of a stream. It reports a violation if
// another version has written the events before them.
func (v *versions) recordRun(c *checker, r *runner, x *platformtest.Exchange) {
	v.mu.Lock()
	defer v.mu.Unlock()
	request := x.RequestID()
	if x.FirstEvent() == 1 {
		v.began[request] = r.Software
		return
	}
	began, known := v.began[request]
	if !known {
		began = v.began[x.Resumes()]
		v.began[request] = began
	}
	if began != r.Software {
		c.violation("order: %s began at software %q and goes on after event %d at %s of %s", request, began, x.FirstEvent()-1, r.ID, r.Software)
	}
}

// recordTakeUp records the end of a request that took a stream up.
func (v *versions) recordTakeUp(wentOn bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.takenUp++
	if wentOn {
		v.wentOn++
	}
}

// recordTakenUp records a stream that was taken up and counts for the share.
func (v *versions) recordTakenUp(wentOn bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.left.record(wentOn)
}

// recordNew records the end of a request for a new stream, if it counts for the share.
func (v *versions) recordNew(o outcome) {
	if !o.kind.stream || !o.countsForShare() {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fresh.record(platformtest.CountEvents(o.answer.Body) > 0)
}

// countsForShare reports whether a request belongs to the streams whose share is checked:
// neither its daemon nor the platform had a fault, its caller waited, and runners don't
// refuse it by design.
func (o *outcome) countsForShare() bool {
	return o.alone && !o.abandoned && isSteady(o.id) && requestNumber(o.id)%refuseEvery != 0
}

// check reports a violation if too few of the streams that were taken up have gone on.
func (v *versions) check(c *checker) {
	v.mu.Lock()
	defer v.mu.Unlock()
	goOn := float64(v.left.served) * float64(v.fresh.streams)
	begin := float64(v.fresh.served) * float64(v.left.streams)
	if v.left.streams >= minTakenUp && goOn < minShareOfNew*begin {
		c.violation("lost: of %d streams taken up at daemons left alone %d went on, of %d new ones %d began", v.left.streams, v.left.served, v.fresh.streams, v.fresh.served)
	}
}

// summary returns how many requests took streams up, how many of them went on, and the
// same for the streams that count for the share.
func (v *versions) summary() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprintf("taken_up=%d went_on=%d left_alone=%d/%d new=%d/%d", v.takenUp, v.wentOn, v.left.served, v.left.streams, v.fresh.served, v.fresh.streams)
}
