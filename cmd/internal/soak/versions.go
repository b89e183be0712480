package soak

import (
	"fmt"
	"sync"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// softwareVersions are the versions of the runners' software, which serve side by side.
var softwareVersions = []string{"v1", "v2"}

// versions tracks which software version writes the events of each stream.
type versions struct {
	mu sync.Mutex
	// began holds the version that wrote the first event, by request id.
	began map[string]string
	// takenUp counts the streams that callers took up, wentOn those that were then
	// served to their end.
	takenUp, wentOn int
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

// summary returns how many streams callers took up, and how many of them went on.
func (v *versions) summary() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprintf("taken_up=%d went_on=%d", v.takenUp, v.wentOn)
}
