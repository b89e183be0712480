package origins

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// recordWait bounds how long the first streams of a new version wait until that version is
// recorded. The store may refuse writes for long.
const recordWait = time.Second

// awaitRecorded waits until the store has a version: from then on no daemon that starts can
// take another one for the only one. It stops waiting recordWait after the first stream of the
// version began to wait.
func (o *Origins) awaitRecorded(service id.Service, software id.Software) {
	for {
		o.mu.Lock()
		news, left := o.recorder.news, o.waitLeft(service, software)
		o.mu.Unlock()
		if left <= 0 {
			return
		}
		select {
		case <-news:
		case <-time.After(left):
			o.cfg.Log("version_not_recorded", "service", service, "software", software)
			return
		}
	}
}

// waitLeft returns for how long streams of a version still wait for its record; 0 if it is
// recorded. The lock must be held.
func (o *Origins) waitLeft(service id.Service, software id.Software) time.Duration {
	noticed := o.recorder.noticed[service]
	now := o.cfg.Now()
	if o.recorder.rows[service].Counts((now + o.offset()).Milliseconds(), software) {
		delete(noticed, software)
		return 0
	}
	since, waits := noticed[software]
	if !waits {
		if noticed == nil {
			noticed = map[id.Software]time.Duration{}
			o.recorder.noticed[service] = noticed
		}
		since = now
		noticed[software] = now
	}
	return since + recordWait - now
}
