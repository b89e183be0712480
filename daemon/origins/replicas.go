package origins

import (
	"context"
	"slices"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/origin"
)

// place gives a record to its holders and waits until one of them has it: a message that
// is only queued is lost if this process dies.
func (o *Origins) place(r origin.Record) {
	holders := o.holders(r.Stream)
	o.sent.Inc()
	// The channel has room for all results, so that no call outlives the wait blocked.
	placed := make(chan bool, len(holders))
	for _, to := range holders {
		go func() { placed <- o.placeAt(to, r) }()
	}
	for range holders {
		if <-placed {
			return
		}
	}
}

// placeAt gives a record to a daemon and reports whether that has confirmed it. If not, the
// record is queued for it.
func (o *Origins) placeAt(to id.Daemon, r origin.Record) bool {
	ctx, cancel := context.WithTimeout(context.Background(), placeTimeout)
	defer cancel()
	b := &Batch{Records: []origin.Record{r}}
	if err := o.cfg.Place(ctx, to, b); err != nil {
		o.cfg.Send(to, b)
		return false
	}
	return true
}

// HandOver sends all records to other daemons, before this one stops as planned.
func (o *Origins) HandOver() {
	now := o.cfg.Now()
	o.mu.Lock()
	records := o.shared(now)
	o.mu.Unlock()
	o.send(records)
}

// Joined sends a daemon the records that it is to hold and has missed: those of before
// this daemon knew of it, and those that it has lost at a restart. Without it a stream
// that begins while no other daemon is known would stay unknown to all others.
func (o *Origins) Joined(d id.Daemon) {
	now := o.cfg.Now()
	o.mu.Lock()
	records := o.shared(now)
	o.mu.Unlock()
	records = slices.DeleteFunc(records, func(r origin.Record) bool {
		return !slices.Contains(o.holders(r.Stream), d)
	})
	o.sent.Add(int64(len(records)))
	for batch := range slices.Chunk(records, maxBatch) {
		o.cfg.Send(d, &Batch{Records: batch})
	}
}

// holders returns the daemons that get the record of a stream.
func (o *Origins) holders(s origin.Stream) []id.Daemon {
	all := o.cfg.Holders(s)
	return all[:min(replicas, len(all))]
}

// send sends records to their holders.
func (o *Origins) send(records []origin.Record) {
	batches := map[id.Daemon]*Batch{}
	for _, r := range records {
		for _, to := range o.holders(r.Stream) {
			b := batches[to]
			if b == nil {
				b = &Batch{}
				batches[to] = b
			}
			b.Records = append(b.Records, r)
			if len(b.Records) == maxBatch {
				o.cfg.Send(to, b)
				delete(batches, to)
			}
		}
	}
	o.sent.Add(int64(len(records)))
	for to, b := range batches {
		o.cfg.Send(to, b)
	}
}
