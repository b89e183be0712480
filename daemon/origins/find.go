package origins

import (
	"context"
	"fmt"
	"slices"
	"time"

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
// if the service has had one version of late, and that is proven. ok is false if it is not
// known.
func (o *Origins) Find(ctx context.Context, s origin.Stream) (software id.Software, ok bool) {
	asked := o.cfg.Now()
	if record, ok := o.ownRecord(s); ok {
		return o.known(s, record.Software, outcome{source: sourceOwnRecord})
	}
	told := o.search(ctx, s, asked)
	k := o.knowledgeOf(s.Service, asked).with(told)
	if told.record == nil && isOne(k.versions) && !k.proven {
		told = o.askHolders(ctx, s, true)
		k = o.knowledgeOf(s.Service, asked).with(told) // the store may have answered meanwhile
	}
	if told.record != nil {
		o.keep([]origin.Record{*told.record})
		return o.known(s, told.record.Software, outcome{source: sourcePeerRecord, told: told})
	}
	if p := k.proofWith(told); isOne(k.versions) && p != proofNone {
		return o.known(s, k.versions[0], outcome{source: sourceOneVersion, proof: p, told: told})
	}
	if s.Request != "" { // else there is no record
		if software, ok := o.findStored(ctx, s); ok {
			return o.known(s, software, outcome{source: sourceStoredRecord, told: told})
		}
	}
	o.unknown.Inc()
	o.cfg.Log("origin_unknown", o.searchFields(s, told, "versions", fmt.Sprint(k.versions))...)
	return "", false
}

// search asks other daemons for the record of a stream and, where one version is known, the store
// for a proof that it is the only one, at the same time. Once that is proven, replies still
// matter, since a version may have begun streams that the store could not record; silent daemons
// are waited for no longer than replyGrace.
func (o *Origins) search(ctx context.Context, s origin.Stream, asked time.Duration) told {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan told, 1)
	go func() { replies <- o.askHolders(ctx, s, false) }()
	if isOne(o.knowledgeOf(s.Service, asked).versions) {
		o.prove(ctx, asked)
	}
	if o.knowledgeOf(s.Service, asked).proven {
		defer time.AfterFunc(replyGrace, cancel).Stop()
	}
	return <-replies
}

// with adds the versions that other daemons know.
func (k knowledge) with(t told) knowledge {
	k.versions = union(k.versions, t.versions)
	return k
}

// proofWith returns why no other version can have begun the stream, after other daemons were
// asked.
func (k knowledge) proofWith(t told) proof {
	switch {
	case k.proven:
		return proofStore
	case t.proven:
		return proofPeer
	case k.complete && t.unanimous && k.noneLost:
		return proofAll
	}
	return proofNone
}

// outcome says from where it is known what began a stream.
type outcome struct {
	source source
	proof  proof
	told   told
}

// known logs what began a stream and from where that is known, and returns it.
func (o *Origins) known(s origin.Stream, software id.Software, by outcome) (id.Software, bool) {
	o.found.Add(string(by.source), 1)
	fields := []any{"software", software, "source", string(by.source)}
	if by.proof != proofNone {
		fields = append(fields, "proof", string(by.proof))
	}
	o.cfg.Routine("origin_found", o.searchFields(s, by.told, fields...)...)
	return software, true
}

// searchFields are the fields of a line about a search: what this daemon and those that
// replied could know, and its outcome.
func (o *Origins) searchFields(s origin.Stream, t told, more ...any) []any {
	now := o.cfg.Now()
	o.mu.Lock()
	lasts, age := o.history.Lasts(now), now-o.history.RecordedAt()
	o.mu.Unlock()
	return append([]any{"resumes", s.Request, "service", s.Service, "history", lasts, "record_age", age, "answered", t.answered}, more...)
}

// told is what other daemons have said of a stream.
type told struct {
	// record is nil if none of them has one.
	record *origin.Record
	// versions are those of the service that they have seen, answered counts the replies.
	versions []id.Software
	answered int
	// proven is set if the store has told one of them all versions that can have begun a
	// stream. unanimous is set if all that were asked know all, as far as their lists go: while
	// the store answers nobody, no version comes that one of them does not know.
	proven, unanimous bool
}

// askHolders asks other daemons for the record of a stream until one has it or all have
// replied. If prove is set they are to ask the store as well.
func (o *Origins) askHolders(ctx context.Context, s origin.Stream, prove bool) told {
	holders := o.cfg.Holders(s)
	holders = holders[:min(maxAsked, len(holders))]
	o.asked.Inc()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	// The channel has room for all replies, so that no question outlives the search blocked.
	replies := make(chan *Reply, len(holders))
	for _, to := range holders {
		go func() {
			reply, err := o.cfg.Ask(ctx, to, &Query{Stream: s, Prove: prove})
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
		out.proven = out.proven || reply.Proven
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
