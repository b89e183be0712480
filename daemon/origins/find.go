package origins

import (
	"context"
	"fmt"
	"slices"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/origin"
)

// source says from where it is known what began a stream.
type source string

const (
	sourceOwnRecord  source = "own_record"
	sourcePeerRecord source = "peer_record"
	// sourceStoredRecord: a daemon's row in the store.
	sourceStoredRecord source = "stored_record"
	// sourceOneVersion: the service has had one version of late.
	sourceOneVersion source = "one_version"
)

// Find returns the software version that began a stream. Without a record it is known only
// if the service has had one version of late, by a daemon or the store that knows all which
// it has had. ok is false if it is not known.
func (o *Origins) Find(ctx context.Context, s origin.Stream) (software id.Software, ok bool) {
	now, current := o.cfg.Now(), o.cfg.Current()
	o.mu.Lock()
	record, found := o.ledger.Find(now, s)
	versions := o.history.Versions(now, s.Service)
	complete := o.complete(now, s.Service)
	o.mu.Unlock()
	switch {
	case found:
		return o.known(s, record.Software, sourceOwnRecord, told{})
	case isOne(versions) && complete && current:
		return o.known(s, versions[0], sourceOneVersion, told{})
	}
	told := o.askHolders(ctx, s)
	versions = union(versions, told.versions)
	switch {
	case told.record != nil:
		o.keep([]origin.Record{*told.record})
		return o.known(s, told.record.Software, sourcePeerRecord, told)
	case isOne(versions) && (told.complete || complete && (current || told.unanimous)):
		return o.known(s, versions[0], sourceOneVersion, told)
	}
	if s.Request != "" { // else there is no record
		if software, ok := o.findStored(ctx, s); ok {
			return o.known(s, software, sourceStoredRecord, told)
		}
	}
	o.unknown.Inc()
	o.cfg.Log("origin_unknown", o.searchFields(s, told, "versions", fmt.Sprint(versions))...)
	return "", false
}

// known logs what began a stream and from whom that is known, and returns it.
func (o *Origins) known(s origin.Stream, software id.Software, from source, t told) (id.Software, bool) {
	o.found.Add(string(from), 1)
	o.cfg.Routine("origin_found", o.searchFields(s, t, "software", software, "source", string(from))...)
	return software, true
}

// searchFields are the fields of a line about a search: what this daemon and those that
// replied could know, and its outcome.
func (o *Origins) searchFields(s origin.Stream, t told, outcome ...any) []any {
	o.mu.Lock()
	lasts := o.history.Lasts(o.cfg.Now())
	o.mu.Unlock()
	return append([]any{"resumes", s.Request, "service", s.Service, "history", lasts, "answered", t.answered}, outcome...)
}

// told is what other daemons have said of a stream.
type told struct {
	// record is nil if none of them has one.
	record *origin.Record
	// versions are those of the service that they have seen, answered counts the replies.
	versions []id.Software
	answered int
	// complete is set if one of them knows all versions that can have begun a stream.
	// unanimous is set if all that were asked do, as far as their lists go: while the store
	// answers nobody, no version comes that one of them does not know.
	complete, unanimous bool
}

// askHolders asks other daemons for the record of a stream until one has it or all have
// replied.
func (o *Origins) askHolders(ctx context.Context, s origin.Stream) told {
	holders := o.cfg.Holders(s)
	holders = holders[:min(maxAsked, len(holders))]
	o.asked.Inc()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	// The channel has room for all replies, so that no question outlives the search blocked.
	replies := make(chan *Reply, len(holders))
	for _, to := range holders {
		go func() {
			reply, err := o.cfg.Ask(ctx, to, &Query{Stream: s})
			if err != nil {
				reply = nil
			}
			replies <- reply
		}()
	}
	out := told{unanimous: len(holders) > 0}
	for range holders {
		reply := <-replies
		if reply == nil {
			out.unanimous = false
			continue
		}
		out.answered++
		out.complete = out.complete || reply.Complete && reply.Current
		out.unanimous = out.unanimous && reply.Complete
		out.versions = union(out.versions, reply.Versions)
		if reply.Record != nil {
			out.record = reply.Record
			return out
		}
	}
	return out
}

// isOne reports whether there is one version, and it is known which.
func isOne(versions []id.Software) bool {
	return len(versions) == 1 && versions[0] != origin.UnknownVersion
}

// union returns the versions that are in either list, sorted.
func union(a, b []id.Software) []id.Software {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
